//! The process on each entry VM: callers' HTTP on one side, agents on the other.
//!
//! It holds no state that cannot be rebuilt: the log gives it the configuration, and agents tell
//! their load with every reply.
//!
//! - [`Context`]: what the entry sees of the world, which tests replace.
//! - [`Entry`]: the entry without a socket for callers.
//! - [`Daemon`]: the process itself.
//! - [`ProcessStatus`]: how far another process has applied the configuration.
//! - [`Reason`] and [`Run`]: what callers are told of requests that get no answer.
//! - [`Explanation`]: where a request was sent and why.

mod ask;
mod attempt;
mod auth;
mod board;
mod bootstrap;
mod calls;
mod context;
mod copies;
mod daemon;
mod decisions;
mod error;
mod explain;
mod gate;
mod headers;
mod heartbeat;
mod inbox;
mod members;
mod metrics;
mod outcome;
mod peer;
mod peers;
mod problem;
mod processes;
mod race;
mod random;
mod reason;
mod relay;
mod router;
mod routes;
mod session;
mod upkeep;
mod versions;
mod view;

pub use context::Context;
pub use daemon::{Daemon, Entry};
pub use error::{Error, Result};
pub use explain::{Explanation, Report, Step};
pub use outcome::Run;
pub use processes::ProcessStatus;
pub use reason::Reason;
