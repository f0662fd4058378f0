//! Sees the pool by asking its agents over connections of the planner's own.

use crate::fleet::{Agent, Fleet, Observation, STALE, Seen};
use async_trait::async_trait;
use compact_str::CompactString;
use conf::Name;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use wire::{Body, Connection, Dialler, EntryStatus, Frame, Hello, Key, Ping, Pong, Result};

/// A fleet that is asked over the network: one task an agent, while they are observed.
pub struct NetworkFleet {
    link: Arc<Link>,
    peers: Mutex<BTreeMap<Agent, Peer>>,
}

/// What a connection is made with.
struct Link {
    dialler: Arc<dyn Dialler>,
    key: Key,
    name: CompactString,
    incarnation: u64,
}

/// One agent, with its task and what it last said.
struct Peer {
    task: AbortHandle,
    last: Arc<Mutex<Option<Answer>>>,
}

/// An agent's answer to a ping.
struct Answer {
    pong: Pong,
    at: Instant,
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The shortest time between two pings of an agent.
const PING_LEAST: Duration = Duration::from_secs(1);

/// Time between pings for each agent of the pool: some 120 bytes a ping and its answer make 2.7 of the
/// 7 KB a second that control may cost a node, whose own agent takes 4.1, however large the pool is.
const PING_SHARE: Duration = Duration::from_millis(45);

/// How many agents are asked which entries they know; together they know them all.
const SIGHTING_AGENTS: usize = 3;

/// How long a connection, or an answer, may take.
const TIMEOUT: Duration = Duration::from_secs(2);

impl NetworkFleet {
    /// Makes a fleet that is reached through `dialler` in a process's name.
    pub fn new(dialler: Arc<dyn Dialler>, key: Key, name: CompactString, incarnation: u64) -> Self {
        let link = Arc::new(Link { dialler, key, name, incarnation });
        Self { link, peers: Mutex::default() }
    }

    fn peers(&self) -> MutexGuard<'_, BTreeMap<Agent, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn start(&self, agent: &Agent, place: usize, count: usize) -> Peer {
        let last = Arc::new(Mutex::new(None));
        let share = PING_SHARE * u32::try_from(count).unwrap_or(u32::MAX);
        let pinger = Pinger {
            link: self.link.clone(),
            address: agent.address.clone(),
            every: share.max(PING_LEAST),
            wants_sightings: place < SIGHTING_AGENTS,
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
        for (place, agent) in agents.iter().enumerate() {
            if !peers.contains_key(agent) {
                peers.insert(agent.clone(), self.start(agent, place, agents.len()));
            }
        }
        let mut observation = Observation::default();
        for (agent, peer) in &*peers {
            take(&mut observation, &agent.target, peer);
        }
        observation
    }
}

fn take(observation: &mut Observation, target: &Name, peer: &Peer) {
    let last = peer.last.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(Answer { pong, at }) = &*last else { return };
    if let Some(load) = &pong.load {
        observation.targets.insert(target.clone(), Seen { load: load.clone(), at: *at });
    }
    let since = u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
    for sighting in &pong.entries {
        let age_ms = sighting.age_ms.saturating_add(since);
        if Duration::from_millis(age_ms) <= STALE {
            observation.sight(EntryStatus { age_ms, ..sighting.clone() });
        }
    }
}

/// The task of one agent.
struct Pinger {
    link: Arc<Link>,
    address: CompactString,
    every: Duration,
    wants_sightings: bool,
    last: Arc<Mutex<Option<Answer>>>,
}

impl Pinger {
    /// Connects and pings until the task is dropped.
    async fn run(self) {
        loop {
            if let Err(error) = self.session().await {
                let peer = self.address.as_str();
                log::debug!(peer, error:% = error; "planner-peer-lost");
            }
            tokio::time::sleep(self.every).await;
        }
    }

    async fn session(&self) -> Result<()> {
        let mut connection = self.timed(self.connect()).await?;
        loop {
            let pong = self.timed(self.ping(&mut connection)).await?;
            let answer = Answer { pong, at: Instant::now() };
            *self.last.lock().unwrap_or_else(PoisonError::into_inner) = Some(answer);
            tokio::time::sleep(self.every).await;
        }
    }

    async fn timed<T>(&self, step: impl Future<Output = Result<T>>) -> Result<T> {
        let closed = || wire::Error::Closed { step: "planner ping", peer: self.address.clone() };
        tokio::time::timeout(TIMEOUT, step).await.unwrap_or_else(|_| Err(closed()))
    }

    async fn connect(&self) -> Result<Connection> {
        let pipe = self.link.dialler.dial(&self.address).await?;
        let mut connection = Connection::new(pipe, self.address.clone());
        let hello = Hello::new(&self.link.name, self.link.incarnation, rand::random());
        wire::connect(&mut connection, &self.link.key, hello).await?;
        Ok(connection)
    }

    async fn ping(&self, connection: &mut Connection) -> Result<Pong> {
        let nonce = rand::random();
        let ping = Ping { nonce, sender: None, include_entries: self.wants_sightings };
        connection.send(Frame::new(Body::Ping(ping))).await?;
        loop {
            let frame = connection.receive("planner ping").await?;
            match frame.body {
                Some(Body::Pong(pong)) if pong.nonce == nonce => return Ok(pong),
                Some(Body::Ping(ping)) => {
                    let pong = Pong { nonce: ping.nonce, ..Pong::default() };
                    connection.send(Frame::new(Body::Pong(pong))).await?;
                }
                // The planner has no attempts and asks nothing, so the rest is late or not for it.
                _ => {}
            }
        }
    }
}
