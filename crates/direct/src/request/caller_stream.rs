//! The connection to a caller, which ends if the caller does not read.
//!
//! A response that is not read holds the piece that waits to be sent, the buffer that it was read into
//! and the connection to its target. It is charged to the memory that callers may make this entry hold
//! for as long as nothing can be sent, and yields like an upload that does not grow.

use crate::targets::pool::MAX_HEAD_BYTES;
use body::Budget;
use body::budget::{Revocable, SMALL_BYTES};
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};
use tokio_util::sync::WaitForCancellationFutureOwned;

/// What a response that is not read holds, in bytes: the piece that waits to be sent, the buffer that
/// the target's next bytes are read into, and the server's own.
const UNREAD_BYTES: usize = 3 * MAX_HEAD_BYTES;

// It yields as large bodies do.
const _: () = assert!(UNREAD_BYTES > SMALL_BYTES);

/// The connection to a caller.
pub struct CallerStream {
    stream: TcpStream,
    memory: Arc<Budget>,
    /// For how long the caller may read nothing.
    timeout: Duration,
    stall: Option<Stall>,
}

/// A time in which nothing can be sent.
struct Stall {
    _memory: Revocable,
    yields: Pin<Box<WaitForCancellationFutureOwned>>,
    timeout: Pin<Box<Sleep>>,
}

impl CallerStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, memory: Arc<Budget>, timeout: Duration) -> Self {
        Self { stream, memory, timeout, stall: None }
    }

    /// Returns the connection.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Passes on how a write went, or fails it if the caller has not read for too long.
    fn follow_write(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.stall = None;
            return written;
        }
        let stall = match &mut self.stall {
            Some(stall) => stall,
            None => {
                let Some(memory) = self.memory.hold_unread(UNREAD_BYTES) else {
                    return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
                };
                let yields = Box::pin(memory.yields().cancelled_owned());
                let timeout = Box::pin(sleep(self.timeout));
                self.stall.insert(Stall { _memory: memory, yields, timeout })
            }
        };
        if stall.yields.as_mut().poll(context).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
        }
        if stall.timeout.as_mut().poll(context).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.follow_write(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.follow_write(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
