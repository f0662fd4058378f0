//! An entry that sends requests straight to targets, where no agent stands beside them.
//!
//! From the bottom up, each folder imports only those before it:
//!
//! - [`config`]: what the operator decides.
//! - [`codec`] and [`buffered_request`]: what callers and targets say, in the product's own types. A deployment's adapter
//!   implements [`codec::Codec`], and [`exchange::follow::Decode`] for records.
//! - [`targets`]: targets as this entry knows them, and one sending to one of them.
//! - [`cluster`]: what entries know of each other and of the log, and their messages.
//! - [`shared`]: the state of one entry.
//! - [`exchange`]: the tasks that keep entries in step.
//! - [`duty`]: what one entry does for all.
//! - [`request`]: the way of a request.
//! - [`daemon`]: all of it as a process.

pub mod buffered_request;
pub mod cluster;
pub mod codec;
pub mod config;
pub mod daemon;
pub mod durations;
pub mod duty;
pub mod exchange;
pub mod instrumented_log;
pub mod log_search;
pub mod logging;
pub mod metrics;
pub mod probe;
pub mod request;
pub mod shared;
pub mod targets;
pub mod unknown_names;
