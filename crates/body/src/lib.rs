//! Bodies: how they are framed, where their events end, whether all of them has arrived, and how
//! much memory they may take.
//!
//! - [`content`]: what headers say of a body.
//! - [`head`]: whether the head of a response tells where its body ends.
//! - [`framing`]: what marks the end of a body.
//! - [`events`]: the boundaries of server-sent events.
//! - [`end`]: whether all of a body has arrived.
//! - [`collected`]: bodies of responses that are read whole.
//! - [`buffered`]: bodies of requests, kept until the request is complete.
//! - [`budget`]: the memory that callers make a process hold.

pub mod budget;
pub mod buffered;
pub mod collected;
pub mod content;
pub mod end;
pub mod events;
pub mod framing;
pub mod head;

pub use budget::{Budget, Holding};
pub use buffered::{Buffered, Taken};
pub use collected::{Collected, collect};
pub use content::Form;
pub use end::{End, Outcome};
pub use events::{EventScanner, Position};
pub use framing::Framing;
