//! Load generator: sends a mix of requests to entries and verifies the responses as callers see
//! them.
//!
//! The load is open-loop: requests arrive at the times that the mix gives, whether or not earlier
//! ones were answered, since independent callers do not wait for each other either.
//!
//! - [`Mix`]: the description of the load, in YAML.
//! - [`arrivals`]: generates the requests of a mix, deterministically for a seed.
//! - [`run`]: sends them and returns a [`Report`].

mod answer;
pub mod arrivals;
mod client;
mod error;
mod length;
mod mix;
mod outcome;
mod progress;
mod report;
mod run;
mod sender;
mod tally;
mod verify;

pub use arrivals::{Arrival, Arrivals};
pub use error::{Error, Result};
pub use length::Length;
pub use mix::{Burst, Caller, Class, Mix};
pub use report::{Engines, Report, Row};
pub use run::{Endpoints, run};
pub use tally::Quantiles;
pub use verify::Calls;
