//! Whether the head of a response tells unambiguously where its body ends.
//!
//! A server in trouble may send a damaged head. Read leniently, it gives the body another end, or
//! takes the marks of chunks for content, and the caller gets a body that the server did not send as
//! a complete one. A field whose name is damaged beyond recognition can't be told from an unknown
//! one: such a response looks like one that ends with its connection.

use compact_str::{CompactString, ToCompactString};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

/// The result of checking a head.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a response must not be used. Its connection must not be used again.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It is no final status of HTTP.
    #[error("{0} is not the status of a response")]
    Status(u16),
    /// Which of the two holds is not certain.
    #[error("the head has both a length and a transfer coding")]
    LengthAndCoding,
    /// Only `chunked` is decoded; no other coding is requested.
    #[error("unknown transfer coding {0:?}")]
    Coding(CompactString),
    /// A response with this status has no body.
    #[error("a body is announced for status {0}")]
    BodyAnnounced(u16),
    /// A misspelt field may hold the length or the coding, which the head lacks.
    #[error("the head has no length, but a field {0:?}")]
    Misspelt(CompactString),
}

/// Checks the head of a final response.
pub fn check(status: StatusCode, headers: &HeaderMap) -> Result<()> {
    if !(200..600).contains(&status.as_u16()) {
        return Err(Error::Status(status.as_u16()));
    }
    let codings: Vec<&HeaderValue> = headers.get_all(TRANSFER_ENCODING).iter().collect();
    let length = headers.get(CONTENT_LENGTH);
    match (&codings[..], length) {
        ([], None) if has_body(status) => check_names(headers),
        ([], Some(length)) if status == StatusCode::NO_CONTENT && length != "0" => {
            Err(Error::BodyAnnounced(status.as_u16()))
        }
        ([], _) => Ok(()),
        (_, Some(_)) => Err(Error::LengthAndCoding),
        ([_, ..], None) if status == StatusCode::NO_CONTENT => {
            Err(Error::BodyAnnounced(status.as_u16()))
        }
        ([coding], None) if coding.as_bytes().eq_ignore_ascii_case(CHUNKED) => Ok(()),
        ([coding, ..], None) => Err(Error::Coding(lossy(coding))),
    }
}

const CHUNKED: &[u8] = b"chunked";

fn has_body(status: StatusCode) -> bool {
    !matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Checks that no field seems to be a misspelt length or transfer coding.
fn check_names(headers: &HeaderMap) -> Result<()> {
    let misspelt = |name: &HeaderName, value: &HeaderValue| {
        let holds_coding = value.as_bytes().trim_ascii().eq_ignore_ascii_case(CHUNKED);
        holds_coding || FIELDS.iter().any(|field| is_similar(name, value, field))
    };
    match headers.iter().find(|(name, value)| misspelt(name, value)) {
        Some((name, _)) => Err(Error::Misspelt(name.as_str().to_compact_string())),
        None => Ok(()),
    }
}

/// The fields that tell where a body ends, each with a colon, without digits and blanks.
const FIELDS: [&str; 2] = ["content-length:", "transfer-encoding:chunked"];

/// The most edits (insertions, deletions, replacements, swaps of neighbours) of a misspelt field.
const MAX_EDITS: usize = 2;

fn is_similar(name: &HeaderName, value: &HeaderValue, field: &str) -> bool {
    let (name, own_name) = (name.as_str(), field.split(':').next().unwrap_or_default());
    // An extension field has a name of its own.
    if name.starts_with("x-") || name.len() + value.len() > MAX_LINE_BYTES {
        return false;
    }
    // The colon may be damaged into the name.
    let value = String::from_utf8_lossy(value.as_bytes()).to_ascii_lowercase();
    let line = format!("{name}:{value}");
    let line: String =
        line.chars().filter(|it| !it.is_ascii_digit() && !it.is_ascii_whitespace()).collect();
    strsim::damerau_levenshtein(name, own_name) <= MAX_EDITS
        || strsim::damerau_levenshtein(&line, field) <= MAX_EDITS
}

/// The longest line that is compared, in bytes: a length has some digits.
const MAX_LINE_BYTES: usize = 64;

fn lossy(value: &HeaderValue) -> CompactString {
    CompactString::from_utf8_lossy(value.as_bytes())
}
