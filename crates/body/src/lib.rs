//! Bodies of responses: how they are framed, where their events end, and whether all of them has
//! arrived.
//!
//! - [`framing`]: what marks the end of a body.
//! - [`events`]: the boundaries of server-sent events.

pub mod events;
pub mod framing;

pub use events::{EventScanner, Position};
pub use framing::Framing;
