//! Targets as their agent sees them: language-model engines and plain services.
//!
//! [`Engine`] and [`Service`] are the borders; [`http`] meets the OpenAI-compatible protocol with
//! the small set of order routes that `docs/ENGINES.md` describes. An engine of another shape is
//! met by adding one file.

mod engine;
mod error;
pub mod http;
mod order;
mod service;

pub use engine::{Engine, Finish, Job, Output, Outputs, Status, Usage};
pub use error::{Error, Result};
pub use order::{FencingToken, Order};
pub use service::{Call, Header, Parts, Response, Service};
