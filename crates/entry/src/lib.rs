//! The entry process: accepts HTTP requests from callers and forwards them to agents.
//!
//! It holds no state that cannot be rebuilt: the configuration comes from the log, and each reply
//! of an agent carries its load.
//!
//! - [`Context`]: the entry's dependencies, which tests replace.
//! - [`Entry`]: the entry without a listening socket for callers.
//! - [`Daemon`]: the entry with its listening socket.
//! - [`ProcessStatus`]: how far another process has applied the configuration.
//! - [`Reason`] and [`Execution`]: the reason for a failed request and whether it was executed, as
//!   reported to callers.
//! - [`Explanation`]: which targets a request was sent to, and why.

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
