//! Tests of bodies of requests that are kept as a whole.

use body::{Budget, Buffered, buffered};
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

fn body_of(chunks: Vec<Bytes>) -> impl Body<Data = Bytes, Error = Infallible> {
    StreamBody::new(stream::iter(chunks.into_iter().map(|chunk| Ok(Frame::data(chunk)))))
}

fn budget() -> Arc<Budget> {
    Arc::new(Budget::new(1_000_000))
}

/// Counts the buffers that are alive.
struct CountedBuffer(Arc<AtomicUsize>, [u8; 8192]);

impl AsRef<[u8]> for CountedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.1
    }
}

impl Drop for CountedBuffer {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Chunks of one byte, each a part of a read buffer: a body that keeps them keeps all the buffers.
#[tokio::test]
async fn small_chunks_do_not_keep_the_buffers_that_they_were_read_into() {
    let alive = Arc::<AtomicUsize>::default();
    let chunks = (0..100).map(|_| {
        alive.fetch_add(1, Ordering::Relaxed);
        Bytes::from_owner(CountedBuffer(alive.clone(), [b'x'; 8192])).slice(..1)
    });
    let read = Buffered::read(body_of(chunks.collect()), 1_000, &budget()).await.unwrap();
    assert_eq!(alive.load(Ordering::Relaxed), 0);
    assert_eq!(read.to_bytes(), "x".repeat(100));
}

#[tokio::test]
async fn body_is_forwarded_as_it_arrived() {
    let text: String = (0..60_000).map(|number| format!("{number},")).collect();
    for size in [7, 5_000, 100_000, text.len()] {
        let chunks = text.as_bytes().chunks(size).map(Bytes::copy_from_slice).collect();
        let read = Buffered::read(body_of(chunks), text.len(), &budget()).await.unwrap();
        assert_eq!(read.size_hint().exact(), u64::try_from(text.len()).ok());
        assert_eq!(read.to_bytes(), text);
        let again = read.clone().collect().await.unwrap().to_bytes();
        assert_eq!((again, read.len()), (Bytes::from(text.clone()), text.len()));
    }
    let empty = Buffered::read(body_of(Vec::new()), 10, &budget()).await.unwrap();
    assert!(empty.is_empty() && empty.is_end_stream());
}

/// A body that announces more than is allowed: read up to the limit, it takes memory and time before
/// it is refused.
#[tokio::test]
async fn body_that_announces_too_much_is_not_read() {
    struct Announced;
    impl Body for Announced {
        type Data = Bytes;
        type Error = Infallible;

        fn poll_frame(
            self: Pin<&mut Self>,
            _: &mut Context<'_>,
        ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
            panic!("it is not read");
        }

        fn size_hint(&self) -> SizeHint {
            SizeHint::with_exact(5_001)
        }
    }
    let read = Buffered::read(Announced, 5_000, &budget()).await;
    assert!(matches!(read, Err(buffered::Error::TooLong { max_bytes: 5_000 })), "{read:?}");
}

#[tokio::test]
async fn body_of_the_allowed_length_is_read_and_a_longer_one_is_not() {
    let read = async |bytes: usize| {
        Buffered::read(body_of(vec![vec![0; bytes].into()]), 5_000, &budget()).await
    };
    assert_eq!(read(5_000).await.unwrap().len(), 5_000);
    let longer = read(5_001).await;
    assert!(matches!(longer, Err(buffered::Error::TooLong { max_bytes: 5_000 })), "{longer:?}");
}
