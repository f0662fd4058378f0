//! The platform's services as the rest of the system sees them: log, weight store, VM list.
//!
//! Each is one trait here and one HTTP client in a module of its own. A platform of another
//! shape is met by adding one file that implements the trait.

pub mod epoch;
mod error;
pub mod http;
mod keyed;
mod log;
mod vms;
mod weights;

pub use error::{Error, Result};
pub use keyed::{KeyedLog, Newest, Record};
pub use log::{Batch, CONFIG_STREAM, Entry, Log, Offset, SYSTEM_STREAM, StreamName, calls_stream};
pub use vms::{Vm, VmList, VmPhase};
pub use weights::{Artifact, WeightStore};
