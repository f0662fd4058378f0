//! Stand-ins for the platform and the targets, for `dev`, for tests and for trying things out.
//!
//! Each stand-in lives in memory and implements the trait at the border, with faults that can be
//! set; [`http`] puts it behind the protocol that the real system speaks.

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
