//! The pool of connections to one target.
//!
//! New connections cost a target time, so idle ones are kept for as long as the target keeps them.
//! A connection carries one request at a time and is reused only after a regular exchange: a late
//! or duplicate response on it would otherwise reach another caller.

use crate::targets::head_check::{Check, Stream};
use body::Buffered;
use compact_str::{CompactString, ToCompactString};
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// The result of opening a connection.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why there is no connection. Nothing was sent.
#[derive(Debug, Clone, thiserror::Error)]
pub enum Error {
    /// All connections that this process may have to the target are in use.
    #[error("{max} connections to {target} are in use")]
    Full {
        /// The target.
        target: SocketAddr,
        /// The number of connections allowed.
        max: u32,
    },
    /// The target could not be reached.
    #[error("connect to {target}: {detail}")]
    Connect {
        /// The target.
        target: SocketAddr,
        /// The cause.
        detail: CompactString,
    },
}

/// Connect timeout where no connect times have been observed: several round trips between failure
/// domains, less than the second after which a lost first packet is sent again.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// After this time without an acknowledgement a connection counts as dead. One that fails without a
/// reset would otherwise hold its request until the deadline.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle timeout where the target doesn't report its own.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// The share of the target's own idle timeout after which a connection is no longer used, so that
/// no request is sent while the target closes it.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;

/// The largest head of a target's response, in bytes, and the most of it that is read at a time.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The most bytes of a final head and the interim ones before it.
const MAX_HEADS_BYTES: usize = 4 * MAX_HEAD_BYTES;

/// The connections to one target.
#[derive(Debug)]
pub struct Pool(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    address: SocketAddr,
    idle: Mutex<Vec<Idle>>,
    open: AtomicU32,
    /// Whether a task is running that closes idle connections when they are due.
    has_expiry_task: AtomicBool,
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Buffered>,
    surplus: Surplus,
    check: Check,
    until: Instant,
    count: OpenCount,
}

/// A connection in use. It is closed when dropped, unless [`Connection::keep`] returns it to the
/// pool.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Buffered>,
    /// Whether it has carried requests before.
    pub reused: bool,
    /// How long it took to open, if this request opened it.
    pub connect_time: Option<Duration>,
    surplus: Surplus,
    check: Check,
    count: OpenCount,
    pool: Arc<Inner>,
}

/// Whether a connection ended with bytes that are no part of a response.
#[derive(Debug, Clone, Default)]
struct Surplus(Arc<AtomicBool>);

impl Surplus {
    /// Judges what had been read and not used when the connection ended. A second response is no
    /// surplus: targets may send one after a complete response.
    fn judge(&self, unused: &[u8]) {
        let length = unused.len().min(RESPONSE_START.len());
        let is_response = unused[..length] == RESPONSE_START[..length];
        self.0.store(!is_response, Ordering::Release);
    }

    fn is_found(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// The start of each response.
const RESPONSE_START: &[u8] = b"HTTP/1.";

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
struct OpenCount(Arc<Inner>);

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(address: SocketAddr) -> Self {
        let (idle, open) = (Mutex::default(), AtomicU32::new(0));
        let has_expiry_task = AtomicBool::new(false);
        Self(Arc::new(Inner { address, idle, open, has_expiry_task }))
    }

    /// Returns whether there is an idle connection.
    pub fn has_idle(&self, now: Instant) -> bool {
        let idle = self.0.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.iter().any(|idle| idle.until > now && !idle.sender.is_closed())
    }

    /// Returns whether there is an idle connection, or one may be opened of at most `max`.
    pub fn has_room(&self, max: u32, now: Instant) -> bool {
        self.0.open.load(Ordering::Relaxed) < max || self.has_idle(now)
    }

    /// Returns an idle connection, or opens a new one within `connect_timeout` if fewer than `max`
    /// are open.
    pub async fn take(
        &self,
        max: u32,
        connect_timeout: Duration,
        now: Instant,
    ) -> Result<Connection> {
        if let Some(connection) = self.reuse(now) {
            return Ok(connection);
        }
        self.open(max, connect_timeout).await
    }

    fn reuse(&self, now: Instant) -> Option<Connection> {
        let mut idle = self.0.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let mut unready = Vec::new();
        let found = loop {
            let Some(next) = idle.pop() else { break None };
            if next.until <= now || next.sender.is_closed() {
                continue;
            }
            if next.sender.is_ready() {
                break Some(next);
            }
            // Its task has not yet processed the end of the last response.
            unready.push(next);
        };
        idle.append(&mut unready);
        let Idle { sender, surplus, check, count, .. } = found?;
        let (reused, connect_time, pool) = (true, None, self.0.clone());
        Some(Connection { sender, reused, connect_time, surplus, check, count, pool })
    }

    async fn open(&self, max: u32, connect_timeout: Duration) -> Result<Connection> {
        let target = self.0.address;
        let count = OpenCount(self.0.clone());
        let open = self.0.open.fetch_add(1, Ordering::Relaxed);
        if open >= max {
            return Err(Error::Full { target, max });
        }
        let began = Instant::now();
        let stream = connect(target, connect_timeout).await?;
        let connect_time = Some(began.elapsed());
        let failed = |detail| Error::Connect { target, detail };
        let check = Check::default();
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let (sender, mut connection) = builder
            .handshake(TokioIo::new(Stream::new(stream, check.clone())))
            .await
            .map_err(|error| failed(error.to_compact_string()))?;
        let surplus = Surplus::default();
        let found = surplus.clone();
        tokio::spawn(async move {
            let ended = poll_fn(|context| connection.poll_without_shutdown(context)).await;
            if let Err(error) = ended {
                log::debug!(target: "pool", target:% = target, error:% = error; "connection ended");
            }
            found.judge(&connection.into_parts().read_buf);
        });
        let (reused, pool) = (false, self.0.clone());
        Ok(Connection { sender, reused, connect_time, surplus, check, count, pool })
    }
}

impl Inner {
    /// Starts a task that closes idle connections before the target does, for as long as there are
    /// any.
    fn expire_when_due(self: &Arc<Self>) {
        if self.has_expiry_task.swap(true, Ordering::Relaxed) {
            return;
        }
        let pool = Arc::downgrade(self);
        tokio::spawn(async move {
            while let Some(due) = pool.upgrade().and_then(|pool| pool.expire(Instant::now())) {
                tokio::time::sleep_until(due).await;
            }
        });
    }

    /// Closes idle connections that are due, and returns when the next one is, or `None` if there
    /// is none.
    fn expire(&self, now: Instant) -> Option<Instant> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|idle| idle.until > now && !idle.sender.is_closed());
        let next = idle.iter().map(|idle| idle.until).min();
        // Stored under the lock, so that whoever returns the next connection starts a new task.
        self.has_expiry_task.store(next.is_some(), Ordering::Relaxed);
        next
    }
}

impl Connection {
    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &mut self,
        request: Request<Buffered>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Buffered>>> {
        self.check.begin(MAX_HEADS_BYTES);
        let response = self.sender.try_send_request(request).await;
        self.check.end();
        response
    }

    /// Returns whether the response whose body has just ended was followed by bytes that are no
    /// response. What arrives later is not seen.
    pub fn has_surplus(&mut self) -> bool {
        // The connection looks for such bytes once the response is over, and ends if there are any.
        let mut context = Context::from_waker(Waker::noop());
        let is_ready = self.sender.poll_ready(&mut context);
        matches!(is_ready, Poll::Ready(Err(_))) && self.surplus.is_found()
    }

    /// Returns the connection to the pool for another request; `idle_timeout` is the target's own.
    pub fn keep(self, idle_timeout: Option<Duration>, now: Instant) {
        if self.sender.is_closed() {
            return;
        }
        let until = now
            + idle_timeout
                .map_or(DEFAULT_IDLE_TIMEOUT, |timeout| timeout.mul_f64(IDLE_TIMEOUT_SHARE));
        let Self { sender, surplus, check, count, pool, .. } = self;
        let mut idle = pool.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(Idle { sender, surplus, check, until, count });
        drop(idle);
        pool.expire_when_due();
    }
}

/// Connects within `connect_timeout`, with the socket options that detect a dead peer.
pub async fn connect(target: SocketAddr, connect_timeout: Duration) -> Result<TcpStream> {
    let failed = |detail| Error::Connect { target, detail };
    let stream = match timeout(connect_timeout, TcpStream::connect(target)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(failed(error.to_compact_string())),
        Err(_) => return Err(failed("no response in time".into())),
    };
    let options = stream
        .set_nodelay(true)
        .and_then(|()| socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT)));
    if let Err(error) = options {
        log::debug!(target: "pool", target:% = target, error:% = error; "socket options not set");
    }
    Ok(stream)
}
