//! A small fleet in which each role runs on a thread of its own.

use crate::relay::{CountingDialler, Relay};
use crate::thread::Thread;
use agent::Backend;
use compact_str::{CompactString, ToCompactString, format_compact};
use conf::{Kind, settings};
use eyre::Result;
use fake::http::BoundServer;
use fake::{EngineParams, MemoryEngine, MemoryLog, MemoryVms};
use plat::http::HttpClient;
use serde_json::{Value, json};
use state::Appender;
use state::record::{Body, Change};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use target::http::HttpEngine;
use tokio_util::sync::CancellationToken;
use wire::TcpListener;

/// Model that all engines serve.
pub(crate) const MODEL: &str = "lapis-small";

/// Key with which the fleet's processes authenticate to each other.
const PEER_KEY: &str = "slopes";

/// A running fleet: entries, agents with an engine each, and the platform.
pub(crate) struct Fleet {
    /// Thread that runs all entries.
    pub(crate) entry: Thread,
    /// Thread that runs all agents.
    pub(crate) agents: Thread,
    /// Address at which the first entry serves callers.
    pub(crate) callers: CompactString,
    /// Counts the bytes between entries and agents.
    pub(crate) peers: Arc<AtomicU64>,
    /// Counts the bytes between the planner's agent and the others.
    pub(crate) planner: Arc<AtomicU64>,
    /// Counts the bytes between the log and the entries.
    pub(crate) log_relay: Relay,
    log: MemoryLog,
}

impl Fleet {
    /// Starts a fleet and waits until it is connected.
    pub(crate) async fn start(entries: u32, agents: u32) -> Result<Self> {
        let stand_ins = Thread::start()?;
        let log = MemoryLog::new();
        let router = fake::http::log_router(Arc::new(log.clone()));
        let log_address = serve(&stand_ins, router).await?;
        let log_relay = Relay::start(log_address.to_string(), Arc::default()).await?;
        let fleet = Self {
            entry: Thread::start()?,
            agents: Thread::start()?,
            callers: CompactString::default(),
            peers: Arc::default(),
            planner: Arc::default(),
            log_relay,
            log,
        };
        fleet.publish(Kind::Model, MODEL, json!({})).await?;
        fleet.publish(Kind::Caller, "open", json!({})).await?;
        for number in 0..agents {
            fleet.start_agent(&stand_ins, &log_address, number).await?;
        }
        let callers = fleet.start_entry(0).await?;
        for number in 1..entries {
            fleet.start_entry(number).await?;
        }
        let fleet = Self { callers, ..fleet };
        tokio::time::sleep(SETTLE).await;
        Ok(fleet)
    }

    /// Publishes a resource in the configuration stream.
    pub(crate) async fn publish(&self, kind: Kind, name: &str, spec: Value) -> Result<()> {
        let appender = Appender::new(Arc::new(self.log.clone()), "operator".into());
        let spec = Some(spec.to_string());
        let (kind, name) = (kind.name().to_owned(), name.to_owned());
        let change = Body::Change(Change { kind, name, spec, expects: None });
        appender.append(plat::CONFIG_STREAM, change).await?;
        Ok(())
    }

    async fn start_agent(&self, engines: &Thread, log: &str, number: u32) -> Result<()> {
        let name = format_compact!("engine-{number}");
        let model = EngineParams {
            prefill_rate: 100_000_000,
            token_time: Duration::from_micros(200),
            slots: 256,
            ..EngineParams::default()
        };
        let engine = Arc::new(MemoryEngine::new(model, &[MODEL]));
        let engine = serve(engines, fake::http::engine_router(engine)).await?;
        let log: CompactString = log.into();
        let dialler = Arc::new(CountingDialler { bytes: self.planner.clone() });
        let agent = self.agents.run(run_agent(name.clone(), engine, log, dialler)).await??;
        let spec = json!({
            "models": [MODEL], "domain": "domain-1", "agent": agent, "slots": 256,
        });
        self.publish(Kind::Target, &name, spec).await
    }

    async fn start_entry(&self, number: u32) -> Result<CompactString> {
        let platform = platform(&self.log_relay.address);
        let dialler = Arc::new(CountingDialler { bytes: self.peers.clone() });
        self.entry.run(run_entry(number, platform, dialler)).await?
    }
}

/// Time for a new fleet to connect.
const SETTLE: Duration = Duration::from_millis(1_500);

async fn run_agent(
    name: CompactString,
    engine: CompactString,
    log: CompactString,
    dialler: Arc<CountingDialler>,
) -> Result<CompactString> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.address()?;
    let platform = platform(&log);
    let log = Arc::new(HttpClient::new(log, platform.timeout));
    let settings = settings::Agent {
        name: format_compact!("agent-{name}"),
        target: name,
        domain: "domain-1".into(),
        peer_key: PEER_KEY.into(),
        platform,
        metrics: Default::default(),
        ..settings::Agent::default()
    };
    let context = agent::Context {
        settings,
        log,
        backend: Backend::Engine(Arc::new(HttpEngine::new(engine))),
        listener: Box::new(listener),
        dialler,
        stop: CancellationToken::new(),
    };
    tokio::spawn(agent::Daemon::new(context).run());
    Ok(address)
}

async fn run_entry(
    number: u32,
    platform: settings::Platform,
    dialler: Arc<CountingDialler>,
) -> Result<CompactString> {
    let log = Arc::new(HttpClient::new(platform.log.clone(), platform.timeout));
    let settings = settings::Entry {
        name: format_compact!("entry-{number}"),
        domain: "domain-1".into(),
        callers: "127.0.0.1:0".into(),
        peer_key: PEER_KEY.into(),
        platform,
        ..settings::Entry::default()
    };
    let context = entry::Context {
        settings,
        log,
        vms: Arc::new(MemoryVms::default()),
        dialler,
        seed: u64::from(number),
        stop: CancellationToken::new(),
    };
    let daemon = entry::Daemon::bind(context).await?;
    let address = daemon.address().to_compact_string();
    tokio::spawn(daemon.run());
    Ok(address)
}

fn platform(log: &str) -> settings::Platform {
    settings::Platform { log: log.into(), ..settings::Platform::default() }
}

/// Serves a stand-in on a thread and returns its address.
async fn serve(thread: &Thread, router: salvo::Router) -> Result<CompactString> {
    let bound = thread.run(async move {
        let serving = BoundServer::bind("127.0.0.1:0", router).await?;
        let address = serving.address.to_compact_string();
        tokio::spawn(serving.run());
        std::io::Result::Ok(address)
    });
    Ok(bound.await??)
}
