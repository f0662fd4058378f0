//! What entries know of each other and of the log, and the messages between them. No task runs
//! here, and nothing here depends on the state of the whole entry.

pub mod clock;
pub mod coordinator;
pub mod entry_state;
pub mod groups;
pub mod loads;
pub mod messages;
pub mod peer_socket;
pub mod peers;
pub mod suspects;
pub mod tail;
pub mod usage;
