//! Bodies that are read whole.

use body::collected::Error;
use body::{End, collect};
use bytes::Bytes;
use futures_util::StreamExt;
use http::Response;
use http_body_util::{Full, StreamBody};
use hyper::body::Frame;
use std::convert::Infallible;

const MAX_BYTES: usize = 1_000;

#[tokio::test]
async fn a_body_of_the_largest_size_is_read() {
    let response = Response::new(Full::new(Bytes::from(vec![0; MAX_BYTES])));
    let collected = collect(response, MAX_BYTES).await.expect("the body is not too long");
    assert_eq!((collected.bytes.len(), collected.end), (MAX_BYTES, End::Complete));
}

/// A target sends bytes without end: they must not take all the memory of the process.
#[tokio::test]
async fn a_body_without_end_is_given_up() {
    let chunk = || Ok::<_, Infallible>(Frame::data(Bytes::from_static(&[0; 64])));
    let endless = StreamBody::new(futures_util::stream::repeat_with(chunk).boxed());
    let error = collect(Response::new(endless), MAX_BYTES).await.expect_err("it has no end");
    assert!(matches!(error, Error::TooLong { max_bytes: MAX_BYTES }), "{error}");
}
