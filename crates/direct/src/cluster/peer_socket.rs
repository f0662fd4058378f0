//! The socket for datagrams between entries, and the requests that wait for a response on it.

use crate::cluster::messages::{Envelope, Payload, Response};
use crate::costs;
use policy::Hash;
use policy::reservations::ReservationId;
use prost::Message;
use std::collections::{BTreeMap, HashMap};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The socket, once it is bound, and the pending requests.
#[derive(Debug)]
pub struct PeerSocket {
    socket: OnceLock<Arc<UdpSocket>>,
    pending: Mutex<HashMap<ReservationId, oneshot::Sender<Response>>>,
    /// Entries that did not respond, with the time until which they get no requests.
    unresponsive: Mutex<HashMap<Hash, Instant>>,
    next_id: AtomicU64,
    /// Datagrams and bytes that were sent since they were last logged, by kind.
    sent: Mutex<BTreeMap<&'static str, (u64, u64)>>,
}

/// A request that waits for its response, until it is dropped.
#[derive(Debug)]
pub struct PendingRequest<'a> {
    socket: &'a PeerSocket,
    id: ReservationId,
    /// Resolves to the response.
    pub response: oneshot::Receiver<Response>,
}

impl PeerSocket {
    /// Creates a socket whose ids count from `first`, which has to differ between processes.
    pub fn new(first: ReservationId) -> Self {
        let (socket, pending, unresponsive) = (OnceLock::new(), Mutex::default(), Mutex::default());
        let (next_id, sent) = (AtomicU64::new(first), Mutex::default());
        Self { socket, pending, unresponsive, next_id, sent }
    }

    /// Sets the bound socket, on which datagrams are sent from now on.
    pub fn open(&self, socket: Arc<UdpSocket>) {
        if self.socket.set(socket).is_err() {
            log::warn!(target: "peers", "a second socket for datagrams is left alone");
        }
    }

    /// Returns an id that no other request or process uses.
    pub fn unique_id(&self) -> ReservationId {
        // 0 identifies no reservation.
        self.next_id.fetch_add(1, Ordering::Relaxed).max(1)
    }

    /// Registers a request whose response will be awaited.
    pub fn expect_response(&self, id: ReservationId) -> PendingRequest<'_> {
        let (sender, response) = oneshot::channel();
        self.pending().insert(id, sender);
        PendingRequest { socket: self, id, response }
    }

    /// Delivers a response to its pending request; returns it if there is none any more.
    pub fn deliver(&self, response: Response) -> Result<(), Response> {
        match self.pending().remove(&response.reservation) {
            Some(sender) => sender.send(response),
            None => Err(response),
        }
    }

    /// Records that an entry did not respond; it gets no requests until then.
    pub fn mark_unresponsive(&self, entry: Hash, until: Instant) {
        self.unresponsive().insert(entry, until);
    }

    /// Returns whether an entry recently did not respond.
    pub fn is_unresponsive(&self, entry: Hash, now: Instant) -> bool {
        let mut unresponsive = self.unresponsive();
        unresponsive.retain(|_, until| now < *until);
        unresponsive.contains_key(&entry)
    }

    fn unresponsive(&self) -> MutexGuard<'_, HashMap<Hash, Instant>> {
        self.unresponsive.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a message. Like any datagram, it may be lost.
    pub fn send(&self, payload: Payload, to: SocketAddr) {
        let Some(socket) = self.socket.get() else { return };
        let kind = payload.kind();
        let bytes = Envelope { payload: Some(payload) }.encode_to_vec();
        self.count_sent(kind, bytes.len(), 1);
        let log_failure = move |error: std::io::Error| {
            log::debug!(target: "peers", address:% = to, error:% = error; "datagram not sent");
        };
        match socket.try_send_to(&bytes, to) {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                let socket = socket.clone();
                tokio::spawn(async move {
                    if let Err(error) = socket.send_to(&bytes, to).await {
                        log_failure(error);
                    }
                });
            }
            Err(error) => log_failure(error),
        }
    }

    /// Counts datagrams that are sent to other entries.
    pub fn count_sent(&self, kind: &'static str, bytes: usize, copies: usize) {
        let number = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
        let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        let (count, total) = sent.entry(kind).or_default();
        *count += number(copies);
        *total += number(bytes * copies);
    }

    /// Logs how many datagrams were sent since the last call.
    pub fn log_sent(&self) {
        let sent = std::mem::take(&mut *self.sent.lock().unwrap_or_else(PoisonError::into_inner));
        for (kind, (count, bytes)) in sent {
            costs::datagrams(kind, count, bytes);
        }
    }

    fn pending(&self) -> MutexGuard<'_, HashMap<ReservationId, oneshot::Sender<Response>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.socket.pending().remove(&self.id);
    }
}
