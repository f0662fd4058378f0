//! A caller's request, buffered as a whole.

use body::Buffered;
use http::{HeaderMap, Method, Uri};

/// A caller's request as it is forwarded: unchanged except for its headers.
#[derive(Debug, Clone)]
pub struct BufferedRequest {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: Uri,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Buffered,
}
