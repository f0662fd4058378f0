//! An entry that sends requests straight to targets, where no agent stands beside them.
//!
//! From the bottom up, each folder imports only those before it:
//!
//! - [`config`]: what the operator decides.
//! - [`border`] and [`content`]: what callers and targets say, in the product's own types. A deployment's adapter
//!   implements [`border::Codec`], and [`exchange::follow::Decode`] for records.
//! - [`targets`]: targets as this entry knows them, and one sending to one of them.
//! - [`cluster`]: what entries know of each other and of the log, and their messages.
//! - [`shared`]: the state of one entry.
//! - [`exchange`]: the tasks that keep entries in step.
//! - [`duty`]: what one entry does for all.
//! - [`request`]: the way of a request.
//! - [`daemon`]: all of it as a process.

pub mod border;
pub mod cluster;
pub mod config;
pub mod content;
pub mod daemon;
pub mod durations;
pub mod duty;
pub mod exchange;
pub mod journal;
pub mod measured;
pub mod metrics;
pub mod probe;
pub mod request;
pub mod shared;
pub mod story;
pub mod targets;
pub mod unknown;
