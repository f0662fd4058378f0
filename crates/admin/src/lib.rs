//! The administration API: operators publish resources and observe how far they are in effect.
//!
//! Each entry serves it. Commands are appended to the log and answered once they have been read
//! back from it; queries are answered from the state that this entry has applied and from the
//! status that the other processes report.
//!
//! - [`api`]: the bodies, shared by server and client.
//! - [`Context`] and [`Fleet`]: the part of the entry that the server uses.
//! - [`Server`]: the routes, which require the operators' token.
//! - [`Client`]: the client that the command line uses.

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
