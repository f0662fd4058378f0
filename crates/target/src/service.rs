//! The interface of a plain service.

use crate::Result;
use async_trait::async_trait;
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::stream::BoxStream;

/// A header field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// The name in lower case.
    pub name: CompactString,
    /// The value.
    pub value: Bytes,
}

/// A call as the service receives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The HTTP method.
    pub method: CompactString,
    /// Path and query, beginning with `/`.
    pub path: String,
    /// Headers that are forwarded.
    pub headers: Vec<Header>,
    /// The body.
    pub body: Bytes,
}

/// The pieces of a response body.
pub type Parts = BoxStream<'static, Result<Bytes>>;

/// A service's response.
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// Headers that are forwarded.
    pub headers: Vec<Header>,
    /// The body as a stream of pieces.
    pub body: Parts,
}

/// An instance of a plain service.
#[async_trait]
pub trait Service: Send + Sync {
    /// Performs one call and returns once the head of the response has been received.
    async fn call(&self, call: Call) -> Result<Response>;

    /// Checks whether the service answers.
    async fn probe(&self) -> Result<()>;
}
