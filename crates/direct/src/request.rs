//! The handling of a request: `server`, `serve`, `plain` or `generate`, `dispatch`, `relay`,
//! `response`. A `context` holds the state that all steps share.

pub mod attempts;
pub mod context;
pub mod coordinator_client;
pub mod decode_placement;
pub mod dispatch;
pub mod events;
pub mod generate;
pub mod permits;
pub mod plain;
pub mod prefill_placement;
pub mod relay;
pub mod reservation;
pub mod response;
pub mod serve;
pub mod server;
pub mod trace;
