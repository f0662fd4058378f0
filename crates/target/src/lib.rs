//! The interfaces between an agent and its target: a language-model engine or a plain service.
//!
//! [`Engine`] and [`Service`] are the traits; [`http`] implements them for the OpenAI-compatible
//! protocol with the small set of order routes that `docs/ENGINES.md` describes. An engine with
//! another protocol is supported by adding one file.

mod engine;
mod error;
pub mod http;
mod order;
mod service;

pub use engine::{Engine, Finish, Job, Output, Outputs, Status, Usage};
pub use error::{Error, Result};
pub use order::{FencingToken, Order};
pub use service::{Call, Header, Parts, Response, Service};
