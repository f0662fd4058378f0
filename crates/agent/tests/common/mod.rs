//! Runs agents with fake targets, and acts as an entry that exchanges single frames with them.

#![allow(dead_code, reason = "each test file uses a part of this")]

use agent::Backend;
use bytes::Bytes;
use compact_str::format_compact;
use conf::{Kind, settings};
use fake::{EngineParams, MemoryEngine, MemoryLog};
use serde_json::{Value, json};
use state::Appender;
use state::record::{Body as RecordBody, Change};
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;
use wire::{
    Attach, Begin, Body, Cancel, Connection, Credit, Dialler, Event, EventKind, Frame, Hello, Key,
    MemoryNetwork, Pong, Prompt, Refusal, Request, Submit, Work,
};

pub const MODEL: &str = "lapis-small";
/// Longer than any wait of a test, in time of the paused clock.
pub const TIMEOUT: Duration = Duration::from_secs(600);

const PEER_KEY: &str = "test";

/// The in-memory log and network that the agents of a test use.
#[derive(Default)]
pub struct Harness {
    pub log: MemoryLog,
    pub network: MemoryNetwork,
}

/// A running agent.
pub struct Agent {
    pub stop: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

/// An entry's connection to an agent.
pub struct Entry {
    pub connection: Connection,
}

impl Harness {
    pub async fn publish(&self, kind: Kind, name: &str, spec: Value) {
        let appender = Appender::new(Arc::new(self.log.clone()), "operator".into());
        let change = Change {
            kind: kind.name().to_owned(),
            name: name.to_owned(),
            spec: Some(spec.to_string()),
            expects: None,
        };
        let appended = appender.append(plat::CONFIG_STREAM, RecordBody::Change(change));
        appended.await.expect("the log is up");
    }

    /// Starts an engine with `slots` slots and its agent, and publishes its resource.
    pub async fn engine(&self, name: &str, slots: u32) -> (MemoryEngine, Agent) {
        let model = EngineParams { slots, ..EngineParams::default() };
        let engine = MemoryEngine::new(model, &[MODEL]);
        self.publish(Kind::Model, MODEL, json!({})).await;
        self.publish(Kind::Target, name, engine_spec(name, slots)).await;
        let agent = self.agent(name, Backend::Engine(Arc::new(engine.clone())));
        settle().await;
        (engine, agent)
    }

    pub fn agent(&self, name: &str, backend: Backend) -> Agent {
        self.start(name, &format!("{name}:1"), Arc::new(self.log.clone()), backend)
    }

    /// Starts an agent of the target `name` that listens at `address` and uses `log`.
    pub fn start(
        &self,
        name: &str,
        address: &str,
        log: Arc<dyn plat::Log>,
        backend: Backend,
    ) -> Agent {
        let settings = settings::Agent {
            name: format_compact!("agent-{name}"),
            target: name.into(),
            peer_key: PEER_KEY.into(),
            metrics: Default::default(),
            ..settings::Agent::default()
        };
        let stop = CancellationToken::new();
        let context = agent::Context {
            settings,
            log,
            backend,
            listener: Box::new(self.network.listen(address)),
            dialler: Arc::new(self.network.at(address)),
            stop: stop.clone(),
        };
        let task = tokio::spawn(async move {
            agent::Daemon::new(context).run().await.expect("the agent stops without error");
        });
        Agent { stop, task }
    }

    pub async fn entry(&self, name: &str, target: &str) -> Entry {
        let address = format_compact!("{target}:1");
        let pipe =
            self.network.at(name).dial(&address).await.expect("the agent accepts connections");
        let mut connection = Connection::new(pipe, address);
        let hello = Hello::new(&name.into(), 1, [7; 16]);
        let key = Key::new(Bytes::from_static(PEER_KEY.as_bytes()));
        wire::connect(&mut connection, &key, hello).await.expect("the agent accepts the key");
        Entry { connection }
    }
}

/// Returns the Target resource of an engine.
pub fn engine_spec(name: &str, slots: u32) -> Value {
    json!({"models": [MODEL], "domain": "sofia-1", "agent": format!("{name}:1"), "slots": slots})
}

/// Waits until all tasks that are ready have run.
pub async fn settle() {
    tokio::time::sleep(Duration::from_millis(5)).await;
}

impl Agent {
    pub fn kill(self) {
        self.task.abort();
    }

    pub async fn join(self) {
        let _ = self.task.await;
    }
}

/// Returns a prompt of `caller` whose answer has `tokens` tokens.
pub fn prompt(id: &str, caller: &str, tokens: u32) -> Request {
    Request {
        id: id.into(),
        caller: caller.into(),
        deadline_ms: 30_000,
        work: Some(Work::Prompt(Prompt {
            model: MODEL.into(),
            text: format!("question {id}"),
            prompt_tokens: 4,
            max_tokens: tokens,
            expected_tokens: tokens,
            sampling: json!({"fake_tokens": tokens}).to_string().into(),
            ..Prompt::default()
        })),
        ..Request::default()
    }
}

impl Entry {
    pub async fn send(&mut self, body: Body) {
        self.connection.send(Frame::new(body)).await.expect("the connection is open");
    }

    pub async fn submit(&mut self, attempt: u64, request: Request, credit: u32) {
        let submit = Submit { attempt, request: Some(request), hold: false, credit };
        self.send(Body::Submit(submit)).await;
    }

    pub async fn hold(&mut self, attempt: u64, request: Request) {
        let submit = Submit { attempt, request: Some(request), hold: true, credit: 1_000 };
        self.send(Body::Submit(submit)).await;
    }

    pub async fn begin(&mut self, attempt: u64) {
        self.send(Body::Begin(Begin { attempt })).await;
    }

    pub async fn cancel(&mut self, attempt: u64) {
        self.send(Body::Cancel(Cancel { attempt })).await;
    }

    pub async fn credit(&mut self, attempt: u64, events: u32) {
        self.send(Body::Credit(Credit { attempt, events })).await;
    }

    pub async fn attach(&mut self, attempt: u64, request: &str, caller: &str, from_token: u32) {
        let (request, caller) = (request.to_owned(), caller.to_owned());
        let attach = Attach { attempt, request, caller, from_token, credit: 1_000 };
        self.send(Body::Attach(attach)).await;
    }

    /// Returns the next event of any attempt, and answers pings until then.
    pub async fn event(&mut self) -> Event {
        loop {
            let frame = tokio::time::timeout(TIMEOUT, self.connection.receive("event")).await;
            let frame =
                frame.expect("an event within the timeout").expect("the connection is open");
            match frame.body {
                Some(Body::Event(event)) => return event,
                Some(Body::Ping(ping)) => {
                    let pong = Pong { nonce: ping.nonce, load: None, entries: Vec::new() };
                    self.send(Body::Pong(pong)).await;
                }
                _ => {}
            }
        }
    }

    /// Returns the next event of any attempt, or `None` if there is none within `time`.
    pub async fn event_within(&mut self, time: Duration) -> Option<Event> {
        tokio::time::timeout(time, self.event()).await.ok()
    }

    /// Reads one attempt to its end. Returns its text, its tokens, and the refusal if it was
    /// refused.
    pub async fn finish(&mut self, attempt: u64) -> (String, u32, Option<Refusal>) {
        let finished = tokio::time::timeout(TIMEOUT, self.read_to_end(attempt)).await;
        finished.expect("the attempt ends within the timeout")
    }

    async fn read_to_end(&mut self, attempt: u64) -> (String, u32, Option<Refusal>) {
        let (mut text, mut tokens) = (String::new(), 0);
        loop {
            let event = self.event().await;
            if event.attempt != attempt {
                continue;
            }
            match event.kind.expect("every event has a kind") {
                EventKind::Delta(delta) => {
                    text.push_str(&delta.text);
                    tokens = delta.from_token + delta.tokens;
                }
                EventKind::End(_) => return (text, tokens, None),
                EventKind::Refusal(refusal) => return (text, tokens, Some(refusal)),
                EventKind::Offer(_) | EventKind::Head(_) | EventKind::Part(_) => {}
            }
        }
    }
}
