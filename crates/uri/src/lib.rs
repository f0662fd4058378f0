//! Text that others write, as a part of a URI.
//!
//! Put into a URI as it is, a key or an id may end it, add a parameter, stand for another text, or be
//! refused before anything is sent.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};

/// All that RFC 3986 reserves or leaves out: everything but letters, digits, `-`, `.`, `_` and `~`.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Encodes the value of a parameter, or a segment of a path. A space becomes `%20`, since not all
/// servers decode `+`.
pub fn encode(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, RESERVED)
}
