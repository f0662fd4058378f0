//! Keeps entries in sync: reads the log and sends the records to all, exchanges which entries are
//! alive and what they do, and responds to requests as a coordinator.

pub mod catch_up;
pub mod compression;
pub mod coordination;
pub mod crashes;
pub mod dissemination;
pub mod entry_stream;
pub mod follow;
pub mod gossip;
pub mod membership;
pub mod notice;
pub mod origins;
pub mod quota;
pub mod version_history;
