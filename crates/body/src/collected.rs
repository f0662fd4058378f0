//! Bodies that are read whole.

use crate::{End, Framing, Outcome};
use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;

/// A body that was read whole.
#[derive(Debug, Clone)]
pub struct Collected {
    /// Its bytes.
    pub bytes: Bytes,
    /// Whether all of it has arrived; never [`End::BrokenOff`].
    pub end: End,
}

/// The result of reading a body.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a body could not be read whole. Its connection must not be used again.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It is longer than any proper one.
    #[error("the body has more than {max_bytes} bytes")]
    TooLong {
        /// The number of bytes that were allowed.
        max_bytes: usize,
    },
    /// It was broken off.
    #[error("{0}")]
    BrokenOff(Box<dyn std::error::Error + Send + Sync>),
}

/// Reads the whole body of a response that is no stream of events, `max_bytes` at most.
pub async fn collect<B>(response: Response<B>, max_bytes: usize) -> Result<Collected>
where
    B: Body,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let (head, body) = response.into_parts();
    let framing = Framing::of(&body, &head.headers);
    let bytes = match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => return Err(Error::TooLong { max_bytes }),
        Err(error) => return Err(Error::BrokenOff(error)),
    };
    Ok(Collected { bytes, end: End::judge(framing, Outcome::Ended, None) })
}
