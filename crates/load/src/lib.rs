//! Sends a described mix of requests to entries and judges what comes back as callers would.
//!
//! Arrivals are open-loop: they come when the mix says so, whatever the fleet does with those
//! before them, since a crowd doesn't wait for the fleet either.
//!
//! - [`Mix`]: the description, in YAML.
//! - [`arrivals`]: the requests that a mix amounts to; the same each time for the same seed.
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
