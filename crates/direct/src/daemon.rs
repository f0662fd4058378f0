//! The process: its tasks, its readiness, and its shutdown.

use crate::cluster::freeze;
use crate::config::route::ServiceName;
use crate::duty::billing::{self, UsageReporter};
use crate::duty::cache_inventory;
use crate::duty::metering;
use crate::duty::stage_planner;
use crate::exchange::entry_stream::{self, StreamView};
use crate::exchange::follow::{self, Decode};
use crate::exchange::gossip;
use crate::exchange::membership;
use crate::exchange::origins;
use crate::exchange::quota;
use crate::exchange::version_history;
use crate::instrumented_log::InstrumentedLog;
use crate::metrics::PlacedStep;
use crate::probe;
use crate::request::server::CallerServer;
use crate::shared::{Shared, Stop};
use compact_str::CompactString;
use http::StatusCode;
use plat::KeyedLog;
use policy::distance::Distance;
use policy::pace::Summary;
use policy::round_trip::Estimate;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The result of starting an entry.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why an entry can't start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address can't be bound.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}

/// The addresses at which an entry listens, and how long a shutdown may take.
#[derive(Debug, Clone)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
    /// For the other entries' datagrams.
    pub peers: SocketAddr,
    /// How long a shutdown may take before the process is killed.
    pub grace: Duration,
}

/// How long an entry that is stopping still accepts connections as usual: the load balancer checks
/// each second and needs two failures.
const DRAIN_DELAY: Duration = Duration::from_millis(2_600);

/// How much of the grace period is reserved for the process to exit by itself.
const EXIT_RESERVE: Duration = Duration::from_millis(400);

/// How long before the deadline it accepts no more connections. While the load balancer has no
/// other entry it goes on sending callers to those that are stopping, and each of them needs a
/// response.
const STOP_ACCEPTING_BEFORE: Duration = Duration::from_millis(600);

/// How long before the process ends requests whose targets have not answered are: the answers still
/// have to reach their callers.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);

/// How often an entry that is stopping checks whether its connections have ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// An entry that is bound to its addresses but does not run yet.
pub struct Daemon {
    shared: Arc<Shared>,
    callers: TcpListener,
    readiness: TcpListener,
    metrics: TcpListener,
    peers: UdpSocket,
    reporter: Option<(Arc<dyn UsageReporter>, billing::Settings)>,
    /// The addresses that were actually bound.
    pub addresses: Addresses,
}

impl Daemon {
    /// Binds the addresses. Port 0 binds a free port.
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
        Ok(Self { shared, callers, readiness, metrics, peers, reporter: None, addresses })
    }

    /// Returns the same entry, which also bills customers' usage.
    #[must_use]
    pub fn billing(self, reporter: Arc<dyn UsageReporter>, settings: billing::Settings) -> Self {
        Self { reporter: Some((reporter, settings)), ..self }
    }

    /// Runs until `stop` is cancelled and the open requests are complete.
    pub async fn run(
        self,
        log: Arc<dyn KeyedLog>,
        decode: Arc<dyn Decode>,
        stop: CancellationToken,
    ) {
        let Self { shared, callers, readiness, metrics, peers, reporter, addresses } = self;
        let log: Arc<dyn KeyedLog> = Arc::new(InstrumentedLog::new(log, shared.metrics.clone()));
        let peers = Arc::new(peers);
        shared.peer_socket.open(peers.clone());
        let (close_idle, stop_accepting) = (CancellationToken::new(), CancellationToken::new());
        let server = Arc::new(CallerServer::new(stop.clone(), close_idle.clone()));
        let mut tasks = JoinSet::new();
        tasks.spawn(follow::config(shared.clone(), log.clone(), decode.clone()));
        tasks.spawn(follow::targets(shared.clone(), log.clone(), decode.clone()));
        let (updates, view) = watch::channel(StreamView::default());
        tasks.spawn(entry_stream::publish_heartbeats(
            shared.clone(),
            log.clone(),
            addresses.peers,
            stop.clone(),
        ));
        tasks.spawn(entry_stream::publish_verdicts(shared.clone(), log.clone()));
        tasks.spawn(entry_stream::follow(shared.clone(), log.clone(), updates));
        tasks.spawn(membership::run(shared.clone(), addresses.peers, stop.clone()));
        tasks.spawn(quota::run(shared.clone(), addresses.peers, stop.clone()));
        tasks.spawn(gossip::publish(shared.clone(), peers.clone()));
        tasks.spawn(gossip::receive(shared.clone(), peers));
        if let Some((reporter, settings)) = reporter {
            let incarnation = shared.peer_socket.unique_id();
            shared.usage.start(settings.window, incarnation);
            tasks.spawn(metering::run(shared.clone()));
            tasks.spawn(billing::run(shared.clone(), log.clone(), reporter, settings, incarnation));
        }
        tasks.spawn(stage_planner::run(shared.clone(), log.clone(), view));
        tasks.spawn(cache_inventory::run(shared.clone()));
        tasks.spawn(version_history::run(shared.clone(), log.clone(), decode.clone()));
        tasks.spawn(expire_targets(shared.clone()));
        tasks.spawn(watch_pace(shared.clone()));
        tasks.spawn(watch_freezes(shared.clone()));
        tasks.spawn(watch_fullness(shared.clone()));
        tasks.spawn(log_costs(shared.clone()));
        tasks.spawn(server.clone().accept(shared.clone(), callers, stop_accepting.clone()));
        tasks.spawn(probe::serve(readiness, ready_page(shared.clone(), stop.clone())));
        tasks.spawn(probe::serve(metrics, metrics_page(shared.clone())));
        log::info!(target: "process", name = shared.settings.name.as_str(),
            callers:% = addresses.callers; "started");
        stop.cancelled().await;
        let plan = plan_stop(Instant::now(), addresses.grace);
        shared.stop(plan);
        drain(&shared, &close_idle, &stop_accepting, plan).await;
    }
}

fn plan_stop(now: Instant, grace: Duration) -> Stop {
    let grace = grace.saturating_sub(EXIT_RESERVE);
    Stop { drain_at: now + DRAIN_DELAY.min(grace / 2), deadline: now + grace }
}

/// Waits for the load balancer to notice, then for the callers' connections to end.
async fn drain(
    shared: &Shared,
    close_idle: &CancellationToken,
    stop_accepting: &CancellationToken,
    stop: Stop,
) {
    let began = Instant::now();
    log::info!(target: "process", connections = shared.callers.count(); "stopping");
    hand_over(shared, stop.drain_at).await;
    tokio::time::sleep_until(stop.drain_at).await;
    close_idle.cancel();
    let accepts_until = stop.deadline.checked_sub(STOP_ACCEPTING_BEFORE).unwrap_or(stop.deadline);
    wait_for_callers(shared, accepts_until).await;
    stop_accepting.cancel();
    // Callers take their streams up at other entries as soon as these are cut off.
    hand_over(shared, stop.deadline).await;
    let answers_at = stop.deadline.checked_sub(LAST_ANSWERS_TIME).unwrap_or(stop.deadline);
    wait_for_callers(shared, answers_at).await;
    shared.ending.cancel();
    wait_for_callers(shared, stop.deadline).await;
    log::info!(target: "process", cut = shared.callers.count(),
        ms = began.elapsed().as_millis(); "stopped");
}

/// Waits until no caller is connected, `until` at the latest.
async fn wait_for_callers(shared: &Shared, until: Instant) {
    while shared.callers.count() > 0 && Instant::now() < until {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Hands over origins of streams and the version history, which may be known to this entry alone, until
/// `deadline` at the latest.
async fn hand_over(shared: &Shared, deadline: Instant) {
    version_history::hand_over(shared);
    if tokio::time::timeout_at(deadline, origins::hand_over(shared)).await.is_err() {
        log::warn!(target: "process", "not all origins of streams handed over in time");
    }
}

fn ready_page(shared: Arc<Shared>, stop: CancellationToken) -> probe::Page {
    Arc::new(move |_| {
        let has_data = shared.table.borrow().is_some() && !shared.fleet().is_empty();
        if has_data && !stop.is_cancelled() {
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
        shared.metrics.fullness(shared.fullness().share, shared.peers.mean_fullness());
        let held = i64::try_from(shared.memory.held()).unwrap_or(i64::MAX);
        shared.metrics.held_bytes.set(held);
        shared.metrics.dropped_lines.set(i64::try_from(dropped).unwrap_or(i64::MAX));
        let now = Instant::now();
        let unavailable = shared.workload.availability.counts(now);
        shared.metrics.leaving.set(unavailable.leaving);
        shared.metrics.paused.set(unavailable.paused);
        for engine in shared.fleet().engines().iter() {
            let Summary { usual, bad, .. } = engine.pace();
            shared.metrics.piece_time(&engine.id, usual, bad);
        }
        for status in shared.tail.read_statuses(now) {
            shared.metrics.age(status.topic.name(), status.age);
        }
        for (distance, estimate) in round_trips(&shared) {
            shared.metrics.round_trip(distance, estimate.mean());
        }
        (StatusCode::OK, shared.metrics.text())
    })
}

/// The estimated round trips to other entries, by distance, as far as known.
fn round_trips(shared: &Shared) -> Vec<(Distance, Estimate)> {
    let estimator = shared.peer_socket.round_trips();
    let known = |distance| Some((distance, estimator.by_distance(distance)?));
    Distance::ALL.into_iter().filter_map(known).collect()
}

/// How many prompts and outputs were placed at each distance since the start, if there were any.
fn placements(shared: &Shared) -> Vec<(PlacedStep, Distance, u64)> {
    let steps = PlacedStep::ALL.into_iter();
    let all = steps.flat_map(|step| Distance::ALL.map(|distance| (step, distance)));
    let counted =
        all.map(|(step, distance)| (step, distance, shared.metrics.placements(step, distance)));
    counted.filter(|(_, _, count)| *count > 0).collect()
}

/// How often the datagrams that were sent are logged, and the round trips and placements.
const COSTS_INTERVAL: Duration = Duration::from_secs(10);

async fn log_costs(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(COSTS_INTERVAL).await;
        shared.peer_socket.log_sent();
        for (distance, estimate) in round_trips(&shared) {
            let micros = |span: Duration| u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
            log::info!(target: "peers", distance = distance.name(),
                mean_us = micros(estimate.mean()), upper_us = micros(estimate.upper());
                "round trips");
        }
        for (step, distance, count) in placements(&shared) {
            log::info!(target: "costs", step = step.name(), distance = distance.name(), count;
                "placements by distance");
        }
    }
}

/// How often targets whose records have expired are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

async fn expire_targets(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        shared.fleet().expire(Instant::now());
    }
}

/// How often it is measured how much later than due tasks run.
const DELAY_INTERVAL: Duration = Duration::from_millis(50);

/// Measures how full the process is for its lifetime.
async fn watch_fullness(shared: Arc<Shared>) {
    let mut was_full = false;
    loop {
        let due = Instant::now() + DELAY_INTERVAL;
        tokio::time::sleep_until(due).await;
        shared.record_delay(due);
        let (own, others) = (shared.fullness(), shared.peers.mean_fullness());
        let is_full = own.share >= 1.0;
        if is_full != was_full {
            log::info!(target: "intake", full = is_full, resource = own.resource.name(),
                share = own.share, others:? = others, connections = shared.callers.count();
                "entry filled up or has room again");
        }
        was_full = is_full;
    }
}

/// How often engines are checked against the pause limit of their service and for their regions.
const PACE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Follows which engines miss the pause limit of their service for the lifetime of the process.
async fn watch_freezes(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(freeze::CHECK_INTERVAL).await;
        shared.freezes.check(Instant::now());
    }
}

async fn watch_pace(shared: Arc<Shared>) {
    let mut without_region = HashSet::new();
    loop {
        tokio::time::sleep(PACE_CHECK_INTERVAL).await;
        check_pace(&shared, Instant::now());
        check_regions(&shared, &mut without_region);
    }
}

/// Logs each failure domain of engines once that has no region although others have.
fn check_regions(shared: &Shared, logged: &mut HashSet<CompactString>) {
    for engine in shared.fleet().engines().iter() {
        if shared.settings.topology.lacks(engine.domain_key) && logged.insert(engine.domain.clone())
        {
            log::warn!(target: "fleet", domain = engine.domain.as_str();
                "failure domain without a region counts as a region of its own");
        }
    }
}

fn check_pace(shared: &Shared, now: Instant) {
    let paces = &shared.workload.paces;
    let engines = shared.fleet().engines();
    let max_gaps: HashMap<ServiceName, Duration> = match shared.table.borrow().as_ref() {
        Some(table) => {
            let max_gap = |name: &ServiceName| Some((name.clone(), table.max_gap(name)?));
            table.services().filter_map(|service| max_gap(&service.name)).collect()
        }
        None => return,
    };
    for engine in engines.iter() {
        let Some(max_gap) = max_gaps.get(&engine.service) else { continue };
        let Some(misses) = paces.track_limit(engine.key, *max_gap, now) else { continue };
        let Summary { usual, bad, .. } = paces.summary(engine.key, now);
        log::info!(target: "fleet", target_id = engine.id.as_str(), misses,
            limit_ms = max_gap.as_millis(), usual_ms = usual.as_millis(),
            bad_ms = bad.as_millis();
            "pause limit of an engine");
    }
    paces.forget(engines.iter().map(|engine| engine.key), now);
}

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let failed = |source| Error::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}
