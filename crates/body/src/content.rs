//! What headers say of a body, and whether that holds for another body as well.

use compact_str::CompactString;
use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_RANGE, CONTENT_TYPE, ETAG};
use http::{HeaderMap, HeaderName};

/// Length, range, validator and digests, see [RFC 9110](https://www.rfc-editor.org/rfc/rfc9110) and
/// [RFC 9530](https://www.rfc-editor.org/rfc/rfc9530).
const OF_ONE_BODY: [HeaderName; 7] = [
    CONTENT_LENGTH,
    CONTENT_RANGE,
    ETAG,
    HeaderName::from_static("content-digest"),
    HeaderName::from_static("content-md5"),
    HeaderName::from_static("digest"),
    HeaderName::from_static("repr-digest"),
];

/// Removes the headers that hold only for the body that they came with, from a response whose body
/// may be continued from another source.
pub fn remove_body_specific(headers: &mut HeaderMap) {
    for name in &OF_ONE_BODY {
        headers.remove(name);
    }
}

/// The form of a body. Only bodies of the same form can be parts of one response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Form {
    /// The media type in lower case, without parameters; empty if none is declared.
    media_type: CompactString,
    /// The content codings in lower case; empty if there are none.
    coding: CompactString,
}

impl Form {
    /// Returns the form that these headers declare.
    pub fn of(headers: &HeaderMap) -> Self {
        let value = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let media_type = value(CONTENT_TYPE).and_then(|value| value.split(';').next());
        let coding = value(CONTENT_ENCODING).filter(|coding| *coding != "identity");
        let normalize = |text: Option<&str>| {
            CompactString::from_str_to_lowercase(text.unwrap_or_default().trim())
        };
        Self { media_type: normalize(media_type), coding: normalize(coding) }
    }

    /// Returns whether it is a stream of server-sent events.
    pub fn is_event_stream(&self) -> bool {
        self.media_type == "text/event-stream"
    }
}
