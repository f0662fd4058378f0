//! Keeps entries in step: reads the log and passes it on, publishes and receives what entries tell each other,
//! answers as a coordinator.

pub mod broadcast;
pub mod coordination;
pub mod entry_stream;
pub mod follow;
pub mod gossip;
pub mod notice;
