//! A connection to an agent, with one task that reads and one that writes.

use crate::attempt::{Attempt, Outbox};
use crate::heartbeat::{Heartbeat, HeartbeatAction};
use crate::inbox::{CREDIT_EVENTS, Inbox};
use crate::peer::Peer;
use crate::peers::PeerContext;
use bytes::Bytes;
use conf::Name;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use wire::{
    Attach, Body, Connection, Frame, Hello, Ping, Query, QueryKind, Reader, Reply, Request, Submit,
    Writer,
};

/// Maximum frames queued for the connection; further requests wait.
const OUTBOX_FRAMES: usize = 1_024;

/// Maximum time to connect, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// An established connection to an agent.
pub(crate) struct Session {
    outbox: Outbox,
    inbox: Arc<Inbox>,
    pending_replies: Mutex<HashMap<u64, oneshot::Sender<Bytes>>>,
    next_nonce: AtomicU64,
    incarnation: u64,
}

impl Session {
    /// Connects to the agent at `address` and performs the handshake.
    pub(crate) async fn connect(
        context: &PeerContext,
        address: &str,
    ) -> wire::Result<(Arc<Self>, Reader, mpsc::Receiver<Frame>, Writer)> {
        let connecting = async {
            let pipe = context.dialler.dial(address).await?;
            let mut connection = Connection::new(pipe, address.into());
            let hello = Hello::new(&context.name, context.incarnation, rand::random());
            let agent = wire::connect(&mut connection, &context.key, hello).await?;
            wire::Result::Ok((connection, agent))
        };
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let timed_out = wire::Error::Io {
            step: "connect",
            peer: address.into(),
            source: std::io::ErrorKind::TimedOut.into(),
        };
        let (connection, agent) = connected.unwrap_or(Err(timed_out))?;
        log::info!(peer = agent.name.as_str(), address = address; "peer-connected");
        let (reader, writer) = connection.split();
        let (outbox, frames) = mpsc::channel(OUTBOX_FRAMES);
        let session = Self {
            outbox,
            inbox: Arc::new(Inbox::new()),
            pending_replies: Mutex::default(),
            next_nonce: AtomicU64::new(1),
            incarnation: agent.incarnation,
        };
        Ok((Arc::new(session), reader, frames, writer))
    }

    /// Submits a request; returns `None` if the connection is lost, in which case nothing was sent.
    pub(crate) async fn submit(
        &self,
        context: &PeerContext,
        target: Name,
        request: Request,
        hold: bool,
    ) -> Option<Attempt> {
        let id = context.next_attempt();
        let events = self.inbox.open(id)?;
        let (outbox, inbox) = (self.outbox.clone(), self.inbox.clone());
        let attempt = Attempt::new(id, target, events, outbox, inbox, !hold);
        let request = Some(request);
        let submit = Submit { attempt: id, request, hold, credit: CREDIT_EVENTS };
        self.outbox.send(Frame::new(Body::Submit(submit))).await.ok()?;
        Some(attempt)
    }

    /// Resumes a response through a new attempt; returns `None` if the connection is lost.
    pub(crate) async fn attach(
        &self,
        context: &PeerContext,
        target: Name,
        mut attach: Attach,
    ) -> Option<Attempt> {
        let id = context.next_attempt();
        let events = self.inbox.open(id)?;
        let (outbox, inbox) = (self.outbox.clone(), self.inbox.clone());
        let attempt = Attempt::new(id, target, events, outbox, inbox, true);
        attach.attempt = id;
        attach.credit = CREDIT_EVENTS;
        self.outbox.send(Frame::new(Body::Attach(attach))).await.ok()?;
        Some(attempt)
    }

    /// Sends a query that belongs to no attempt; returns `None` if the connection is lost before
    /// the reply.
    pub(crate) async fn query(&self, kind: QueryKind, body: Bytes) -> Option<Bytes> {
        let id = self.next_nonce.fetch_add(1, Ordering::Relaxed);
        let (sender, answer) = oneshot::channel();
        self.pending_replies.lock().unwrap_or_else(PoisonError::into_inner).insert(id, sender);
        let query = Query { id, kind: kind.into(), body };
        self.outbox.send(Frame::new(Body::Query(query))).await.ok()?;
        answer.await.ok()
    }

    /// Returns the number of open attempts.
    pub(crate) fn open_attempts(&self) -> usize {
        self.inbox.len()
    }

    /// Runs the connection until it is lost, times out, or is idle and not persistent.
    pub(crate) async fn run(
        self: Arc<Self>,
        context: &PeerContext,
        peer: &Peer,
        mut reader: Reader,
        frames: mpsc::Receiver<Frame>,
        writer: Writer,
    ) {
        let writer_task = tokio::spawn(write_frames(writer, frames));
        let mut heartbeat = Heartbeat::new();
        loop {
            let (busy, idle) = (self.open_attempts() > 0, context.ping_interval());
            tokio::select! {
                frame = reader.next() => {
                    let Some(Ok(frame)) = frame else { break };
                    heartbeat.record_frame();
                    self.handle_frame(context, peer, frame);
                }
                () = tokio::time::sleep_until(heartbeat.next_check(busy, idle)) => {
                    if peer.is_idle(&self) {
                        break;
                    }
                    match heartbeat.check(busy, idle) {
                        HeartbeatAction::Wait => {}
                        HeartbeatAction::Ping => self.ping(context),
                        HeartbeatAction::TimedOut => {
                            log::warn!(peer = reader.peer().as_str(); "peer-silent");
                            break;
                        }
                    }
                }
            }
        }
        writer_task.abort();
        self.inbox.close();
        self.pending_replies.lock().unwrap_or_else(PoisonError::into_inner).clear();
        log::info!(peer = reader.peer().as_str(); "peer-disconnected");
    }

    fn ping(&self, context: &PeerContext) {
        let nonce = self.next_nonce.fetch_add(1, Ordering::Relaxed);
        let sender = Some(context.entry_status());
        let ping = Ping { nonce, sender, include_entries: context.take_entry_statuses_due() };
        // A full queue means that the agent does not read; the heartbeat timeout then ends the
        // connection.
        let _ = self.outbox.try_send(Frame::new(Body::Ping(ping)));
    }

    fn handle_frame(&self, context: &PeerContext, peer: &Peer, frame: Frame) {
        match frame.body {
            Some(Body::Event(event)) => {
                if let Some(load) = &event.load {
                    peer.observe_load(context, load, self.incarnation);
                }
                if let Some(kind) = event.kind {
                    self.inbox.deliver(event.attempt, kind);
                }
            }
            Some(Body::Pong(pong)) => {
                if let Some(load) = &pong.load {
                    peer.observe_load(context, load, self.incarnation);
                }
                if !pong.entries.is_empty() {
                    context.processes.observe_entries(&pong.entries);
                    context.decisions.observe_entries(&context.name, &pong.entries);
                }
            }
            Some(Body::Reply(Reply { id, body })) => {
                let pending_replies =
                    &mut self.pending_replies.lock().unwrap_or_else(PoisonError::into_inner);
                if let Some(sender) = pending_replies.remove(&id) {
                    // The receiver may have timed out.
                    let _ = sender.send(body);
                }
            }
            // Other frames are for agents only, or of a newer version.
            Some(
                Body::Hello(_)
                | Body::Proof(_)
                | Body::Submit(_)
                | Body::Begin(_)
                | Body::Cancel(_)
                | Body::Credit(_)
                | Body::Ping(_)
                | Body::Query(_)
                | Body::Attach(_),
            )
            | None => {}
        }
    }
}

/// Writes frames and flushes once per batch of ready frames.
async fn write_frames(mut writer: Writer, mut frames: mpsc::Receiver<Frame>) -> wire::Result<()> {
    while let Some(frame) = frames.recv().await {
        writer.feed(frame).await?;
        while let Ok(frame) = frames.try_recv() {
            writer.feed(frame).await?;
        }
        writer.flush().await?;
    }
    Ok(())
}
