//! Headers that describe the bytes of one particular body.

use http::header::{CONTENT_LENGTH, CONTENT_RANGE, ETAG};
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
