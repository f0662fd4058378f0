//! The socket for datagrams between entries, and the requests that wait for a response on it.

use crate::cluster::messages::{Decision, Envelope, Granted, Payload, Report, Response};
use crate::costs;
use policy::Hash;
use policy::distance::Distance;
use policy::reservations::ReservationId;
use policy::round_trip::Estimator;
use prost::Message;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// For how long the answer to an abandoned request is still measured. A later one comes from a peer
/// that was frozen, and says nothing of the network.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(500);

/// An entry to which a request is sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Peer {
    /// The hash of its name.
    pub key: Hash,
    /// How far away it is.
    pub distance: Distance,
}

/// The socket, once it is bound, and the pending requests.
#[derive(Debug)]
pub struct PeerSocket {
    socket: OnceLock<Arc<UdpSocket>>,
    pending: Mutex<Pending>,
    round_trips: Mutex<Estimator>,
    started: Instant,
    /// Entries that did not respond, with the time until which they get no requests.
    unresponsive: Mutex<HashMap<Hash, Instant>>,
    next_id: AtomicU64,
    /// Datagrams and bytes that were sent since they were last logged, by kind.
    sent: Mutex<BTreeMap<&'static str, (u64, u64)>>,
}

/// Requests that were sent and not yet answered.
#[derive(Debug, Default)]
struct Pending {
    requests: HashMap<ReservationId, SentRequest>,
    /// Requests that no longer wait, the oldest first.
    abandoned: VecDeque<(ReservationId, Instant)>,
}

#[derive(Debug)]
struct SentRequest {
    peer: Peer,
    sent_at: Instant,
    /// None once the request no longer waits.
    sender: Option<oneshot::Sender<Response>>,
}

impl Pending {
    fn abandon(&mut self, id: ReservationId, now: Instant) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.sender = None;
            self.abandoned.push_back((id, now));
        }
        while let Some((oldest, _)) =
            self.abandoned.front().filter(|(_, at)| now.duration_since(*at) > MAX_ROUND_TRIP)
        {
            self.requests.remove(oldest);
            self.abandoned.pop_front();
        }
    }
}

/// A request that waits for its response, until it is dropped.
#[derive(Debug)]
pub struct PendingRequest<'a> {
    socket: &'a PeerSocket,
    id: ReservationId,
    address: SocketAddr,
    /// Resolves to the response.
    pub response: oneshot::Receiver<Response>,
}

impl PeerSocket {
    /// Creates a socket whose ids count from `first`, which has to differ between processes.
    pub fn new(first: ReservationId) -> Self {
        let (socket, pending, unresponsive) = (OnceLock::new(), Mutex::default(), Mutex::default());
        let (next_id, sent) = (AtomicU64::new(first), Mutex::default());
        let (round_trips, started) = (Mutex::default(), Instant::now());
        Self { socket, pending, round_trips, started, unresponsive, next_id, sent }
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

    /// Registers a request that is sent to `peer` at `address` now and whose response will be awaited.
    pub fn expect_response(
        &self,
        id: ReservationId,
        peer: Peer,
        address: SocketAddr,
    ) -> PendingRequest<'_> {
        let (sender, response) = oneshot::channel();
        let request = SentRequest { peer, sent_at: Instant::now(), sender: Some(sender) };
        self.pending().requests.insert(id, request);
        PendingRequest { socket: self, id, address, response }
    }

    /// Delivers a response to its pending request; returns it if there is none any more.
    /// Records how long the response took in either case.
    pub fn deliver(&self, response: Response) -> Result<(), Response> {
        let request = self.pending().requests.remove(&response.reservation);
        let Some(SentRequest { peer, sent_at, sender }) = request else { return Err(response) };
        let (round_trip, now) = (sent_at.elapsed(), self.started.elapsed());
        let mut round_trips = self.round_trips();
        if round_trip <= MAX_ROUND_TRIP {
            round_trips.sample(peer.key, peer.distance, round_trip, now);
        }
        let Some(sender) = sender else { return Err(response) };
        round_trips.answered(peer.key, now);
        sender.send(response)
    }

    /// Returns how long to wait for the response of an entry to a request with this objective.
    pub fn wait(&self, peer: Peer, objective: Duration) -> Duration {
        self.round_trips().wait(peer.key, peer.distance, objective)
    }

    /// Records that an entry did not respond within `wait`. If that makes it unresponsive, it gets
    /// no requests for `skipped_for`.
    pub fn record_timeout(
        &self,
        peer: Peer,
        wait: Duration,
        objective: Duration,
        skipped_for: Duration,
    ) {
        if self.round_trips().timed_out(peer.key, wait, objective, self.started.elapsed()) {
            self.unresponsive().insert(peer.key, Instant::now() + skipped_for);
        }
    }

    /// Returns the estimates of round trips.
    pub fn round_trips(&self) -> MutexGuard<'_, Estimator> {
        self.round_trips.lock().unwrap_or_else(PoisonError::into_inner)
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

    /// Releases what a response grants, at the entry that sent it.
    pub fn release(&self, response: &Response, to: SocketAddr) {
        let Some(Decision::Granted(Granted { engine, .. })) = response.decision else { return };
        let report = Report { reservation: response.reservation, engine, ..Report::default() };
        self.send(Payload::Report(report), to);
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

    fn pending(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.socket.pending().abandon(self.id, Instant::now());
        // A response may have been delivered since the last poll; a later one is not accepted any
        // more.
        self.response.close();
        if let Ok(response) = self.response.try_recv() {
            self.socket.release(&response, self.address);
        }
    }
}
