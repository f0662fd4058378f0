//! The handling of a request: `intake` accepts its connection, `server` reads it, `serve` routes it, `plain` or `generate` chooses
//! targets, `dispatch` sends it, and the response is forwarded by `relay` or made by `response`. A
//! `context` holds the state that all steps share.

pub mod attempts;
pub mod caller_stream;
pub mod context;
pub mod coordinator_client;
pub mod decode_placement;
pub mod dispatch;
pub mod events;
pub mod generate;
pub mod intake;
pub mod permits;
pub mod plain;
pub mod prefill_placement;
pub mod quota;
pub mod region_steps;
pub mod relay;
pub mod reservation;
pub mod response;
pub mod serve;
pub mod server;
pub mod subject;
pub mod take_up;
pub mod trace;
