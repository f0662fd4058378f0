//! One connection: the handshake, its frames, and how it ends.

use crate::asks;
use crate::attempts::Attempts;
use crate::shared::Shared;
use crate::tasks::Tasks;
use compact_str::CompactString;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::{Ask, Body, Connection, Frame, Hello, Ping, Pipe, Pong, Reader, Writer};

/// One connection and what its tasks share.
pub(crate) struct Session {
    shared: Arc<Shared>,
    tasks: Tasks,
    attempts: Attempts,
    outbox: mpsc::Sender<Frame>,
    peer: CompactString,
}

/// How many frames wait for the connection before streams wait for it.
const OUTBOX_FRAMES: usize = 1_024;

/// How long a stranger may hold a connection without having proved that it knows the key.
const HANDSHAKE_TIME: Duration = Duration::from_secs(5);

/// After this long without a frame the peer is asked whether it is there.
const PING_AFTER: Duration = Duration::from_secs(5);

/// After this long without a frame the connection counts as lost: a peer that was cut off or
/// paused leaves a connection that looks open for many minutes, and its attempts would keep their
/// slots all that time.
const LOST_AFTER: Duration = Duration::from_secs(15);

/// How long a frame may take to be written; a peer that takes none in is as good as lost.
const WRITE_TIME: Duration = Duration::from_secs(15);

/// Serves one connection until it closes; its jobs may outlive it.
pub(crate) async fn serve(shared: Arc<Shared>, tasks: Tasks, pipe: Pipe, address: CompactString) {
    let mut connection = Connection::new(pipe, address.clone());
    let Some(hello) = greet(&shared, &mut connection, &address).await else { return };
    let peer = CompactString::from(hello.name);
    log::info!(peer = peer.as_str(), address = address.as_str(); "peer-connected");
    let (reader, writer) = connection.split();
    let (outbox, frames) = mpsc::channel(OUTBOX_FRAMES);
    let attempts = Attempts::new(shared.clone(), tasks.clone(), outbox.clone());
    let session = Session { shared, tasks, attempts, outbox, peer: peer.clone() };
    let why = tokio::select! {
        why = session.read(reader) => why,
        why = write(writer, frames) => why,
    };
    log::info!(peer = peer.as_str(), reason = why.as_str(); "peer-disconnected");
}

async fn greet(
    shared: &Shared,
    connection: &mut Connection,
    address: &CompactString,
) -> Option<Hello> {
    let greeting = wire::accept(connection, &shared.key, shared.hello());
    match tokio::time::timeout(HANDSHAKE_TIME, greeting).await {
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
    /// Handles frames until the connection is lost; returns why it is.
    async fn read(mut self, mut reader: Reader) -> String {
        let mut heard = Instant::now();
        loop {
            match tokio::time::timeout(PING_AFTER, reader.next()).await {
                Ok(Some(Ok(frame))) => {
                    heard = Instant::now();
                    if !self.handle(frame).await {
                        return "the connection is closed".to_owned();
                    }
                }
                Ok(Some(Err(error))) => return error.to_string(),
                Ok(None) => return "the peer closed it".to_owned(),
                Err(_) if heard.elapsed() >= LOST_AFTER => return "the peer is silent".to_owned(),
                Err(_) => {
                    let ping = Ping { nonce: rand::random(), sender: None, wants_sightings: false };
                    // A full outbox is no sign of life either; the next frame decides.
                    let _ = self.outbox.try_send(Frame::new(Body::Ping(ping)));
                }
            }
        }
    }

    /// Handles one frame; false once nothing can be sent any more.
    async fn handle(&mut self, frame: Frame) -> bool {
        match frame.body {
            Some(Body::Submit(submit)) => self.attempts.submit(submit).await,
            Some(Body::Begin(begin)) => self.attempts.begin(begin).await,
            Some(Body::Cancel(cancel)) => self.attempts.cancel(cancel.attempt),
            Some(Body::Credit(credit)) => self.attempts.credit(credit),
            Some(Body::Attach(attach)) => self.attempts.attach(attach).await,
            Some(Body::Ping(ping)) => return self.pong(ping).await,
            Some(Body::Ask(ask)) => self.ask(ask),
            // Answers to our pings are signs of life, which the reader has noted.
            Some(Body::Pong(_) | Body::Reply(_)) => {}
            Some(Body::Hello(_) | Body::Proof(_) | Body::Event(_)) => {
                log::warn!(peer = self.peer.as_str(); "frame-unexpected");
            }
            // A kind of a newer version; whoever sends it copes with its being ignored.
            None => {}
        }
        !self.outbox.is_closed()
    }

    async fn pong(&self, ping: Ping) -> bool {
        if let Some(sender) = ping.sender {
            self.shared.sightings.hear(sender);
        }
        let sightings =
            if ping.wants_sightings { self.shared.sightings.list() } else { Vec::new() };
        let load = Some(self.shared.load());
        let pong = Pong { nonce: ping.nonce, load, sightings };
        self.outbox.send(Frame::new(Body::Pong(pong))).await.is_ok()
    }

    /// Answers a question in a task of its own, since an engine may take its time.
    fn ask(&self, ask: Ask) {
        let (shared, outbox) = (self.shared.clone(), self.outbox.clone());
        self.tasks.job(async move {
            let reply = asks::answer(&shared, ask).await;
            // A peer that is gone needs no reply.
            let _ = outbox.send(Frame::new(Body::Reply(reply))).await;
        });
    }
}

/// Writes frames, flushing once for all that are ready; returns why it ended.
async fn write(mut writer: Writer, mut frames: mpsc::Receiver<Frame>) -> String {
    while let Some(frame) = frames.recv().await {
        let writing = async {
            writer.feed(frame).await?;
            while let Ok(frame) = frames.try_recv() {
                writer.feed(frame).await?;
            }
            writer.flush().await
        };
        match tokio::time::timeout(WRITE_TIME, writing).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return error.to_string(),
            Err(_) => return "the peer takes nothing in".to_owned(),
        }
    }
    "nothing is left to write".to_owned()
}
