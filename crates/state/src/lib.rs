//! The log's records folded into state: authority, configuration and at-most-once.
//!
//! Folding is a pure function of the records in their order: every process that has read up to
//! the same offset holds the same state. Queries read the folded state; commands append records
//! and then read them back, since only the log's order says what became of them.
//!
//! - [`record`]: the records as they stand in the log.
//! - [`config`], [`system`], [`calls`]: the folds of the three kinds of streams.
//! - [`rules`]: rules between resources, the same at each reader.
//! - [`Follower`]: follows a stream and publishes its folded state and [`Health`].
//! - [`snapshot`]: folded states as bytes, for checkpoints and for peers.
//! - [`Appender`]: appends records in groups and settles lost replies by reading.
//! - [`Lease`]: claims and renews a scope.
//! - [`Checkpointer`]: writes checkpoints before records expire.
//! - [`Registry`]: the commands on resources.

mod appender;
mod authority;
mod budget;
pub mod calls;
mod checkpointer;
pub mod config;
mod error;
mod flight;
mod follower;
mod health;
mod lease;
pub mod record;
mod registry;
pub mod rules;
mod scopes;
mod shape;
pub mod snapshot;
mod suspects;
pub mod system;

pub use appender::{Appended, Appender, AppenderSettings};
pub use authority::Authority;
pub use calls::{CallEntry, CallStatus, Calls};
pub use checkpointer::{Checkpointer, CheckpointerSettings};
pub use config::Config;
pub use error::{Error, Result};
pub use follower::{Fold, Follower};
pub use health::{Health, Trouble};
pub use lease::{Held, Lease, LeaseSettings};
pub use record::Record;
pub use registry::{Accepted, Registry};
pub use scopes::Holder;
pub use snapshot::{Snapshot, Snapshots};
pub use suspects::{Crash, Suspect};
pub use system::{OrderEntry, Outcome, System};
