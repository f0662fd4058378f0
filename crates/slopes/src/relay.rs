//! Links that count the bytes of their payload, without TCP and IP headers.

use async_trait::async_trait;
use eyre::Result;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A TCP relay in front of one address.
#[derive(Clone)]
pub(crate) struct Relay {
    /// Address at which the relay listens, `host:port`.
    pub(crate) address: String,
    bytes: Arc<AtomicU64>,
}

impl Relay {
    /// Starts a relay to `target`, `host:port`, which adds to `bytes`.
    pub(crate) async fn start(target: String, bytes: Arc<AtomicU64>) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?.to_string();
        let counted = bytes.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(relay(near, target.clone(), counted.clone()));
            }
        });
        Ok(Self { address, bytes })
    }

    /// Bytes relayed so far, in both directions.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

async fn relay(near: TcpStream, target: String, bytes: Arc<AtomicU64>) {
    let Ok(far) = TcpStream::connect(target).await else { return };
    // Nagle's algorithm would delay small frames and distort the measurement.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    join(near, far, &bytes).await;
}

async fn join(
    near: impl AsyncRead + AsyncWrite,
    far: impl AsyncRead + AsyncWrite,
    bytes: &AtomicU64,
) {
    let (near_read, near_write) = tokio::io::split(near);
    let (far_read, far_write) = tokio::io::split(far);
    tokio::select! {
        () = copy(near_read, far_write, bytes) => {}
        () = copy(far_read, near_write, bytes) => {}
    }
}

/// Dials TCP and counts the bytes of the links; one counter per group of processes keeps their
/// links apart.
pub(crate) struct CountingDialler {
    /// Counter that the bytes are added to.
    pub(crate) bytes: Arc<AtomicU64>,
}

/// Size in bytes of the buffer between a process and its link.
const BUFFER_BYTES: usize = 64 * 1024;

#[async_trait]
impl wire::Dialler for CountingDialler {
    async fn dial(&self, address: &str) -> wire::Result<wire::Pipe> {
        let far = wire::TcpDialler.dial(address).await?;
        let (near, ours) = tokio::io::duplex(BUFFER_BYTES);
        let bytes = self.bytes.clone();
        tokio::spawn(async move { join(ours, far, &bytes).await });
        Ok(Box::new(near))
    }
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    bytes: &AtomicU64,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(length) = from.read(&mut buffer).await {
        let chunk = &buffer[..length];
        if length == 0 || to.write_all(chunk).await.is_err() {
            return;
        }
        bytes.fetch_add(chunk.iter().map(|_| 1).sum(), Ordering::Relaxed);
    }
}
