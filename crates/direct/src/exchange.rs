//! Keeps entries in step: reads the log and passes it on, publishes and receives what entries tell each other,
//! answers as a coordinator.

pub mod broadcast;
pub mod bulletin;
pub mod coordination;
pub mod follow;
pub mod gossip;
pub mod notice;
