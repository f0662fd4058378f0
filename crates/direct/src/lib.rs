//! An entry that sends requests directly to targets, for deployments without agents.
//!
//! From the bottom up, each folder imports only those before it:
//!
//! - [`config`]: what operators configure.
//! - [`codec`] and [`buffered_request`]: requests and responses in the product's own types. A
//!   deployment's adapter implements [`codec::Codec`], and [`exchange::follow::Decode`] for
//!   records.
//! - [`costs`]: what the entries log as paid for, and its sums.
//! - [`targets`]: this entry's view of the targets, and single attempts to send to one of them.
//! - [`cluster`]: the observed state of the other entries and of the log, and the messages between
//!   entries.
//! - [`shared`]: the state of one entry.
//! - [`exchange`]: the tasks that keep entries in sync.
//! - [`duty`]: the tasks that one entry performs for all.
//! - [`request`]: the handling of a request.
//! - [`waits`]: what the lines of requests say on how long they waited, summed up.
//! - [`daemon`]: all of it as a process.

pub mod buffered_request;
pub mod callers;
pub mod cluster;
pub mod codec;
pub mod config;
pub mod costs;
pub mod daemon;
pub mod durations;
pub mod duty;
pub mod exchange;
pub mod instrumented_log;
pub mod log_search;
pub mod logging;
pub mod metrics;
pub mod plot;
pub mod probe;
pub mod request;
pub mod shared;
pub mod targets;
pub mod unknown_names;
pub mod waits;
