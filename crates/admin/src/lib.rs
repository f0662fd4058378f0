//! The administration API: operators publish resources, and watch the fleet reach them.
//!
//! Each entry serves it. Commands go to the log and are answered once they were read back from
//! it; queries are answered from what this entry has applied and from what the other processes
//! say of themselves.
//!
//! - [`api`]: the bodies, shared by server and client.
//! - [`Context`] and [`Fleet`]: what the server sees of its entry.
//! - [`Server`]: the routes behind an operator's token.
//! - [`Client`]: what the command line uses.

pub mod api;
mod audit;
mod auth;
mod client;
mod context;
mod problem;
mod routes;
mod server;
mod status;

pub use auth::TokenCheck;
pub use client::{Client, Error, Result};
pub use context::{Context, Fleet, Process, ProcessKind};
pub use problem::Problem;
pub use server::Server;
