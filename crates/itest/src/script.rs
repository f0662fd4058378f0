//! An agent that sends only what a test scripts, for failures that a real one cannot produce.

use bytes::Bytes;
use compact_str::format_compact;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use wire::{
    AttemptId, Body, Connection, Delta, End, Event, EventKind, Finish, Frame, Hello, Key, Listener,
    Load, MemoryListener, Offer, Pong, Progress, Refusal, Submit,
};

/// Listener of the scripted agent of one target.
pub struct ScriptedAgent {
    target: String,
    listener: MemoryListener,
    key: Key,
}

/// Connection from an entry to a scripted agent.
pub struct ScriptedConnection {
    target: String,
    frames: mpsc::UnboundedReceiver<Body>,
    outbox: mpsc::UnboundedSender<Frame>,
    frozen: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

/// Time that a test waits for a connection or a frame before it fails.
const FRAME_TIMEOUT: Duration = Duration::from_secs(60);

impl ScriptedAgent {
    pub(crate) fn new(target: &str, listener: MemoryListener, key: &str) -> Self {
        let key = Key::new(Bytes::copy_from_slice(key.as_bytes()));
        Self { target: target.to_owned(), listener, key }
    }

    /// Accepts the next connection; the target's load reports free slots, or none and one waiter.
    pub async fn accept(&mut self, room: bool) -> ScriptedConnection {
        self.accept_with(room, "mixed").await
    }

    /// Accepts the next connection; the target's load reports free slots and this role.
    pub async fn accept_as(&mut self, role: &str) -> ScriptedConnection {
        self.accept_with(true, role).await
    }

    async fn accept_with(&mut self, room: bool, role: &str) -> ScriptedConnection {
        let accepted = tokio::time::timeout(FRAME_TIMEOUT, self.listener.accept()).await;
        let (pipe, peer) =
            accepted.expect("the entry connects in time").expect("the network is up");
        let mut connection = Connection::new(pipe, peer);
        let name = format_compact!("agent-{}", self.target);
        let hello = Hello::new(&name, 1, [7; 16]);
        wire::accept(&mut connection, &self.key, hello).await.expect("the entry has the same key");
        let (outbox, frames_out) = mpsc::unbounded_channel();
        let (frames_in, frames) = mpsc::unbounded_channel();
        let load = Load {
            target: self.target.clone(),
            slots: if room { 16 } else { 1 },
            running: u32::from(!room),
            waiting: u32::from(!room),
            accepting: true,
            role: role.to_owned(),
            ..Load::default()
        };
        let frozen = CancellationToken::new();
        let task = tokio::spawn(serve(connection, load, frames_in, frames_out, frozen.clone()));
        ScriptedConnection { target: self.target.clone(), frames, outbox, frozen, task }
    }
}

/// Answers pings with `load` and forwards all other frames to and from the test.
async fn serve(
    connection: Connection,
    mut load: Load,
    frames_in: mpsc::UnboundedSender<Body>,
    mut frames_out: mpsc::UnboundedReceiver<Frame>,
    frozen: CancellationToken,
) {
    let (mut reader, mut writer) = connection.split();
    loop {
        let frame = tokio::select! {
            frame = reader.next() => {
                let Some(Ok(Frame { body: Some(body) })) = frame else { return };
                if let Body::Ping(ping) = body {
                    load.sequence += 1;
                    let load = Some(load.clone());
                    Frame::new(Body::Pong(Pong { nonce: ping.nonce, load, entries: Vec::new() }))
                } else {
                    // The test may have dropped its end.
                    let _ = frames_in.send(body);
                    continue;
                }
            }
            Some(frame) = frames_out.recv() => frame,
            () = frozen.cancelled() => std::future::pending().await,
        };
        if writer.feed(frame).await.is_err() || writer.flush().await.is_err() {
            return;
        }
    }
}

impl ScriptedConnection {
    /// Returns the next frame other than a ping.
    pub async fn next(&mut self) -> Body {
        let next = tokio::time::timeout(FRAME_TIMEOUT, self.frames.recv()).await;
        next.expect("a frame arrives before the timeout").expect("the connection is open")
    }

    /// Returns the next frame other than a ping, if one arrives within `wait`.
    pub async fn next_within(&mut self, wait: Duration) -> Option<Body> {
        tokio::time::timeout(wait, self.frames.recv()).await.ok().flatten()
    }

    /// Returns the next frame, which must be a submission.
    pub async fn next_submit(&mut self) -> Submit {
        match self.next().await {
            Body::Submit(submit) => submit,
            other => panic!("{}: expected a submission, got {other:?}", self.target),
        }
    }

    /// Sends an event of an attempt.
    pub fn send(&self, attempt: AttemptId, kind: EventKind) {
        let event = Event { attempt, load: None, kind: Some(kind) };
        // The entry may have stopped.
        let _ = self.outbox.send(Frame::new(Body::Event(event)));
    }

    /// Sends a piece of text of one token, the token at index `from_token`.
    pub fn token(&self, attempt: AttemptId, from_token: u32, text: &str) {
        let delta = Delta { from_token, tokens: 1, text: text.to_owned() };
        self.send(attempt, EventKind::Delta(delta));
    }

    /// Ends a generation of `output_tokens` tokens at its stop condition.
    pub fn end(&self, attempt: AttemptId, output_tokens: u32) {
        let finish = Finish::Stop.into();
        let end = End { finish, prompt_tokens: 3, output_tokens, cached_tokens: 0 };
        self.send(attempt, EventKind::End(end));
    }

    /// Ends a generation of `output_tokens` tokens at the length limit of the attempt.
    pub fn end_early(&self, attempt: AttemptId, output_tokens: u32) {
        let finish = Finish::Length.into();
        let end = End { finish, prompt_tokens: 3, output_tokens, cached_tokens: 0 };
        self.send(attempt, EventKind::End(end));
    }

    /// Offers to start a held attempt.
    pub fn offer(&self, attempt: AttemptId) {
        self.send(attempt, EventKind::Offer(Offer {}));
    }

    /// Refuses or abandons an attempt; `progress` is how far it ran.
    pub fn refuse(&self, attempt: AttemptId, reason: &str, progress: Progress) {
        let progress = progress.into();
        let (reason, detail) = (reason.to_owned(), "by the script".to_owned());
        let refusal = Refusal { reason, progress, retry_after_ms: 0, detail };
        self.send(attempt, EventKind::Refusal(refusal));
    }

    /// Sends the head of a service's response, with status 200.
    pub fn head(&self, attempt: AttemptId, headers: &[(&str, &str)]) {
        let headers = headers.iter().map(|(name, value)| wire::Header {
            name: (*name).to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
        let head = wire::Head { status: 200, headers: headers.collect(), replayed: false };
        self.send(attempt, EventKind::Head(head));
    }

    /// Reports a load in an unsolicited pong.
    pub fn load(&self, load: Load) {
        let pong = Pong { nonce: 0, load: Some(load), entries: Vec::new() };
        // The entry may have stopped.
        let _ = self.outbox.send(Frame::new(Body::Pong(pong)));
    }

    /// Replies to the query `id`.
    pub fn reply(&self, id: u64, body: Bytes) {
        // The entry may have stopped.
        let _ = self.outbox.send(Frame::new(Body::Reply(wire::Reply { id, body })));
    }

    /// Breaks the connection.
    pub fn cut(self) {
        self.task.abort();
    }

    /// Stops sending and receiving without closing the connection, as a paused VM does.
    pub fn freeze(&self) {
        // The task owns the connection and waits forever, which keeps it open.
        self.frozen.cancel();
    }
}
