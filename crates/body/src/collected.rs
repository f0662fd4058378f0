//! Bodies that are read whole.

use crate::{End, Framing, Outcome};
use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Body;

/// A body that was read whole.
#[derive(Debug, Clone)]
pub struct Collected {
    /// Its bytes.
    pub bytes: Bytes,
    /// Whether all of it has arrived; never [`End::BrokenOff`].
    pub end: End,
}

/// Reads the whole body of a response that is no stream of events. A body that was broken off is an
/// error.
pub async fn collect<B: Body>(response: Response<B>) -> Result<Collected, B::Error> {
    let (head, body) = response.into_parts();
    let framing = Framing::of(&body, &head.headers);
    let bytes = body.collect().await?.to_bytes();
    Ok(Collected { bytes, end: End::judge(framing, Outcome::Ended, None) })
}
