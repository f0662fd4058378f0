//! Connections to one target.
//!
//! New connections cost a target time, so idle ones are kept for as long as the target keeps them.
//! A connection carries one request at a time, and only one whose exchange went by the book is
//! used again: a late or doubled answer on it would otherwise reach another caller.

use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// The result of opening a connection.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why there is no connection; nothing was sent.
#[derive(Debug, Clone, thiserror::Error)]
pub enum Error {
    /// All connections that this process may have to the target are in use.
    #[error("{most} connections to {target} are in use")]
    Full {
        /// The target.
        target: SocketAddr,
        /// How many there may be.
        most: u32,
    },
    /// It could not be reached.
    #[error("connect to {target}: {detail}")]
    Connect {
        /// The target.
        target: SocketAddr,
        /// What was seen.
        detail: CompactString,
    },
}

/// How long connecting may take where nothing is known of it: several round trips between failure
/// domains, less than the second after which a lost first packet is sent again.
pub const CONNECT: Duration = Duration::from_millis(400);

/// After this time without an acknowledgement a connection counts as dead: one that went silent
/// without a reset would hold its request until the deadline.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);

/// How long an idle connection is kept if the target doesn't say how long it does.
const IDLE: Duration = Duration::from_secs(4);

/// The share of the target's own idle time after which a connection is no longer used, so that
/// no request crosses the target's close.
const IDLE_SHARE: f64 = 0.6;

/// The largest head of a target's answer, in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// The connections to one target.
#[derive(Debug)]
pub struct Pool(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    address: SocketAddr,
    idle: Mutex<Vec<Idle>>,
    open: AtomicU32,
    /// Whether a task closes idle connections when they are due.
    expires: AtomicBool,
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    until: Instant,
    count: Counted,
}

/// A connection in use. Dropped, it is closed; [`Connection::keep`] keeps it.
#[derive(Debug)]
pub struct Connection {
    /// Sends the request.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it carried requests before.
    pub reused: bool,
    /// How long it took to open, if this request opened it.
    pub connect_time: Option<Duration>,
    count: Counted,
    pool: Arc<Inner>,
}

/// Counts as open until dropped.
#[derive(Debug)]
struct Counted(Arc<Inner>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Pool {
    /// A pool without connections.
    pub fn new(address: SocketAddr) -> Self {
        let (idle, open) = (Mutex::default(), AtomicU32::new(0));
        let expires = AtomicBool::new(false);
        Self(Arc::new(Inner { address, idle, open, expires }))
    }

    /// An idle connection, or a new one if fewer than `most` are open; `patience` is how long that is
    /// waited for.
    pub async fn take(&self, most: u32, patience: Duration, now: Instant) -> Result<Connection> {
        if let Some(connection) = self.reuse(now) {
            return Ok(connection);
        }
        self.open(most, patience).await
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
            // Its task has not seen yet that the last answer has ended.
            unready.push(next);
        };
        idle.append(&mut unready);
        let Idle { sender, count, .. } = found?;
        Some(Connection { sender, reused: true, connect_time: None, count, pool: self.0.clone() })
    }

    async fn open(&self, most: u32, patience: Duration) -> Result<Connection> {
        let target = self.0.address;
        let count = Counted(self.0.clone());
        let open = self.0.open.fetch_add(1, Ordering::Relaxed);
        if open >= most {
            return Err(Error::Full { target, most });
        }
        let began = Instant::now();
        let stream = connect(target, patience).await?;
        let opened = Some(began.elapsed());
        let failed = |detail| Error::Connect { target, detail };
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD);
        let (sender, connection) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| failed(error.to_compact_string()))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(target: "pool", target:% = target, error:% = error; "connection ended");
            }
        });
        Ok(Connection { sender, reused: false, connect_time: opened, count, pool: self.0.clone() })
    }
}

impl Inner {
    /// Has idle connections closed that the target will close soon, for as long as there are any.
    fn expire_when_due(self: &Arc<Self>) {
        if self.expires.swap(true, Ordering::Relaxed) {
            return;
        }
        let pool = Arc::downgrade(self);
        tokio::spawn(async move {
            while let Some(due) = pool.upgrade().and_then(|pool| pool.expire(Instant::now())) {
                tokio::time::sleep_until(due).await;
            }
        });
    }

    /// Closes idle connections that are due, and says when the next one is; `None` if there is none.
    fn expire(&self, now: Instant) -> Option<Instant> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|idle| idle.until > now && !idle.sender.is_closed());
        let next = idle.iter().map(|idle| idle.until).min();
        // Under the lock, so that whoever keeps the next one begins anew.
        self.expires.store(next.is_some(), Ordering::Relaxed);
        next
    }
}

impl Connection {
    /// Keeps the connection for another request; `idle` is how long the target keeps it.
    pub fn keep(self, idle: Option<Duration>, now: Instant) {
        if self.sender.is_closed() {
            return;
        }
        let until = now + idle.map_or(IDLE, |idle| idle.mul_f64(IDLE_SHARE));
        let mut kept = self.pool.idle.lock().unwrap_or_else(PoisonError::into_inner);
        kept.push(Idle { sender: self.sender, until, count: self.count });
        drop(kept);
        self.pool.expire_when_due();
    }
}

/// Connects within `patience`, with the options that make a dead peer show.
pub async fn connect(target: SocketAddr, patience: Duration) -> Result<TcpStream> {
    let failed = |detail| Error::Connect { target, detail };
    let stream = match timeout(patience, TcpStream::connect(target)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(failed(error.to_compact_string())),
        Err(_) => return Err(failed("no answer in time".into())),
    };
    let options = stream
        .set_nodelay(true)
        .and_then(|()| socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED)));
    if let Err(error) = options {
        log::debug!(target: "pool", target:% = target, error:% = error; "socket options not set");
    }
    Ok(stream)
}
