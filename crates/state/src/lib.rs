//! State folded from the records of the log: leases, configuration and at-most-once calls.
//!
//! A fold is a pure function of the records in log order: all processes that have read up to the
//! same offset have the same state. Queries read the folded state. Commands append records and
//! read them back, since only the order of the log decides their outcome.
//!
//! - [`record`]: the records in the log.
//! - [`config`], [`system`], [`calls`]: the folds of the three kinds of streams.
//! - [`rules`]: the rules between resources, which every reader applies.
//! - [`Follower`]: follows a stream and publishes its folded state and [`Health`].
//! - [`snapshot`]: encoded folded states, for checkpoints and for peers.
//! - [`Appender`]: appends records in batches and settles lost replies by reading.
//! - [`Lease`]: claims and renews a scope.
//! - [`Checkpointer`]: writes checkpoints before records expire.
//! - [`Registry`]: the commands on resources.

mod appender;
mod authority;
mod batching;
pub mod calls;
mod checkpointer;
pub mod config;
mod encoding;
mod error;
mod follower;
mod health;
mod lease;
mod rate_limit;
pub mod record;
mod registry;
pub mod rules;
mod scopes;
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
pub use health::{FollowError, Health};
pub use lease::{HeldClaim, Lease, LeaseSettings};
pub use record::Record;
pub use registry::{Accepted, Registry};
pub use scopes::Holder;
pub use snapshot::{Snapshot, Snapshots};
pub use suspects::{Crash, Suspect};
pub use system::{OrderEntry, Outcome, System};
