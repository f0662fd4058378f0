//! Keeps entries in sync: reads the log and forwards the records, publishes and receives the state
//! of the entries, and responds to requests as a coordinator.

pub mod broadcast;
pub mod coordination;
pub mod entry_stream;
pub mod follow;
pub mod gossip;
pub mod notice;
