//! The process: its tasks, when it is ready, and how it stops.

use crate::duty::billing::{self, UsageReporter};
use crate::duty::cache_inventory;
use crate::duty::metering;
use crate::duty::stage_planner;
use crate::exchange::entry_stream::{self, StreamView};
use crate::exchange::follow::{self, Decode};
use crate::exchange::gossip;
use crate::instrumented_log::Measured;
use crate::probe;
use crate::request::server::CallerServer;
use crate::shared::{Shared, Stop};
use http::StatusCode;
use plat::KeyedLog;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The result of starting.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why an entry can't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address can't be bound.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What was seen.
        source: std::io::Error,
    },
}

/// Where an entry listens, and how long a stop may take.
#[derive(Debug, Clone)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question whether it is ready.
    pub readiness: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
    /// For the other entries' datagrams.
    pub peers: SocketAddr,
    /// How long a stop may take before the process is killed.
    pub grace: Duration,
}

/// How long an entry that stops still takes connections as usual: the balancer asks each second
/// and needs two misses.
const NOTICE: Duration = Duration::from_millis(2_600);

/// How much of the grace is left for the process to end by itself.
const LAST: Duration = Duration::from_millis(400);

/// How long before that it takes no more connections: while the balancer has no other entry it goes
/// on sending callers to those that stop, and each has to be told something.
const DEAF: Duration = Duration::from_millis(600);

/// How often a stopping entry looks whether its connections have ended.
const LOOK: Duration = Duration::from_millis(50);

/// An entry that is bound to its addresses but does not run yet.
pub struct Daemon {
    shared: Arc<Shared>,
    callers: TcpListener,
    readiness: TcpListener,
    metrics: TcpListener,
    peers: UdpSocket,
    meter: Option<(Arc<dyn UsageReporter>, billing::Settings)>,
    /// The addresses really bound.
    pub addresses: Addresses,
}

impl Daemon {
    /// Binds the addresses; port 0 takes a free one.
    pub async fn bind(shared: Arc<Shared>, addresses: Addresses) -> Result<Self> {
        let (callers, at_callers) = listen(addresses.callers).await?;
        let (readiness, at_readiness) = listen(addresses.readiness).await?;
        let (metrics, at_metrics) = listen(addresses.metrics).await?;
        let failed = |source| Error::Listen { address: addresses.peers, source };
        let peers = UdpSocket::bind(addresses.peers).await.map_err(failed)?;
        let at_peers = peers.local_addr().map_err(failed)?;
        let addresses = Addresses {
            callers: at_callers,
            peers: at_peers,
            readiness: at_readiness,
            metrics: at_metrics,
            ..addresses
        };
        Ok(Self { shared, callers, readiness, metrics, peers, meter: None, addresses })
    }

    /// The same entry, which also bills what customers use.
    #[must_use]
    pub fn billing(self, meter: Arc<dyn UsageReporter>, settings: billing::Settings) -> Self {
        Self { meter: Some((meter, settings)), ..self }
    }

    /// Runs until `stop` is cancelled and the answers are given.
    pub async fn run(
        self,
        log: Arc<dyn KeyedLog>,
        decode: Arc<dyn Decode>,
        stop: CancellationToken,
    ) {
        let Self { shared, callers, readiness, metrics, peers, meter, addresses } = self;
        let log: Arc<dyn KeyedLog> = Arc::new(Measured::new(log, shared.metrics.clone()));
        let peers = Arc::new(peers);
        shared.post.open(peers.clone());
        let (ending, last) = (CancellationToken::new(), CancellationToken::new());
        let intake = Arc::new(CallerServer::new(stop.clone(), ending.clone()));
        let mut tasks = JoinSet::new();
        tasks.spawn(follow::config(shared.clone(), log.clone(), decode.clone()));
        tasks.spawn(follow::targets(shared.clone(), log.clone(), decode));
        let (told, heard) = watch::channel(StreamView::default());
        tasks.spawn(entry_stream::publish_heartbeats(
            shared.clone(),
            log.clone(),
            addresses.peers,
            stop.clone(),
        ));
        tasks.spawn(entry_stream::publish_suspects(shared.clone(), log.clone()));
        tasks.spawn(entry_stream::follow(shared.clone(), log.clone(), told));
        tasks.spawn(gossip::publish(shared.clone(), peers.clone()));
        tasks.spawn(gossip::receive(shared.clone(), peers));
        if let Some((meter, settings)) = meter {
            let life = shared.post.unique_id();
            shared.usage.start(settings.window, life);
            tasks.spawn(metering::run(shared.clone()));
            tasks.spawn(billing::run(shared.clone(), log.clone(), meter, settings, life));
        }
        tasks.spawn(stage_planner::run(shared.clone(), log, heard));
        tasks.spawn(cache_inventory::run(shared.clone()));
        tasks.spawn(upkeep(shared.clone()));
        tasks.spawn(intake.clone().accept(shared.clone(), callers, last.clone()));
        tasks.spawn(probe::serve(readiness, ready_page(shared.clone(), stop.clone())));
        tasks.spawn(probe::serve(metrics, metrics_page(shared.clone())));
        log::info!(target: "process", name = shared.settings.name.as_str(),
            callers:% = addresses.callers; "started");
        stop.cancelled().await;
        let plan = plan_stop(Instant::now(), addresses.grace);
        shared.stop(plan);
        drain(&intake, &ending, &last, plan).await;
    }
}

fn plan_stop(now: Instant, grace: Duration) -> Stop {
    let grace = grace.saturating_sub(LAST);
    Stop { drain_at: now + NOTICE.min(grace / 2), deadline: now + grace }
}

/// Lets the balancer notice, then the callers' connections end.
async fn drain(
    intake: &CallerServer,
    ending: &CancellationToken,
    last: &CancellationToken,
    stop: Stop,
) {
    let began = Instant::now();
    log::info!(target: "process", connections = intake.open_connections(); "stopping");
    tokio::time::sleep_until(stop.drain_at).await;
    ending.cancel();
    while intake.open_connections() > 0 && Instant::now() < stop.deadline {
        if Instant::now() + DEAF >= stop.deadline {
            last.cancel();
        }
        tokio::time::sleep(LOOK).await;
    }
    log::info!(target: "process", cut = intake.open_connections(), ms = began.elapsed().as_millis(); "stopped");
}

fn ready_page(shared: Arc<Shared>, stop: CancellationToken) -> probe::Page {
    Arc::new(move |_| {
        let knows = shared.table.borrow().is_some() && !shared.fleet().is_empty();
        if knows && !stop.is_cancelled() {
            (StatusCode::OK, "ready".into())
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, "not ready".into())
        }
    })
}

fn metrics_page(shared: Arc<Shared>) -> probe::Page {
    Arc::new(move |_| {
        let dropped = crate::logging::dropped();
        let unknown = crate::unknown_names::count();
        shared.metrics.unknown_names.set(i64::try_from(unknown).unwrap_or(i64::MAX));
        shared.metrics.dropped_lines.set(i64::try_from(dropped).unwrap_or(i64::MAX));
        let now = Instant::now();
        let standings = shared.workload.availability.counts(now);
        shared.metrics.leaving.set(standings.leaving);
        shared.metrics.paused.set(standings.paused);
        for seen in shared.tail.read_statuses(now) {
            shared.metrics.age(seen.topic.name(), seen.age);
        }
        (StatusCode::OK, shared.metrics.text())
    })
}

/// How often it is looked whether targets have lapsed.
const UPKEEP: Duration = Duration::from_millis(100);

async fn upkeep(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(UPKEEP).await;
        shared.fleet().expire(Instant::now());
    }
}

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let failed = |source| Error::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}
