//! Bodies of responses: how they are framed, where their events end, and whether all of them has
//! arrived.
//!
//! - [`content`]: what headers say of a body.
//! - [`framing`]: what marks the end of a body.
//! - [`events`]: the boundaries of server-sent events.
//! - [`end`]: whether all of a body has arrived.
//! - [`collected`]: bodies that are read whole.

pub mod collected;
pub mod content;
pub mod end;
pub mod events;
pub mod framing;

pub use collected::{Collected, collect};
pub use content::Form;
pub use end::{End, Outcome};
pub use events::{EventScanner, Position};
pub use framing::Framing;
