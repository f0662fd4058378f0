//! Orders to an engine.

use compact_str::CompactString;
use conf::resource::Role;
use serde::{Deserialize, Serialize};

/// The fencing number of an order: its offset in the log.
pub type FencingToken = u64;

/// One order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Order {
    /// Change the role.
    SetRole {
        /// The role to take.
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
        /// The name.
        serve: CompactString,
    },
}
