//! One connection: its handshake, frames and end.

use crate::asks;
use crate::attempts::Attempts;
use crate::shared::Shared;
use crate::tasks::Tasks;
use compact_str::CompactString;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::{Body, Connection, Frame, Hello, Ping, Pipe, Pong, Query, Reader, Writer};

/// The state of one connection.
pub(crate) struct Session {
    shared: Arc<Shared>,
    tasks: Tasks,
    attempts: Attempts,
    outbox: mpsc::Sender<Frame>,
    peer: CompactString,
}

/// Capacity of a connection's outbox in frames. Streams wait while it is full.
const OUTBOX_FRAMES: usize = 1_024;

/// How long a peer may hold a connection before it has proved that it has the key.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without a frame after which a ping is sent to the peer.
const PING_INTERVAL: Duration = Duration::from_secs(5);

/// Time without a frame after which the connection counts as lost. The connection of a peer that
/// was paused or disconnected from the network looks open for many minutes, and its attempts would
/// keep their slots all that time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a write may take. A peer that reads nothing for this long counts as lost.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);

/// Serves one connection until it closes. Jobs may continue after that.
pub(crate) async fn serve(shared: Arc<Shared>, tasks: Tasks, pipe: Pipe, address: CompactString) {
    let mut connection = Connection::new(pipe, address.clone());
    let Some(hello) = handshake(&shared, &mut connection, &address).await else { return };
    let peer = CompactString::from(hello.name);
    log::info!(peer = peer.as_str(), address = address.as_str(); "peer-connected");
    let (reader, writer) = connection.split();
    let (outbox, frames) = mpsc::channel(OUTBOX_FRAMES);
    let attempts = Attempts::new(shared.clone(), tasks.clone(), outbox.clone());
    let session = Session { shared, tasks, attempts, outbox, peer: peer.clone() };
    let reason = tokio::select! {
        reason = session.read(reader) => reason,
        reason = write(writer, frames) => reason,
    };
    log::info!(peer = peer.as_str(), reason = reason.as_str(); "peer-disconnected");
}

async fn handshake(
    shared: &Shared,
    connection: &mut Connection,
    address: &CompactString,
) -> Option<Hello> {
    let accept = wire::accept(connection, &shared.key, shared.hello());
    match tokio::time::timeout(HANDSHAKE_TIMEOUT, accept).await {
        Ok(Ok(hello)) => Some(hello),
        Ok(Err(error)) => {
            log::warn!(peer = address.as_str(), error:% = error; "peer-refused");
            None
        }
        Err(_) => {
            log::warn!(peer = address.as_str(); "peer-handshake-timeout");
            None
        }
    }
}

impl Session {
    /// Handles frames until the connection is lost, and returns the reason.
    async fn read(mut self, mut reader: Reader) -> String {
        let mut last_frame = Instant::now();
        loop {
            match tokio::time::timeout(PING_INTERVAL, reader.next()).await {
                Ok(Some(Ok(frame))) => {
                    last_frame = Instant::now();
                    if !self.handle(frame).await {
                        return "the connection is closed".to_owned();
                    }
                }
                Ok(Some(Err(error))) => return error.to_string(),
                Ok(None) => return "the peer closed it".to_owned(),
                Err(_) if last_frame.elapsed() >= IDLE_TIMEOUT => {
                    return "the peer is silent".to_owned();
                }
                Err(_) => {
                    let ping = Ping { nonce: rand::random(), sender: None, include_entries: false };
                    // A full outbox does not matter: the idle timeout counts received frames only.
                    let _ = self.outbox.try_send(Frame::new(Body::Ping(ping)));
                }
            }
        }
    }

    /// Handles one frame and returns whether the outbox is still open.
    async fn handle(&mut self, frame: Frame) -> bool {
        match frame.body {
            Some(Body::Submit(submit)) => self.attempts.submit(submit).await,
            Some(Body::Begin(begin)) => self.attempts.begin(begin).await,
            Some(Body::Cancel(cancel)) => self.attempts.cancel(cancel.attempt),
            Some(Body::Credit(credit)) => self.attempts.credit(credit),
            Some(Body::Attach(attach)) => self.attempts.attach(attach).await,
            Some(Body::Ping(ping)) => return self.pong(ping).await,
            Some(Body::Query(query)) => self.answer_query(query),
            // They only show that the peer is alive, which `read` has recorded.
            Some(Body::Pong(_) | Body::Reply(_)) => {}
            Some(Body::Hello(_) | Body::Proof(_) | Body::Event(_)) => {
                log::warn!(peer = self.peer.as_str(); "frame-unexpected");
            }
            // A kind of a newer version, whose senders must tolerate that it is ignored.
            None => {}
        }
        !self.outbox.is_closed()
    }

    async fn pong(&self, ping: Ping) -> bool {
        if let Some(sender) = ping.sender {
            self.shared.entry_statuses.record(sender);
        }
        let entry_statuses =
            if ping.include_entries { self.shared.entry_statuses.list() } else { Vec::new() };
        let load = Some(self.shared.load());
        let pong = Pong { nonce: ping.nonce, load, entries: entry_statuses };
        self.outbox.send(Frame::new(Body::Pong(pong))).await.is_ok()
    }

    /// Replies in a separate task, since the engine may take long.
    fn answer_query(&self, query: Query) {
        let (shared, outbox) = (self.shared.clone(), self.outbox.clone());
        self.tasks.spawn_job(async move {
            let reply = asks::answer(&shared, query).await;
            // Fails only if the connection is closed.
            let _ = outbox.send(Frame::new(Body::Reply(reply))).await;
        });
    }
}

/// Writes frames, with one flush for all that are ready, and returns the reason why it ended.
async fn write(mut writer: Writer, mut frames: mpsc::Receiver<Frame>) -> String {
    while let Some(frame) = frames.recv().await {
        let batch = async {
            writer.feed(frame).await?;
            while let Ok(frame) = frames.try_recv() {
                writer.feed(frame).await?;
            }
            writer.flush().await
        };
        match tokio::time::timeout(WRITE_TIMEOUT, batch).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return error.to_string(),
            Err(_) => return "the peer takes nothing in".to_owned(),
        }
    }
    "nothing is left to write".to_owned()
}
