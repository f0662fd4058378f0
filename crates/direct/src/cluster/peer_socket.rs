//! The socket on which entries hear each other, and the questions that wait for an answer on it.

use crate::cluster::messages::{Envelope, Payload, Response};
use policy::Hash;
use policy::reservations::ReservationId;
use prost::Message;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The socket, once it is bound, and who waits for what.
#[derive(Debug)]
pub struct PeerSocket {
    socket: OnceLock<Arc<UdpSocket>>,
    waiting: Mutex<HashMap<ReservationId, oneshot::Sender<Response>>>,
    /// Entries that did not answer lately, with the time until which they are not asked.
    silent: Mutex<HashMap<Hash, Instant>>,
    next: AtomicU64,
}

/// A question that waits for its answer; dropped, it no longer does.
#[derive(Debug)]
pub struct Question<'a> {
    post: &'a PeerSocket,
    booking: ReservationId,
    /// Resolves to the answer.
    pub response: oneshot::Receiver<Response>,
}

impl PeerSocket {
    /// Names of bookings count from `first`, which has to be another in each process.
    pub fn new(first: ReservationId) -> Self {
        let (socket, waiting, silent) = (OnceLock::new(), Mutex::default(), Mutex::default());
        Self { socket, waiting, silent, next: AtomicU64::new(first) }
    }

    /// Sends on this socket from now on.
    pub fn open(&self, socket: Arc<UdpSocket>) {
        if self.socket.set(socket).is_err() {
            log::warn!(target: "peers", "a second socket for datagrams is left alone");
        }
    }

    /// A name for a booking.
    pub fn unique_id(&self) -> ReservationId {
        // 0 names none.
        self.next.fetch_add(1, Ordering::Relaxed).max(1)
    }

    /// Waits for the answer to a question.
    pub fn expect_response(&self, booking: ReservationId) -> Question<'_> {
        let (sender, answer) = oneshot::channel();
        self.waiting().insert(booking, sender);
        Question { post: self, booking, response: answer }
    }

    /// Passes an answer to whoever waits for it; gives it back if nobody does any more.
    pub fn deliver(&self, answer: Response) -> Result<(), Response> {
        match self.waiting().remove(&answer.reservation) {
            Some(sender) => sender.send(answer),
            None => Err(answer),
        }
    }

    /// Notes that an entry did not answer: it is not asked until then.
    pub fn mark_unresponsive(&self, entry: Hash, until: Instant) {
        self.silence().insert(entry, until);
    }

    /// Whether an entry did not answer lately.
    pub fn is_unresponsive(&self, entry: Hash, now: Instant) -> bool {
        let mut silent = self.silence();
        silent.retain(|_, until| now < *until);
        silent.contains_key(&entry)
    }

    fn silence(&self) -> MutexGuard<'_, HashMap<Hash, Instant>> {
        self.silent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a datagram. It may be lost, as any.
    pub fn send(&self, word: Payload, to: SocketAddr) {
        let Some(socket) = self.socket.get() else { return };
        let bytes = Envelope { payload: Some(word) }.encode_to_vec();
        let failed = move |error: std::io::Error| {
            log::debug!(target: "peers", address:% = to, error:% = error; "not sent");
        };
        match socket.try_send_to(&bytes, to) {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                let socket = socket.clone();
                tokio::spawn(async move {
                    if let Err(error) = socket.send_to(&bytes, to).await {
                        failed(error);
                    }
                });
            }
            Err(error) => failed(error),
        }
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<ReservationId, oneshot::Sender<Response>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        self.post.waiting().remove(&self.booking);
    }
}
