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

mod agent_queries;
mod attempt;
mod auth;
mod bootstrap;
mod calls;
mod capacity;
mod context;
mod daemon;
mod decisions;
mod duplicates;
mod error;
mod explain;
mod headers;
mod heartbeat;
mod inbox;
mod late_binding;
mod maintenance;
mod members;
mod metrics;
mod outcome;
mod peer;
mod peers;
mod problem;
mod processes;
mod random;
mod reason;
mod relay;
mod router;
mod routes;
mod session;
mod target_table;
mod versions;
mod view;

pub use context::Context;
pub use daemon::{Daemon, Entry};
pub use error::{Error, Result};
pub use explain::{AgentReport, Explanation, Step};
pub use outcome::Execution;
pub use processes::ProcessStatus;
pub use reason::Reason;
