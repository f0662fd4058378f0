//! The services of the platform that the system uses: log, weight store, VM list.
//!
//! Each service is a trait, implemented by the HTTP client in [`http`]. A different platform needs
//! another implementation of the traits.

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
