//! An agent that does only what a test tells it to, for failures that a real one never shows.

use bytes::Bytes;
use compact_str::format_compact;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use wire::{
    AttemptId, Body, Connection, Delta, End, Event, EventKind, Finish, Frame, Hello, Key, Listener,
    Load, MemoryListener, Offer, Pong, Progress, Refusal, Submit,
};

/// Where the scripted agent of one target listens.
pub struct ScriptedAgent {
    target: String,
    listener: MemoryListener,
    key: Key,
}

/// A connection from an entry to a scripted agent.
pub struct ScriptedConnection {
    target: String,
    frames: mpsc::UnboundedReceiver<Body>,
    outbox: mpsc::UnboundedSender<Frame>,
    frozen: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

/// How long a test waits for a frame before it fails.
const PATIENCE: Duration = Duration::from_secs(60);

impl ScriptedAgent {
    pub(crate) fn new(target: &str, listener: MemoryListener, key: &str) -> Self {
        let key = Key::new(Bytes::copy_from_slice(key.as_bytes()));
        Self { target: target.to_owned(), listener, key }
    }

    /// Takes the next connection, with a target that says in its load that it has room, or not.
    pub async fn accept(&mut self, room: bool) -> ScriptedConnection {
        self.take(room, "mixed").await
    }

    /// Takes the next connection, with a target that has room and this role.
    pub async fn accept_as(&mut self, role: &str) -> ScriptedConnection {
        self.take(true, role).await
    }

    async fn take(&mut self, room: bool, role: &str) -> ScriptedConnection {
        let accepted = tokio::time::timeout(PATIENCE, self.listener.accept()).await;
        let (pipe, peer) = accepted.expect("a connection in time").expect("the network is up");
        let mut connection = Connection::new(pipe, peer);
        let name = format_compact!("agent-{}", self.target);
        let hello = Hello::new(&name, 1, [7; 16]);
        wire::accept(&mut connection, &self.key, hello).await.expect("the entry knows the key");
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

/// Answers pings, and carries all other frames to and from the test.
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
                    // The test may not look at all of them.
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
    /// The next frame that is no ping.
    pub async fn next(&mut self) -> Body {
        let next = tokio::time::timeout(PATIENCE, self.frames.recv()).await;
        next.expect("a frame comes in time").expect("the connection stands")
    }

    /// The next frame, if one comes within `wait`.
    pub async fn next_within(&mut self, wait: Duration) -> Option<Body> {
        tokio::time::timeout(wait, self.frames.recv()).await.ok().flatten()
    }

    /// The next frame, which must be a submission.
    pub async fn next_submit(&mut self) -> Submit {
        match self.next().await {
            Body::Submit(submit) => submit,
            other => panic!("{}: expected a submission, got {other:?}", self.target),
        }
    }

    /// Sends any event.
    pub fn send(&self, attempt: AttemptId, kind: EventKind) {
        let event = Event { attempt, load: None, kind: Some(kind) };
        // A test may send to an entry that is gone.
        let _ = self.outbox.send(Frame::new(Body::Event(event)));
    }

    /// Sends a piece of text of one token that follows `from_token` others.
    pub fn token(&self, attempt: AttemptId, from_token: u32, text: &str) {
        let delta = Delta { from_token, tokens: 1, text: text.to_owned() };
        self.send(attempt, EventKind::Delta(delta));
    }

    /// Ends an answer of `output_tokens` tokens.
    pub fn end(&self, attempt: AttemptId, output_tokens: u32) {
        let finish = Finish::Stop.into();
        let end = End { finish, prompt_tokens: 3, output_tokens, cached_tokens: 0 };
        self.send(attempt, EventKind::End(end));
    }

    /// Ends an answer because the attempt was to generate no more.
    pub fn end_early(&self, attempt: AttemptId, output_tokens: u32) {
        let finish = Finish::Length.into();
        let end = End { finish, prompt_tokens: 3, output_tokens, cached_tokens: 0 };
        self.send(attempt, EventKind::End(end));
    }

    /// Offers a held attempt.
    pub fn offer(&self, attempt: AttemptId) {
        self.send(attempt, EventKind::Offer(Offer {}));
    }

    /// Gives an attempt up.
    pub fn refuse(&self, attempt: AttemptId, reason: &str, progress: Progress) {
        let progress = progress.into();
        let (reason, detail) = (reason.to_owned(), "by the script".to_owned());
        let refusal = Refusal { reason, progress, retry_after_ms: 0, detail };
        self.send(attempt, EventKind::Refusal(refusal));
    }

    /// Begins a service's response.
    pub fn head(&self, attempt: AttemptId, headers: &[(&str, &str)]) {
        let headers = headers.iter().map(|(name, value)| wire::Header {
            name: (*name).to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
        let head = wire::Head { status: 200, headers: headers.collect(), replayed: false };
        self.send(attempt, EventKind::Head(head));
    }

    /// Tells a load, as an answer to a ping that nobody waits for.
    pub fn load(&self, load: Load) {
        let pong = Pong { nonce: 0, load: Some(load), entries: Vec::new() };
        // A test may send to an entry that is gone.
        let _ = self.outbox.send(Frame::new(Body::Pong(pong)));
    }

    /// Answers a question.
    pub fn reply(&self, id: u64, body: Bytes) {
        // A test may send to an entry that is gone.
        let _ = self.outbox.send(Frame::new(Body::Reply(wire::Reply { id, body })));
    }

    /// Breaks the connection off.
    pub fn cut(self) {
        self.task.abort();
    }

    /// Stops answering anything, without closing the connection, as a paused VM does.
    pub fn freeze(&self) {
        // The task waits for ever from now on, and with it stays the connection that it owns.
        self.frozen.cancel();
    }
}
