//! Observes the pool by pinging its agents over the planner's own connections.

use crate::fleet::{Agent, Fleet, LoadReport, MAX_REPORT_AGE, Observation};
use async_trait::async_trait;
use compact_str::CompactString;
use conf::Name;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use wire::{Body, Connection, Dialler, EntryStatus, Frame, Hello, Key, Ping, Pong, Result};

/// The agents of a pool over the network, with one task for each agent that is observed.
pub struct NetworkFleet {
    settings: Arc<ConnectionSettings>,
    peers: Mutex<BTreeMap<Agent, Peer>>,
}

/// The settings of the connections.
struct ConnectionSettings {
    dialler: Arc<dyn Dialler>,
    key: Key,
    name: CompactString,
    incarnation: u64,
}

/// An agent's task and its last response.
struct Peer {
    task: AbortHandle,
    last: Arc<Mutex<Option<Response>>>,
}

/// An agent's response to a ping.
struct Response {
    pong: Pong,
    received_at: Instant,
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The shortest time between two pings of an agent.
const MIN_PING_INTERVAL: Duration = Duration::from_secs(1);

/// The time between pings of an agent, per agent of the pool. A ping and its response have some 120
/// bytes, so that a pool of any size costs 2.7 of the 7 KB per second allowed for control traffic
/// on a node, whose own agent uses 4.1.
const PING_INTERVAL_PER_AGENT: Duration = Duration::from_millis(45);

/// The number of agents that report the status of entries; together they have that of all entries.
const ENTRY_STATUS_AGENTS: usize = 3;

/// The longest time for a connection or a response.
const TIMEOUT: Duration = Duration::from_secs(2);

impl NetworkFleet {
    /// Makes a fleet whose agents are reached through `dialler` by the process `name`.
    pub fn new(dialler: Arc<dyn Dialler>, key: Key, name: CompactString, incarnation: u64) -> Self {
        let settings = Arc::new(ConnectionSettings { dialler, key, name, incarnation });
        Self { settings, peers: Mutex::default() }
    }

    fn peers(&self) -> MutexGuard<'_, BTreeMap<Agent, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn start(&self, agent: &Agent, index: usize, count: usize) -> Peer {
        let last = Arc::new(Mutex::new(None));
        let interval_for_pool = PING_INTERVAL_PER_AGENT * u32::try_from(count).unwrap_or(u32::MAX);
        let pinger = Pinger {
            settings: self.settings.clone(),
            address: agent.address.clone(),
            interval: interval_for_pool.max(MIN_PING_INTERVAL),
            include_entries: index < ENTRY_STATUS_AGENTS,
            last: last.clone(),
        };
        let task = tokio::spawn(pinger.run()).abort_handle();
        Peer { task, last }
    }
}

#[async_trait]
impl Fleet for NetworkFleet {
    async fn observe(&self, agents: &[Agent]) -> Observation {
        let mut peers = self.peers();
        peers.retain(|agent, _| agents.contains(agent));
        for (index, agent) in agents.iter().enumerate() {
            if !peers.contains_key(agent) {
                peers.insert(agent.clone(), self.start(agent, index, agents.len()));
            }
        }
        let mut observation = Observation::default();
        for (agent, peer) in &*peers {
            add_response(&mut observation, &agent.target, peer);
        }
        observation
    }
}

fn add_response(observation: &mut Observation, target: &Name, peer: &Peer) {
    let last = peer.last.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(Response { pong, received_at }) = &*last else { return };
    if let Some(load) = &pong.load {
        observation
            .targets
            .insert(target.clone(), LoadReport { load: load.clone(), received_at: *received_at });
    }
    let elapsed_ms = u64::try_from(received_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    for status in &pong.entries {
        let age_ms = status.age_ms.saturating_add(elapsed_ms);
        if Duration::from_millis(age_ms) <= MAX_REPORT_AGE {
            observation.record_entry(EntryStatus { age_ms, ..status.clone() });
        }
    }
}

/// The task of one agent.
struct Pinger {
    settings: Arc<ConnectionSettings>,
    address: CompactString,
    interval: Duration,
    include_entries: bool,
    last: Arc<Mutex<Option<Response>>>,
}

impl Pinger {
    /// Connects and pings until the task is dropped.
    async fn run(self) {
        loop {
            if let Err(error) = self.session().await {
                let peer = self.address.as_str();
                log::debug!(peer, error:% = error; "planner-peer-lost");
            }
            tokio::time::sleep(self.interval).await;
        }
    }

    async fn session(&self) -> Result<()> {
        let mut connection = self.with_timeout(self.connect()).await?;
        loop {
            let pong = self.with_timeout(self.ping(&mut connection)).await?;
            let response = Response { pong, received_at: Instant::now() };
            *self.last.lock().unwrap_or_else(PoisonError::into_inner) = Some(response);
            tokio::time::sleep(self.interval).await;
        }
    }

    async fn with_timeout<T>(&self, step: impl Future<Output = Result<T>>) -> Result<T> {
        let closed = || wire::Error::Closed { step: "planner ping", peer: self.address.clone() };
        tokio::time::timeout(TIMEOUT, step).await.unwrap_or_else(|_| Err(closed()))
    }

    async fn connect(&self) -> Result<Connection> {
        let pipe = self.settings.dialler.dial(&self.address).await?;
        let mut connection = Connection::new(pipe, self.address.clone());
        let hello = Hello::new(&self.settings.name, self.settings.incarnation, rand::random());
        wire::connect(&mut connection, &self.settings.key, hello).await?;
        Ok(connection)
    }

    async fn ping(&self, connection: &mut Connection) -> Result<Pong> {
        let nonce = rand::random();
        let ping = Ping { nonce, sender: None, include_entries: self.include_entries };
        connection.send(Frame::new(Body::Ping(ping))).await?;
        loop {
            let frame = connection.receive("planner ping").await?;
            match frame.body {
                Some(Body::Pong(pong)) if pong.nonce == nonce => return Ok(pong),
                Some(Body::Ping(ping)) => {
                    let pong = Pong { nonce: ping.nonce, ..Pong::default() };
                    connection.send(Frame::new(Body::Pong(pong))).await?;
                }
                // The planner has no attempts or queries, so other frames are late or unknown.
                _ => {}
            }
        }
    }
}
