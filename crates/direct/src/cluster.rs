//! The observed state of the other entries and of the log, and the messages between entries. No
//! task runs here, and nothing here depends on [`crate::shared`].

pub mod clock;
pub mod coordinator;
pub mod entry_state;
pub mod freeze;
pub mod groups;
pub mod loads;
pub mod member_updates;
pub mod members;
pub mod messages;
pub mod origins;
pub mod peer_socket;
pub mod peers;
pub mod quota;
pub mod replica;
pub mod splits;
pub mod suspects;
pub mod tail;
pub mod usage;
