//! Runs a whole fleet in one test: entries, agents and stand-ins over in-memory links.
//!
//! Runs are deterministic under the paused clock of a current-thread runtime.

mod script;
mod transcript;

use agent::Backend;
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use conf::{Kind, settings};
use fake::{EngineParams, MemoryEngine, MemoryLog, MemoryService, MemoryVms};
use http_body_util::BodyExt;
use salvo::http::uri::Scheme;
use serde_json::{Value, json};
use state::Appender;
use state::record::{Body, Change};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio_util::sync::CancellationToken;
use wire::MemoryNetwork;

pub use script::{ScriptedAgent, ScriptedConnection};
pub use transcript::{Transcript, describe};

/// Key with which the fleet's processes authenticate to each other.
const PEER_KEY: &str = "test";

/// The model that all stand-in engines serve.
pub const MODEL: &str = "lapis-small";

/// A fleet in memory.
#[derive(Default)]
pub struct Fleet {
    /// The platform's log.
    pub log: MemoryLog,
    /// The platform's list of VMs.
    pub vms: MemoryVms,
    /// The network between entries and agents; agents listen at their target's name plus `:1`.
    pub network: MemoryNetwork,
    /// Number of entries started; it is the seed of the next one, so that seeds are deterministic.
    entries: AtomicU64,
}

/// A running agent.
pub struct Agent {
    /// Cancelling it stops the agent gracefully.
    pub stop: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

/// Response as a caller received it.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers, in the order received.
    pub headers: Vec<(String, String)>,
    /// The body, as far as it was received.
    pub body: String,
    /// Whether the body ended with an error.
    pub cut: bool,
}

impl Fleet {
    /// Makes a fleet without targets, with one model and one caller that needs no token.
    pub async fn new() -> Self {
        let fleet = Self::default();
        fleet.publish(Kind::Model, MODEL, json!({})).await;
        fleet.publish(Kind::Caller, "open", json!({"urgent": true})).await;
        fleet
    }

    /// Appends a change of a resource to the configuration stream, as an operator does.
    pub async fn publish(&self, kind: Kind, name: &str, spec: Value) {
        let appender = Appender::new(Arc::new(self.log.clone()), "operator".into());
        let change = Change {
            kind: kind.name().to_owned(),
            name: name.to_owned(),
            spec: Some(spec.to_string()),
            expects: None,
        };
        appender.append(plat::CONFIG_STREAM, Body::Change(change)).await.expect("the log is up");
    }

    /// Publishes an engine's resource and starts the engine, with default parameters, and its
    /// agent.
    pub async fn add_engine(&self, name: &str, domain: &str) -> (MemoryEngine, Agent) {
        let engine = MemoryEngine::new(EngineParams::default(), &[MODEL]);
        let spec = json!({"models": [MODEL], "domain": domain, "agent": agent_address(name)});
        self.publish(Kind::Target, name, spec).await;
        let agent = self.start_agent(name, domain, Backend::Engine(Arc::new(engine.clone())));
        (engine, agent)
    }

    /// Publishes the resource of an instance of a plain service and starts the instance and its
    /// agent.
    pub async fn add_service(
        &self,
        service: &str,
        name: &str,
        domain: &str,
        repeatable: bool,
    ) -> (MemoryService, Agent) {
        let backend = MemoryService::default();
        let agent = agent_address(name);
        let spec = json!({
            "service": service, "domain": domain, "agent": agent, "repeatable": repeatable,
        });
        self.publish(Kind::Target, name, spec).await;
        let agent = self.start_agent(name, domain, Backend::Service(Arc::new(backend.clone())));
        (backend, agent)
    }

    /// Publishes an engine's resource and listens as its agent, which the test scripts.
    pub async fn add_scripted_engine(&self, name: &str, domain: &str) -> ScriptedAgent {
        let spec = json!({"models": [MODEL], "domain": domain, "agent": agent_address(name)});
        self.publish(Kind::Target, name, spec).await;
        self.listen_scripted(name)
    }

    /// Publishes the resource of an instance of a plain service and listens as its agent, which
    /// the test scripts.
    pub async fn add_scripted_service(
        &self,
        service: &str,
        name: &str,
        repeatable: bool,
    ) -> ScriptedAgent {
        let agent = agent_address(name);
        let spec = json!({
            "service": service, "domain": "sofia-1", "agent": agent, "repeatable": repeatable,
        });
        self.publish(Kind::Target, name, spec).await;
        self.listen_scripted(name)
    }

    /// Listens as the scripted agent of the target `name`, whose resource is already published.
    pub fn listen_scripted(&self, name: &str) -> ScriptedAgent {
        ScriptedAgent::new(name, self.network.listen(&agent_address(name)), PEER_KEY)
    }

    /// Starts the agent of the target `name`, for the first time or again after a crash.
    pub fn start_agent(&self, name: &str, domain: &str, backend: Backend) -> Agent {
        let address = agent_address(name);
        let settings = settings::Agent {
            name: format_compact!("agent-{name}"),
            target: name.into(),
            domain: domain.into(),
            peer_key: PEER_KEY.into(),
            metrics: Default::default(),
            ..settings::Agent::default()
        };
        let stop = CancellationToken::new();
        let context = agent::Context {
            settings,
            log: Arc::new(self.log.clone()),
            backend,
            listener: Box::new(self.network.listen(&address)),
            dialler: Arc::new(self.network.at(&address)),
            stop: stop.clone(),
        };
        let task = tokio::spawn(async move {
            // Tests detect a failed agent by the responses that callers receive.
            let _ = agent::Daemon::new(context).run().await;
        });
        Agent { stop, task }
    }

    /// Starts an entry.
    pub fn start_entry(&self, name: &str, domain: &str) -> entry::Entry {
        entry::Entry::start(self.entry_context(name, domain))
    }

    /// Context in which to start the entry `name`, for tests that change its settings.
    pub fn entry_context(&self, name: &str, domain: &str) -> entry::Context {
        let settings = settings::Entry {
            name: name.into(),
            domain: domain.into(),
            peer_key: PEER_KEY.into(),
            ..settings::Entry::default()
        };
        entry::Context {
            settings,
            log: Arc::new(self.log.clone()),
            vms: Arc::new(self.vms.clone()),
            dialler: Arc::new(self.network.at(name)),
            seed: self.entries.fetch_add(1, Ordering::Relaxed),
            stop: CancellationToken::new(),
        }
    }
}

impl Agent {
    /// Aborts the agent's task, without a graceful stop.
    pub fn kill(self) {
        self.task.abort();
    }

    /// Waits until a stopped agent has ended.
    pub async fn ended(self) {
        // An aborted task has ended too.
        let _ = self.task.await;
    }
}

/// Address at which the agent of a target listens.
pub fn agent_address(target: &str) -> CompactString {
    format_compact!("{target}:1")
}

/// Sends a request to an entry and collects its response.
pub async fn send(entry: &entry::Entry, request: http::Request<Bytes>) -> Answer {
    let mut response = handle(entry, request).await;
    let status = response.status_code.map_or(200, |status| status.as_u16());
    let headers = response.headers().iter().map(|(name, value)| {
        (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned())
    });
    let headers = headers.collect();
    let (body, cut) = collect(response.take_body()).await;
    Answer { status, headers, body, cut }
}

/// Sends a POST request with a JSON body to an entry and collects its response.
pub async fn post(entry: &entry::Entry, path: &str, body: Value) -> Answer {
    let request = http::Request::post(path).header("content-type", "application/json");
    let request = request.body(Bytes::from(body.to_string())).expect("the request is valid");
    send(entry, request).await
}

/// Body of a streamed response, read piece by piece; dropping it disconnects the caller.
pub struct Stream {
    body: salvo::http::ResBody,
}

impl Stream {
    /// Returns the next piece of the body, `None` at its end, and an error if it broke off.
    pub async fn next(&mut self) -> Option<Result<String, String>> {
        let frame = self.body.frame().await?;
        let data = frame.map(|frame| frame.into_data().unwrap_or_default());
        let text = data.map(|data| String::from_utf8_lossy(&data).into_owned());
        Some(text.map_err(|error| error.to_string()))
    }
}

/// Sends a streamed chat completion request with headers; returns the status and the body.
pub async fn stream_chat(
    entry: &entry::Entry,
    headers: &[(&'static str, &str)],
    content: &str,
) -> (u16, Stream) {
    let body = json!({
        "model": MODEL, "stream": true, "max_tokens": 64,
        "messages": [{"role": "user", "content": content}],
    });
    let mut request = http::Request::post("/v1/chat/completions");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Bytes::from(body.to_string())).expect("the request is valid");
    let mut response = handle(entry, request).await;
    let status = response.status_code.map_or(200, |status| status.as_u16());
    (status, Stream { body: response.take_body() })
}

/// Concatenates the text of a chat completion streamed as server-sent events.
pub fn text_of(events: &str) -> String {
    let data = events.lines().filter_map(|line| line.strip_prefix("data: "));
    let values = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    let texts = values.filter_map(|value| {
        value["choices"][0]["delta"]["content"].as_str().map(ToOwned::to_owned)
    });
    texts.collect()
}

async fn handle(entry: &entry::Entry, request: http::Request<Bytes>) -> salvo::Response {
    let request = request.map(salvo::http::ReqBody::Once);
    let request = salvo::Request::from_hyper(request, Scheme::HTTP);
    salvo::Service::new(entry.router()).handle(request).await
}

async fn collect(mut body: salvo::http::ResBody) -> (String, bool) {
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return (text, true) };
        if let Ok(data) = frame.into_data() {
            text.push_str(&String::from_utf8_lossy(&data));
        }
    }
    (text, false)
}
