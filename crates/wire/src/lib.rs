//! The protocol between lapismast's own processes: typed messages, framing, handshake and links.
//!
//! An entry dials an agent, both prove that they know the shared key, and then exchange
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

pub use codec::{Codec, MAX_FRAME_BYTES};
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

/// Identifies one attempt to run a request at one target; unique within an entry's lifetime.
///
/// Late frames of an abandoned attempt carry an id that nobody waits for and are dropped.
pub type AttemptId = u64;
pub use socket::listen;
