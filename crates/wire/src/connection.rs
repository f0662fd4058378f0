//! A framed connection to a peer.

use crate::{Codec, Error, Frame, Pipe, Result};
use compact_str::CompactString;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use tokio_util::codec::Framed;

/// A framed connection before it is split into its two halves.
pub struct Connection {
    framed: Framed<Pipe, Codec>,
    peer: CompactString,
}

/// The receiving half of a connection.
pub struct Reader {
    frames: SplitStream<Framed<Pipe, Codec>>,
    peer: CompactString,
}

/// The sending half of a connection.
pub struct Writer {
    frames: SplitSink<Framed<Pipe, Codec>, Frame>,
}

impl Connection {
    /// Makes a connection over `pipe` to `peer`, an address used in errors and logs.
    pub fn new(pipe: Pipe, peer: CompactString) -> Self {
        Self { framed: Framed::new(pipe, Codec::new(peer.clone())), peer }
    }

    /// The peer's address.
    pub fn peer(&self) -> &CompactString {
        &self.peer
    }

    /// Accepts large frames, once the peer has proved that it has the key.
    pub(crate) fn trust_peer(&mut self) {
        self.framed.codec_mut().trust_peer();
    }

    /// Sends one frame and flushes it.
    pub async fn send(&mut self, frame: Frame) -> Result<()> {
        self.framed.send(frame).await
    }

    /// Receives the frame that `step` waits for; a closed connection is an error.
    pub async fn receive(&mut self, step: &'static str) -> Result<Frame> {
        match self.framed.next().await {
            Some(frame) => frame,
            None => Err(Error::Closed { step, peer: self.peer.clone() }),
        }
    }

    /// Splits the connection, for a task that receives and one that sends.
    pub fn split(self) -> (Reader, Writer) {
        let (sink, stream) = self.framed.split();
        (Reader { frames: stream, peer: self.peer }, Writer { frames: sink })
    }
}

impl Reader {
    /// Receives the next frame; `None` if the peer has closed the connection.
    pub async fn next(&mut self) -> Option<Result<Frame>> {
        self.frames.next().await
    }

    /// The peer's address.
    pub fn peer(&self) -> &CompactString {
        &self.peer
    }
}

impl Writer {
    /// Queues a frame without a flush, so that several frames share one system call.
    pub async fn feed(&mut self, frame: Frame) -> Result<()> {
        self.frames.feed(frame).await
    }

    /// Sends all queued frames.
    pub async fn flush(&mut self) -> Result<()> {
        self.frames.flush().await
    }
}
