//! A caller's request, read whole.

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

/// A caller's request as it is sent on, unchanged but for its headers.
#[derive(Debug, Clone)]
pub struct BufferedRequest {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: Uri,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}
