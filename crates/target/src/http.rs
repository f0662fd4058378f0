//! Engines and services over HTTP.
//!
//! - [`HttpEngine`]: OpenAI-compatible completions plus the order routes.
//! - [`HttpService`]: any HTTP service.

mod engine;
mod exchange;
mod service;
pub mod shapes;

pub use engine::HttpEngine;
pub use service::HttpService;
