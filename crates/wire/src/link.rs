//! Byte streams between processes, behind traits so that tests need no sockets.
//!
//! With a paused clock, real sockets are not deterministic, since the clock advances while a task
//! waits for a socket. The links of a [`MemoryNetwork`] are, and they can be cut.

use crate::{Error, Result};
use async_trait::async_trait;
use compact_str::{CompactString, ToCompactString, format_compact};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc;

/// A bidirectional byte stream.
pub trait Bytestream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Bytestream for T {}

/// A byte stream to a peer.
pub type Pipe = Box<dyn Bytestream>;

/// Opens byte streams to peers.
#[async_trait]
pub trait Dialler: Send + Sync {
    /// Connects to `address`, which is `host:port` for TCP.
    async fn dial(&self, address: &str) -> Result<Pipe>;
}

/// Accepts byte streams from peers.
#[async_trait]
pub trait Listener: Send {
    /// Waits for the next connection; returns its stream and the peer's address.
    async fn accept(&mut self) -> Result<(Pipe, CompactString)>;
}

/// Connects over TCP.
#[derive(Debug, Default)]
pub struct TcpDialler;

#[async_trait]
impl Dialler for TcpDialler {
    async fn dial(&self, address: &str) -> Result<Pipe> {
        let io = |source| Error::Io { step: "dial", peer: address.to_compact_string(), source };
        let stream = tokio::net::TcpStream::connect(address).await.map_err(io)?;
        stream.set_nodelay(true).map_err(io)?;
        Ok(Box::new(stream))
    }
}

/// Listens on TCP.
#[derive(Debug)]
pub struct TcpListener {
    socket: tokio::net::TcpListener,
}

impl TcpListener {
    /// Binds `address`, `host:port`; port 0 selects a free one.
    pub async fn bind(address: &str) -> Result<Self> {
        let io = |source| Error::Io { step: "listen", peer: address.to_compact_string(), source };
        Ok(Self { socket: crate::listen(address).await.map_err(io)? })
    }

    /// The bound address, `host:port`.
    pub fn address(&self) -> Result<CompactString> {
        let peer = CompactString::const_new("self");
        let address = self.socket.local_addr();
        address.map(|a| a.to_compact_string()).map_err(|source| Error::Io {
            step: "listen",
            peer,
            source,
        })
    }
}

#[async_trait]
impl Listener for TcpListener {
    async fn accept(&mut self) -> Result<(Pipe, CompactString)> {
        let peer = CompactString::const_new("any");
        let accepted = self.socket.accept().await;
        let (stream, address) =
            accepted.map_err(|source| Error::Io { step: "accept", peer, source })?;
        let peer = address.to_compact_string();
        let nodelay = stream.set_nodelay(true);
        nodelay.map_err(|source| Error::Io { step: "accept", peer: peer.clone(), source })?;
        Ok((Box::new(stream), peer))
    }
}

/// The number of bytes that a link in memory buffers before its writer waits.
const MEMORY_LINK_BYTES: usize = 256 * 1024;

/// A network in memory: addresses are arbitrary names, and links between them can be cut.
#[derive(Clone, Default)]
pub struct MemoryNetwork {
    inner: Arc<Mutex<Inner>>,
    local: CompactString,
}

#[derive(Default)]
struct Inner {
    listeners: HashMap<CompactString, mpsc::UnboundedSender<(Pipe, CompactString)>>,
    cut: HashSet<(CompactString, CompactString)>,
    links: Vec<Link>,
}

struct Link {
    from: CompactString,
    to: CompactString,
    copy_task: tokio::task::AbortHandle,
}

/// Listens on a [`MemoryNetwork`].
pub struct MemoryListener {
    incoming: mpsc::UnboundedReceiver<(Pipe, CompactString)>,
}

impl MemoryNetwork {
    /// The same network with `name` as the local process, to which cuts refer.
    pub fn at(&self, name: &str) -> Self {
        Self { inner: self.inner.clone(), local: name.to_compact_string() }
    }

    /// Listens on `address`; replaces an earlier listener, as a restarted process does.
    pub fn listen(&self, address: &str) -> MemoryListener {
        let (sender, incoming) = mpsc::unbounded_channel();
        self.lock().listeners.insert(address.to_compact_string(), sender);
        MemoryListener { incoming }
    }

    /// Cuts all links from process `from` to address `to` and refuses new ones.
    pub fn cut(&self, from: &str, to: &str) {
        let mut inner = self.lock();
        inner.cut.insert((from.to_compact_string(), to.to_compact_string()));
        inner.links.retain(|link| {
            let matches = link.from == from && link.to == to;
            if matches {
                link.copy_task.abort();
            }
            !matches
        });
    }

    /// Allows links from process `from` to address `to` again.
    pub fn repair(&self, from: &str, to: &str) {
        self.lock().cut.remove(&(from.to_compact_string(), to.to_compact_string()));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl Dialler for MemoryNetwork {
    async fn dial(&self, address: &str) -> Result<Pipe> {
        let refused = |reason: &str| Error::Io {
            step: "dial",
            peer: address.to_compact_string(),
            source: std::io::Error::new(std::io::ErrorKind::ConnectionRefused, reason.to_owned()),
        };
        let mut inner = self.lock();
        if inner.cut.contains(&(self.local.clone(), address.to_compact_string())) {
            return Err(refused("the link is cut"));
        }
        let listener = inner.listeners.get(address).ok_or_else(|| refused("no process listens"))?;
        let (near, mut near_inner) = tokio::io::duplex(MEMORY_LINK_BYTES);
        let (mut far_inner, far) = tokio::io::duplex(MEMORY_LINK_BYTES);
        let peer = format_compact!("{}>{address}", self.local);
        listener.send((Box::new(far), peer)).map_err(|_| refused("no process listens"))?;
        // The task copies between the two ends, so that a cut closes both at the same time.
        let copy_task = tokio::spawn(async move {
            let _ = tokio::io::copy_bidirectional(&mut near_inner, &mut far_inner).await;
        });
        let (from, to) = (self.local.clone(), address.to_compact_string());
        inner.links.retain(|link| !link.copy_task.is_finished());
        inner.links.push(Link { from, to, copy_task: copy_task.abort_handle() });
        Ok(Box::new(near))
    }
}

#[async_trait]
impl Listener for MemoryListener {
    async fn accept(&mut self) -> Result<(Pipe, CompactString)> {
        let peer = CompactString::const_new("any");
        self.incoming.recv().await.ok_or(Error::Closed { step: "accept", peer })
    }
}
