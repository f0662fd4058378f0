//! The encoding of folded states as `prost` messages, for checkpoints and for peers.
//!
//! A field is never reused with another meaning; a change that old code would misread increments
//! the fold's `STATE_VERSION`. Offsets and maps are written in order, so that equal states have
//! equal bytes.

pub(crate) mod calls;
pub(crate) mod config;
mod scopes;
pub(crate) mod system;

use compact_str::{CompactString, format_compact};
use prost::Message;

/// Decodes a message; the error is a text.
fn decode_message<M: Message + Default>(bytes: &[u8]) -> Result<M, CompactString> {
    M::decode(bytes).map_err(|error| format_compact!("{error}"))
}
