//! Clients of engines and services over HTTP.
//!
//! - [`HttpEngine`]: OpenAI-compatible completions plus the order routes.
//! - [`HttpService`]: any HTTP service.

pub mod bodies;
mod engine;
mod exchange;
mod service;

pub use engine::HttpEngine;
pub use service::HttpService;
