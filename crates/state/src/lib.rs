//! The log's records folded into state: authority, configuration and at-most-once.
//!
//! Folding is a pure function of the records in their order: every process that has read up to
//! the same offset holds the same state. Queries read the folded state; commands append records
//! and then read them back, since only the log's order says what became of them.
//!
//! - [`record`]: the records as they stand in the log.
//! - [`config`]: the fold of the `config` stream into resources.
//! - [`Follower`]: follows a stream and publishes its folded state.
//! - [`Appender`]: appends records and settles lost replies by reading.

mod appender;
pub mod config;
mod error;
mod follower;
pub mod record;

pub use appender::Appender;
pub use config::Config;
pub use error::{Error, Result};
pub use follower::{Fold, Follower};
pub use record::Record;
