//! The connection to one agent: one task that reads and one that writes.

use crate::attempt::Attempt;
use compact_str::CompactString;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::mpsc;
use wire::{
    AttemptId, Body, Connection, Dialler, Event, Frame, Hello, Key, Load, Reader, Request, Submit,
    Writer,
};

/// Frames on their way to an agent.
pub(crate) type Outbox = mpsc::Sender<Frame>;

/// How many frames wait for the connection before requests wait for it.
const OUTBOX_FRAMES: usize = 1_024;

/// How many events an agent may send ahead of a slow caller.
const CREDIT_EVENTS: u32 = 256;

/// A live connection to an agent.
pub(crate) struct Peer {
    outbox: Outbox,
    inbox: Arc<Inbox>,
}

/// Where events that arrive are handed on.
#[derive(Default)]
struct Inbox {
    attempts: Mutex<HashMap<AttemptId, mpsc::Sender<Event>>>,
    load: Mutex<Option<Load>>,
    next: AtomicU64,
}

impl Peer {
    /// Dials the agent at `address` and starts the connection's tasks.
    pub(crate) async fn connect(
        dialler: &dyn Dialler,
        key: &Key,
        name: &CompactString,
        incarnation: u64,
        address: &CompactString,
    ) -> wire::Result<Self> {
        let pipe = dialler.dial(address).await?;
        let mut connection = Connection::new(pipe, address.clone());
        let hello = Hello::new(name, incarnation, rand::random());
        let agent = wire::connect(&mut connection, key, hello).await?;
        log::info!(peer = agent.name.as_str(), address = address.as_str(); "peer-connected");
        let (reader, writer) = connection.split();
        let (outbox, frames) = mpsc::channel(OUTBOX_FRAMES);
        let inbox = Arc::new(Inbox::default());
        let writing = tokio::spawn(write(writer, frames));
        tokio::spawn(read(reader, inbox.clone(), writing));
        Ok(Self { outbox, inbox })
    }

    /// Whether the connection still stands.
    pub(crate) fn is_open(&self) -> bool {
        !self.outbox.is_closed()
    }

    /// The agent's load as last heard, if it has been heard.
    pub(crate) fn load(&self) -> Option<Load> {
        self.inbox.load.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Submits a request; `None` if the connection is lost, and then nothing was sent.
    pub(crate) async fn submit(&self, request: Request) -> Option<Attempt> {
        let attempt = self.inbox.next.fetch_add(1, Ordering::Relaxed);
        let (sender, events) = mpsc::channel(CREDIT_EVENTS as usize);
        self.inbox.lock().insert(attempt, sender);
        let submit = Submit { attempt, request: Some(request), hold: false, credit: CREDIT_EVENTS };
        self.outbox.send(Frame::new(Body::Submit(submit))).await.ok()?;
        Some(Attempt::new(attempt, events, self.outbox.clone()))
    }
}

impl Inbox {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<AttemptId, mpsc::Sender<Event>>> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands an event to its attempt; one that nobody waits for is dropped.
    async fn hand_on(&self, mut event: Event) {
        if let Some(load) = event.load.take() {
            *self.load.lock().unwrap_or_else(PoisonError::into_inner) = Some(load);
        }
        let attempt = event.attempt;
        let sender = self.lock().get(&attempt).cloned();
        let Some(sender) = sender else { return };
        if sender.send(event).await.is_err() {
            self.lock().remove(&attempt);
        }
    }
}

/// Hands events on until the connection is lost, then ends all attempts.
async fn read(
    mut reader: Reader,
    inbox: Arc<Inbox>,
    writing: tokio::task::JoinHandle<wire::Result<()>>,
) {
    while let Some(Ok(frame)) = reader.next().await {
        if let Some(Body::Event(event)) = frame.body {
            inbox.hand_on(event).await;
        }
    }
    log::info!(peer = reader.peer().as_str(); "peer-disconnected");
    writing.abort();
    inbox.lock().clear();
}

/// Writes frames, flushing once for all that are ready.
async fn write(mut writer: Writer, mut frames: mpsc::Receiver<Frame>) -> wire::Result<()> {
    while let Some(frame) = frames.recv().await {
        writer.feed(frame).await?;
        while let Ok(frame) = frames.try_recv() {
            writer.feed(frame).await?;
        }
        writer.flush().await?;
    }
    Ok(())
}
