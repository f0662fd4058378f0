//! Bodies of requests, kept as a whole until their request is complete.

use crate::budget::{Budget, Holding, NoRoom, Revocable};
use bytes::{BufMut, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

/// The result of reading a body.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It is longer than allowed.
    #[error("the body has more than {max_bytes} bytes")]
    TooLong {
        /// The number of bytes that are allowed.
        max_bytes: usize,
    },
    /// There is no memory for it.
    #[error(transparent)]
    NoRoom(#[from] NoRoom),
    /// It was broken off.
    #[error("{0}")]
    BrokenOff(Box<dyn std::error::Error + Send + Sync>),
}

/// The size of the first segment, in bytes, if the body is not known to be shorter.
const MIN_SEGMENT_BYTES: usize = 4 * 1024;

/// The size of the largest segments, in bytes. Segments of equal size leave no gaps in the heap that
/// other bodies could not use.
const MAX_SEGMENT_BYTES: usize = 64 * 1024;

/// A body, in segments. Clones share its bytes, which are held until the last of them is dropped.
#[derive(Debug, Clone, Default)]
pub struct Buffered {
    segments: Arc<Vec<Bytes>>,
    length: usize,
    /// The segments and bytes that were polled.
    polled: (usize, usize),
    /// Nothing for a body that was made here.
    holding: Option<Arc<Holding>>,
    /// Set once all segments were polled, if that is followed.
    taken: Option<Taken>,
}

/// Whether all of a body was taken to be sent.
#[derive(Debug, Clone, Default)]
pub struct Taken(Arc<AtomicBool>);

impl Taken {
    /// Returns whether it was. What the last buffers hold may not have been sent yet.
    pub fn is_whole(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

impl Buffered {
    /// Reads a body of at most `max_bytes`, charged to `budget` as it arrives. One that announces
    /// more is not read at all.
    ///
    /// Each chunk is copied, so that it does not keep the buffer alive that it was read into.
    pub async fn read<B>(body: B, max_bytes: usize, budget: &Arc<Budget>) -> Result<Self>
    where
        B: Body<Data = Bytes>,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let too_long = || Error::TooLong { max_bytes };
        let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if announced > max_bytes {
            return Err(too_long());
        }
        if body.is_end_stream() {
            return Ok(Self::default());
        }
        let is_exact = body.size_hint().exact().is_some();
        let upload = budget.begin();
        let yields = upload.yields();
        let mut yielded = pin!(yields.cancelled());
        let mut body = pin!(body);
        let mut writer =
            Writer { upload, segments: Vec::new(), current: BytesMut::new(), length: 0 };
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = &mut yielded => return Err(NoRoom.into()),
            };
            let Some(frame) = frame else { return writer.finish() };
            let frame = frame.map_err(|error| Error::BrokenOff(error.into()))?;
            let Ok(bytes) = frame.into_data() else { continue };
            if bytes.len() > max_bytes - writer.length {
                return Err(too_long());
            }
            let end = if is_exact { announced } else { max_bytes };
            writer.write(&bytes, end).await?;
        }
    }

    /// Returns its length in bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns its segments.
    pub fn segments(&self) -> impl Iterator<Item = &Bytes> {
        self.segments.iter()
    }

    /// Returns the same body, to be sent from its start, and whether all of it was taken.
    pub fn followed(&self) -> (Self, Taken) {
        let taken = Taken(Arc::new(AtomicBool::new(self.segments.is_empty())));
        (Self { polled: (0, 0), taken: Some(taken.clone()), ..self.clone() }, taken)
    }

    /// Joins its segments; copies them if there are several.
    pub fn to_bytes(&self) -> Bytes {
        match self.segments.as_slice() {
            [] => Bytes::new(),
            [only] => only.clone(),
            several => several.concat().into(),
        }
    }

    /// Joins its segments, and returns what it holds apart.
    pub fn into_parts(self) -> (Bytes, Option<Arc<Holding>>) {
        (self.to_bytes(), self.holding)
    }
}

impl From<Vec<u8>> for Buffered {
    /// Makes a body that is charged to no budget.
    fn from(bytes: Vec<u8>) -> Self {
        let length = bytes.len();
        let segments = if bytes.is_empty() { Vec::new() } else { vec![bytes.into()] };
        Self { segments: Arc::new(segments), length, ..Self::default() }
    }
}

impl Body for Buffered {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = self.get_mut();
        let (index, bytes) = this.polled;
        let Some(segment) = this.segments.get(index).cloned() else { return Poll::Ready(None) };
        this.polled = (index + 1, bytes + segment.len());
        if let Some(Taken(whole)) = this.taken.as_ref().filter(|_| this.is_end_stream()) {
            whole.store(true, Ordering::Relaxed);
        }
        Poll::Ready(Some(Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.polled.0 == self.segments.len()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(u64::try_from(self.length - self.polled.1).unwrap_or(u64::MAX))
    }
}

/// Writes what arrives into segments.
struct Writer {
    upload: Revocable,
    segments: Vec<Bytes>,
    current: BytesMut,
    /// The bytes written so far.
    length: usize,
}

impl Writer {
    /// Writes bytes of a body that ends at `end` bytes, or before.
    async fn write(&mut self, mut bytes: &[u8], end: usize) -> Result<()> {
        while !bytes.is_empty() {
            let room = self.current.capacity() - self.current.len();
            if room == 0 {
                self.add_segment(bytes.len(), end).await?;
                continue;
            }
            let (now, later) = bytes.split_at(room.min(bytes.len()));
            self.current.put_slice(now);
            self.length += now.len();
            bytes = later;
        }
        Ok(())
    }

    async fn add_segment(&mut self, arrived: usize, end: usize) -> Result<()> {
        let doubled = (2 * self.current.capacity()).max(MIN_SEGMENT_BYTES);
        let size = doubled.max(arrived).min(MAX_SEGMENT_BYTES).min(end - self.length);
        self.upload.grow(size).await?;
        self.close_segment();
        self.current = BytesMut::with_capacity(size);
        Ok(())
    }

    fn close_segment(&mut self) {
        if !self.current.is_empty() {
            self.segments.push(std::mem::take(&mut self.current).freeze());
        }
    }

    fn finish(mut self) -> Result<Buffered> {
        self.close_segment();
        Ok(Buffered {
            segments: Arc::new(self.segments),
            length: self.length,
            polled: (0, 0),
            holding: Some(Arc::new(self.upload.finish()?)),
            taken: None,
        })
    }
}
