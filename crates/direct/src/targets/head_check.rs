//! Checks what a target sends before the body of its response, as it is read.
//!
//! The HTTP client bounds each head, but discards interim responses (1xx) without counting them, and
//! takes a line feed alone for the end of a line: an empty line that was damaged into the head ends it
//! early, and the rest of the head becomes content.

use std::io::{Error, IoSlice, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What is read of the response that is awaited.
#[derive(Debug, Clone, Default)]
pub struct Check(Arc<Mutex<Option<Heads>>>);

/// The interim heads and the final one, as far as they were read.
#[derive(Debug)]
struct Heads {
    /// The bytes that may still be read.
    left: usize,
    /// The bytes of the present head so far.
    length: usize,
    is_interim: bool,
    /// The bytes of the present line so far, without its end.
    line_length: usize,
    after_cr: bool,
}

/// Where the status stands in a head: after `HTTP/1.1` and a blank.
const STATUS_AT: usize = 9;

impl Check {
    /// Expects a response, of whose heads `max_bytes` may be read.
    pub fn begin(&self, max_bytes: usize) {
        *self.lock() = Some(Heads {
            left: max_bytes,
            length: 0,
            is_interim: false,
            line_length: 0,
            after_cr: false,
        });
    }

    /// Ends the check once the final head has arrived.
    pub fn end(&self) {
        *self.lock() = None;
    }

    /// Checks bytes that were read.
    fn check(&self, bytes: &[u8]) -> Result<()> {
        let mut heads = self.lock();
        let Some(state) = heads.as_mut() else { return Ok(()) };
        for byte in bytes {
            if state.step(*byte)? {
                *heads = None;
                return Ok(());
            }
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Option<Heads>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Heads {
    /// Takes the next byte; returns whether it ends the final head.
    fn step(&mut self, byte: u8) -> Result<bool> {
        if self.left == 0 {
            return Err(Error::other("too many bytes before the body of the response"));
        }
        self.left -= 1;
        if self.length == STATUS_AT {
            self.is_interim = byte == b'1';
        }
        self.length += 1;
        let after_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
        match byte {
            b'\n' if !after_cr => {
                return Err(Error::other("a line of the head ends without a carriage return"));
            }
            // An empty line may precede the status line.
            b'\n' if self.line_length == 0 && self.length > 2 => {
                let is_final = !self.is_interim;
                (self.length, self.is_interim) = (0, false);
                return Ok(is_final);
            }
            b'\n' => self.line_length = 0,
            b'\r' => {}
            _ => self.line_length += 1,
        }
        Ok(false)
    }
}

/// A connection whose reads are checked.
#[derive(Debug)]
pub struct Stream {
    stream: TcpStream,
    check: Check,
}

impl Stream {
    /// Checks the reads of `stream`.
    pub fn new(stream: TcpStream, check: Check) -> Self {
        Self { stream, check }
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
        match Pin::new(&mut this.stream).poll_read(context, buffer) {
            Poll::Ready(Ok(())) => Poll::Ready(this.check.check(&buffer.filled()[before..])),
            other => other,
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
