//! One framed connection to a peer.

use crate::{Codec, Error, Frame, Pipe, Result};
use compact_str::CompactString;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use tokio_util::codec::Framed;

/// A framed connection that is not yet split into its two halves.
pub struct Connection {
    framed: Framed<Pipe, Codec>,
    peer: CompactString,
}

/// The half of a connection that receives.
pub struct Reader {
    frames: SplitStream<Framed<Pipe, Codec>>,
    peer: CompactString,
}

/// The half of a connection that sends.
pub struct Writer {
    frames: SplitSink<Framed<Pipe, Codec>, Frame>,
}

impl Connection {
    /// Frames `pipe`, whose other side is `peer` (an address, for errors and logs).
    pub fn new(pipe: Pipe, peer: CompactString) -> Self {
        Self { framed: Framed::new(pipe, Codec::new(peer.clone())), peer }
    }

    /// The other side's address.
    pub fn peer(&self) -> &CompactString {
        &self.peer
    }

    /// Sends one frame and flushes it.
    pub async fn send(&mut self, frame: Frame) -> Result<()> {
        self.framed.send(frame).await
    }

    /// Receives the next frame; a closed connection is an error here, since `step` waits for it.
    pub async fn receive(&mut self, step: &'static str) -> Result<Frame> {
        match self.framed.next().await {
            Some(frame) => frame,
            None => Err(Error::Closed { step, peer: self.peer.clone() }),
        }
    }

    /// Splits the connection for a task that reads and one that writes.
    pub fn split(self) -> (Reader, Writer) {
        let (sink, stream) = self.framed.split();
        (Reader { frames: stream, peer: self.peer }, Writer { frames: sink })
    }
}

impl Reader {
    /// Receives the next frame, or `None` when the peer has closed the connection.
    pub async fn next(&mut self) -> Option<Result<Frame>> {
        self.frames.next().await
    }

    /// The other side's address.
    pub fn peer(&self) -> &CompactString {
        &self.peer
    }
}

impl Writer {
    /// Queues a frame without flushing, so that several share one system call.
    pub async fn feed(&mut self, frame: Frame) -> Result<()> {
        self.frames.feed(frame).await
    }

    /// Sends all frames that were fed.
    pub async fn flush(&mut self) -> Result<()> {
        self.frames.flush().await
    }
}
