//! Stand-ins for the platform and the targets, for `dev`, tests and experiments.
//!
//! Each stand-in keeps its state in memory, implements the trait of the system that it replaces,
//! and has faults that can be injected; [`http`] serves it over the protocol of the real system.

mod control;
mod engine;
pub mod http;
mod log;
mod service;
mod vms;
mod weights;

pub use control::Control;
pub use engine::{EngineParams, MemoryEngine, TOKEN_BYTES, answer};
pub use log::MemoryLog;
pub use service::MemoryService;
pub use vms::MemoryVms;
pub use weights::MemoryWeights;
