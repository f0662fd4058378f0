//! The protocol between the processes of lapismast: typed messages, framing, handshake and links.
//!
//! An entry connects to an agent. Both prove that they have the shared key and then exchange
//! [`Frame`]s over one multiplexed connection. See `docs/DESIGN.md`, section "Entry to agent".

mod codec;
mod connection;
mod error;
mod frame;
mod handshake;
mod link;
mod load;
mod request;
mod socket;

pub use codec::{Codec, MAX_FRAME_BYTES, MAX_HANDSHAKE_FRAME_BYTES};
pub use connection::{Connection, Reader, Writer};
pub use error::{Error, Result};
pub use frame::{
    Attach, Begin, Body, Cancel, Credit, Delta, End, EntryStatus, Event, EventKind, Finish, Frame,
    Head, Header, Offer, Part, Ping, Pong, Progress, Query, QueryKind, Refusal, Reply, Submit,
    Usage,
};
pub use handshake::{Hello, Key, PROTOCOL_VERSION, Proof, accept, connect};
pub use link::{
    Bytestream, Dialler, Listener, MemoryListener, MemoryNetwork, Pipe, TcpDialler, TcpListener,
};
pub use load::Load;
pub use request::{Call, Prompt, Request, Work};

/// The id of an attempt, which is one send of a request to one target; unique within the lifetime
/// of an entry.
///
/// Late frames of an abandoned attempt are dropped, since no request waits for its id any more.
pub type AttemptId = u64;
pub use socket::listen;
