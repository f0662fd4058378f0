//! Bounds what a target may send before the final head of a response.
//!
//! The HTTP client bounds each head, and discards interim responses (1xx) without counting them: a
//! faulty target may send these for as long as the request waits.

use std::io::{Error, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The bytes that may still be read before the final head.
#[derive(Debug, Clone, Default)]
pub struct Allowance(Arc<AtomicUsize>);

/// Stands for no bound.
const UNLIMITED: usize = usize::MAX;

impl Allowance {
    /// Sets the bound, before a request is sent.
    pub fn limit(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Lifts the bound, once the head has arrived: the body is bounded by whoever reads it.
    pub fn lift(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Takes bytes that were read; returns whether that was allowed.
    fn take(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left == UNLIMITED {
            return true;
        }
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        bytes <= left
    }
}

/// A connection whose reads are charged to an allowance.
#[derive(Debug)]
pub struct Stream {
    stream: TcpStream,
    allowance: Allowance,
}

impl Stream {
    /// Charges the reads of `stream` to `allowance`.
    pub fn new(stream: TcpStream, allowance: Allowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let read = Pin::new(&mut this.stream).poll_read(context, buffer);
        if this.allowance.take(buffer.filled().len() - before) {
            read
        } else {
            Poll::Ready(Err(Error::other("too many bytes before the head of the response")))
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
