//! Orders to an engine.

use compact_str::CompactString;
use conf::resource::Role;
use serde::{Deserialize, Serialize};

/// The fencing token of an order: its offset in the log.
pub type FencingToken = u64;

/// One order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Order {
    /// Change the engine's role.
    SetRole {
        /// The role that the engine is to have.
        role: Role,
    },
    /// Load weights and serve them under a name.
    Load {
        /// The name under which they are served, such as `model+adapter`.
        serve: CompactString,
        /// Their name in the weight store.
        artifact: CompactString,
    },
    /// Stop serving a name and free its memory.
    Unload {
        /// The name under which the weights are served.
        serve: CompactString,
    },
}
