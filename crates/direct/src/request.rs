//! The way of a request: `intake`, `serve`, `plain` or `generate`, `dispatch`, `relay`, `answer`. A `job` is what
//! all steps know of it.

pub mod answer;
pub mod dispatch;
pub mod events;
pub mod generate;
pub mod inquiry;
pub mod intake;
pub mod job;
pub mod permits;
pub mod places;
pub mod plain;
pub mod relay;
pub mod reservation;
pub mod reserve;
pub mod serve;
pub mod trace;
pub mod tries;
