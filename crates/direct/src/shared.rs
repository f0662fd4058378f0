//! State that all requests of an entry share.

use crate::callers::Connections;
use crate::cluster::clock::SuspendClock;
use crate::cluster::coordinator::Coordinator;
use crate::cluster::freeze;
use crate::cluster::groups::{self, Groups};
use crate::cluster::loads::Loads;
use crate::cluster::origins::Origins;
use crate::cluster::peer_socket::PeerSocket;
use crate::cluster::peers::Peers;
use crate::cluster::quota::{self, Quota};
use crate::cluster::splits::Splits;
use crate::cluster::suspects::Suspects;
use crate::cluster::tail::{Tail, Timing, Topic};
use crate::cluster::usage::Usage;
use crate::codec::Codec;
use crate::config::route::{Route, RouteName, Service, ServiceName, Table};
use crate::durations::Durations;
use crate::metrics::{Metrics, PlacedStep};
use crate::targets::fleet::Fleet;
use crate::targets::target::Target;
use crate::targets::workload::Workload;
use body::Budget;
use compact_str::CompactString;
use plat::Offset;
use plat::epoch::Epoch;
use policy::distance::{Distance, Topology};
use policy::overload::{Capacity, DelayMeter, Fullness, Load};
use policy::region_order::HitShares;
use policy::retry_detection::Attempt;
use policy::{
    Hash, connect_timeout, connections, extra_budget, link, prefill, retry_detection, split,
    succession,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Settings of an entry that sends requests directly to targets.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its name, unique among the entries.
    pub name: CompactString,
    /// Its failure domain.
    pub domain: CompactString,
    /// The regions of the failure domains.
    pub topology: Topology,
    /// The budget for extra attempts.
    pub extra_budget: extra_budget::Settings,
    /// How prompts are placed on engines.
    pub prefill: prefill::Settings,
    /// This process's network link.
    pub link: link::Settings,
    /// How engines are split between prefill and decode.
    pub split: split::Settings,
    /// Whether the whole system starts for the first time, so that no lease can be held.
    pub first_start: bool,
    /// Age of the latest read of the configuration up to which customers' keys are accepted; `None`
    /// if they are accepted at any age.
    pub keys_max_age: Option<Duration>,
    /// How often changes in the log have to be observed.
    pub timing: Timing,
    /// Addresses for datagrams of entries that may be running when this one starts.
    pub seeds: Vec<SocketAddr>,
    /// How the limits of customers are enforced; `None` if none are in force.
    pub quota: Option<quota::Settings>,
    /// How many connections callers may have to this entry: about half of its file descriptors.
    pub max_connections: u32,
    /// How much memory callers may make this entry hold, in bytes: about half of its process's.
    pub caller_memory: usize,
    /// By which freezes of the process and its VM are noticed.
    pub clock: Arc<dyn SuspendClock>,
}

/// The share of an entry's link that its datagrams to the other entries may take. Some entries have
/// a hundredth of the others' links, and a link that is full loses datagrams.
const DATAGRAM_SHARE: f64 = 0.03;

/// Bytes of network headers in each datagram.
const DATAGRAM_HEADER_BYTES: usize = 28;

impl Settings {
    /// How long a datagram of `bytes` bytes to each of `peers` peers occupies the link's share for
    /// datagrams.
    pub fn datagram_interval(&self, bytes: usize, peers: u32) -> Duration {
        let bytes = u32::try_from(bytes + DATAGRAM_HEADER_BYTES).unwrap_or(u32::MAX);
        let bytes = f64::from(bytes) * f64::from(peers);
        let span =
            Duration::try_from_secs_f64(bytes / (self.link.bytes_per_second * DATAGRAM_SHARE));
        span.unwrap_or(MAX_DATAGRAM_INTERVAL).min(MAX_DATAGRAM_INTERVAL)
    }
}

/// The longest interval between datagrams, however small the link. After a longer one, the other
/// entries would count this entry as unresponsive.
pub const MAX_DATAGRAM_INTERVAL: Duration = Duration::from_millis(300);

/// The schedule by which a process stops.
#[derive(Debug, Clone, Copy)]
pub struct Stop {
    /// When the load balancer should have stopped sending it connections. From then on it only
    /// begins requests that are certain to end in time.
    pub drain_at: Instant,
    /// When the process ends at the latest.
    pub deadline: Instant,
}

/// The state of an entry.
pub struct Shared {
    /// Its settings.
    pub settings: Settings,
    /// Translates what callers and targets send.
    pub codec: Arc<dyn Codec>,
    /// The configuration in force; `None` until one was read.
    pub table: watch::Sender<Option<Arc<Table>>>,
    /// Requests suspected of crashing targets.
    pub suspects: Suspects,
    /// How long requests take.
    pub durations: Durations,
    /// The connections of callers.
    pub callers: Arc<Connections>,
    /// The memory that callers make this entry hold.
    pub memory: Arc<Budget>,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// The other entries and their work.
    pub peers: Peers,
    /// What this entry has granted as a coordinator.
    pub coordinator: Coordinator,
    /// What customers have used.
    pub usage: Usage,
    /// At which software versions streams began.
    pub origins: Origins,
    /// When this process stood still.
    pub freezes: freeze::Detector,
    /// How engines are divided between prefill and decode.
    pub splits: Splits,
    /// The limits of customers; `None` if none are in force.
    pub quota: Option<Quota>,
    /// The socket for messages to the other entries.
    pub peer_socket: PeerSocket,
    /// The demand on engines, and the rates they achieve.
    pub loads: Loads,
    /// Which entries read the log, and how far they have read it.
    pub tail: Tail,
    /// Notified when the entries' stream is to be read at once.
    pub entry_stream_changed: Notify,
    /// This entry's work on engines.
    pub workload: Arc<Workload>,
    fleet: Mutex<Fleet>,
    groups: groups::Cache,
    link: Mutex<link::Link>,
    /// How much later than due the process's tasks run.
    delay: Mutex<DelayMeter>,
    connect_timeouts: Mutex<connect_timeout::ConnectTimeouts>,
    /// Detects retries, by route.
    retry_detectors: Mutex<HashMap<RouteName, retry_detection::RetryDetector>>,
    /// How much of a prompt is found cached, by service.
    hit_shares: Mutex<HashMap<ServiceName, HitShares>>,
    /// The budgets of extra attempts, by service.
    extra_budgets: Mutex<HashMap<CompactString, extra_budget::ExtraBudget>>,
    entries: AtomicU32,
    random: Mutex<ChaCha8Rng>,
    stop: OnceLock<Stop>,
    /// Cancelled just before the process ends: what still waits for its target is answered then.
    pub ending: CancellationToken,
    started: Instant,
}

/// The prefill of a prompt that any decode engine takes may last as long as the longest gap of its
/// streams divided by this. Several such prompts arrive between the same two pieces.
const GAP_DIVISOR: u32 = 10;

/// The greatest age that crashes and verdicts may have.
const MAX_CRASH_AGE: Duration = Duration::from_secs(3_600);

/// Upper bound on the routes for which callers' waiting times are kept; operators add routes by the
/// hundred.
const MAX_ROUTES: usize = 4_096;

/// A request that this entry serves. It counts until this is dropped.
pub struct ServedRequest {
    shared: Arc<Shared>,
    service: ServiceName,
}

impl Drop for ServedRequest {
    fn drop(&mut self) {
        self.shared.loads.end_request(&self.service, self.shared.time());
    }
}

impl Shared {
    /// Creates the state of an entry that has just started.
    pub fn new(mut settings: Settings, codec: Arc<dyn Codec>, seed: u64) -> Self {
        settings.prefill.topology = Arc::new(settings.topology.clone());
        let workload: Arc<Workload> = Arc::default();
        let link = Mutex::new(link::Link::new(settings.link.clone()));
        let incarnation = policy::hash(&format!("{} {:?}", std::process::id(), Instant::now()));
        let first_id = policy::mix(policy::hash(&settings.name), incarnation);
        let tail = Tail::new(first_id, settings.timing);
        let groups = groups::Cache::new(settings.topology.clone());
        let peers = Peers::new(settings.topology.clone());
        let quota = settings.quota.as_ref();
        let quota = quota.map(|quota| Quota::new(quota, policy::hash(&settings.name), first_id));
        let mut fleet = Fleet::new(workload.clone());
        let memory = Arc::new(Budget::new(settings.caller_memory));
        let freezes = freeze::Detector::new(settings.clock.clone());
        fleet.begin_history(settings.first_start, Instant::now());
        Self {
            settings,
            codec,
            table: watch::Sender::new(None),
            suspects: Suspects::default(),
            durations: Durations::default(),
            callers: Arc::default(),
            memory,
            delay: Mutex::default(),
            metrics: Arc::default(),
            peers,
            coordinator: Coordinator::default(),
            usage: Usage::default(),
            origins: Origins::default(),
            freezes,
            splits: Splits::default(),
            quota,
            peer_socket: PeerSocket::new(first_id),
            loads: Loads::default(),
            tail,
            entry_stream_changed: Notify::new(),
            workload,
            fleet: Mutex::new(fleet),
            groups,
            link,
            connect_timeouts: Mutex::default(),
            retry_detectors: Mutex::default(),
            hit_shares: Mutex::default(),
            extra_budgets: Mutex::default(),
            entries: AtomicU32::new(1),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            stop: OnceLock::new(),
            ending: CancellationToken::new(),
            started: Instant::now(),
        }
    }

    /// This entry's identity in decisions: the hash of its name.
    pub fn key(&self) -> Hash {
        policy::hash(&self.settings.name)
    }

    /// How far a failure domain is from this entry's own.
    pub fn distance_from_here(&self, domain: Hash) -> Distance {
        self.settings.topology.distance(policy::hash(&self.settings.domain), domain)
    }

    /// Locks the list of targets, after excluding from new work those that announced that they are
    /// leaving.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        let mut fleet = self.fleet.lock().unwrap_or_else(PoisonError::into_inner);
        fleet.take_departures();
        fleet
    }

    /// Whether customers' keys are recent enough to be accepted. Where a maximum age is set, an
    /// entry that reads no configuration changes serves no customer, since a key may have been
    /// revoked.
    pub fn keys_are_fresh(&self, now: Instant) -> bool {
        let Some(max_age) = self.settings.keys_max_age else { return true };
        self.tail.age(Topic::Config, now).is_some_and(|age| age < max_age)
    }

    /// Records an epoch of the log; `from` names where it was observed.
    pub fn observe_epoch(&self, epoch: Epoch, from: &'static str) {
        let Some(new) = self.tail.observe_epoch(epoch, Instant::now()) else { return };
        if let Some(before) = new.before {
            log::warn!(target: "store", epoch, before, from; "log came back older");
        }
        self.metrics.epoch.set(i64::try_from(epoch).unwrap_or(i64::MAX));
    }

    /// Records a read, and informs the other entries at once if it brought changes.
    pub fn record_read(&self, topic: Topic, change_end: Offset, position: Offset, began: Instant) {
        if self.tail.record_read(topic, change_end, position, began, Instant::now()) {
            self.workload.notify_changed();
        }
    }

    /// The targets of a service that may get new work.
    pub fn usable(&self, service: &str) -> Arc<[Arc<Target>]> {
        self.fleet().usable(service)
    }

    /// Whether a target that was chosen some time ago may still get work.
    pub fn may_get_work(&self, target: &Target) -> bool {
        self.fleet().get(&target.id).is_some_and(|known| known.key == target.key)
    }

    /// Starts the shutdown of the process.
    pub fn stop(&self, stop: Stop) {
        // Only the first call has an effect.
        let _ = self.stop.set(stop);
    }

    /// The schedule by which the process stops, if it is stopping.
    pub fn stopping(&self) -> Option<Stop> {
        self.stop.get().copied()
    }

    /// The groups of a service's engines, and their coordinators.
    pub fn groups(&self, service: &CompactString) -> Groups {
        let engines = self.usable(service);
        self.groups.groups(service, &engines, &self.peers.members())
    }

    /// KV cache that fits in the memory of one engine of a service, in tokens.
    pub fn kv_capacity(&self, service: &str) -> u64 {
        let table = self.table.borrow();
        let service = table.as_ref().and_then(|table| table.service(service));
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.map_or(0, |engine| engine.kv_capacity)
    }

    /// The factor by which known work is scaled up for the entries whose work is unknown: 1 if all
    /// the others report theirs, the number of entries if none does.
    ///
    /// An entry that is gone still counts until its heartbeat is old. When this was rounded up, one
    /// missing entry of thirty halved the queue that the others left to engines for twenty seconds.
    pub fn load_scale(&self) -> f64 {
        let known = f64::from(self.peers.reachable_count()) + 1.0;
        (f64::from(self.entries()) / known).max(1.0)
    }

    /// The delay before this entry calls a log again that did not respond, while no other entry has
    /// reached it either.
    ///
    /// One of the streams shows whether the log responds again; the others are read then, or after
    /// a longer delay. An entry that hears of no other retries as if it were alone.
    pub fn log_retry_delay(&self, topic: Topic) -> Duration {
        const LONGEST: Duration = Duration::from_secs(10);
        let entries = if self.peers.reachable_count() == 0 { 0 } else { self.entries() - 1 };
        match topic {
            Topic::Targets => succession::retry_delay(entries, LONGEST),
            Topic::Config | Topic::Notices => succession::retry_delay(entries * 2, LONGEST * 2),
        }
    }

    /// The time since the process started, for decisions in [`policy`].
    pub fn time(&self) -> policy::Time {
        self.started.elapsed()
    }

    /// The time for [`policy::poison`], which other entries tell as ages: it begins before the process
    /// did, so that what is older than the process keeps its age.
    pub fn crash_time(&self) -> policy::Time {
        self.time() + MAX_CRASH_AGE
    }

    /// The same of a point in time.
    pub fn crash_time_at(&self, at: Instant) -> policy::Time {
        at.saturating_duration_since(self.started) + MAX_CRASH_AGE
    }

    /// The number of entries that share the work, as far as known.
    pub fn entries(&self) -> u32 {
        self.entries.load(Ordering::Relaxed).max(1)
    }

    /// Sets the number of entries that share the work.
    pub fn set_entries(&self, entries: u32) {
        self.entries.store(entries.max(1), Ordering::Relaxed);
        self.metrics.entries.set(i64::from(entries));
    }

    /// How full this entry is.
    pub fn fullness(&self) -> Fullness {
        let load = Load {
            connections: self.callers.count(),
            delay: self.delay().delay(),
            link_wait: self.link().wait(self.time()),
        };
        let objective = self.table.borrow().as_ref().and_then(|table| table.objective());
        load.fullness(&Capacity { connections: self.settings.max_connections, objective })
    }

    /// Records that a task of the process which was due at `due` runs now.
    pub fn record_delay(&self, due: Instant) {
        let due = due.saturating_duration_since(self.started);
        self.delay().record(due, self.time());
    }

    fn delay(&self) -> MutexGuard<'_, DelayMeter> {
        self.delay.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Connections that this entry may have to one target of `service`.
    pub fn connections(&self, service: &Service) -> u32 {
        let demand = connections::Demand {
            entries: self.entries(),
            own: self.loads.demand(&service.name, self.time()),
            others: self.peers.mean_demand(&service.name),
        };
        demand.connections(service.max_connections)
    }

    /// Counts a request as served by this entry until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>, service: &ServiceName) -> ServedRequest {
        self.loads.begin_request(service, self.time());
        ServedRequest { shared: self.clone(), service: service.clone() }
    }

    /// A random number from 0 up to 1.
    pub fn random(&self) -> f64 {
        const RANGE: f64 = 4_294_967_296.0;
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        f64::from(random.next_u32()) / RANGE
    }

    /// The shortest gap between pieces that any route of a service allows; zero if none is set.
    pub fn max_gap(&self, service: &str) -> Duration {
        let table = self.table.borrow();
        table.as_ref().and_then(|table| table.max_gap(service)).unwrap_or_default()
    }

    /// How prompts are placed on the engines of a service, with the prefill rate learned so far.
    pub fn prefill_settings(&self, service: &str) -> prefill::Settings {
        let rate = self.loads.prefill_rate(service).unwrap_or(self.settings.prefill.prefill_rate);
        let table = self.table.borrow().clone();
        let max_gap = table.as_ref().and_then(|table| table.max_gap(service)).unwrap_or_default();
        let spec = table.as_ref().and_then(|table| table.service(service)?.engine.as_ref());
        let piece_tokens = spec.and_then(|engine| engine.piece_tokens);
        let piece_time = piece_tokens.and_then(|tokens| self.loads.decode_time(service, tokens));
        prefill::Settings {
            prefill_rate: rate,
            decode_pause: max_gap / GAP_DIVISOR,
            max_gap,
            // Until it is known, streams are assumed to bear no pause.
            piece_time: piece_time.unwrap_or(max_gap),
            rate_learned: self.loads.is_prefill_rate_learned(service),
            learned_reserve: self.first_piece_excess(service),
            ..self.settings.prefill.clone()
        }
    }

    /// Counts a prompt that `engine` prefilled.
    pub fn record_prefill_placement(&self, engine: &Target) {
        let distance = self.distance_from_here(engine.domain_key);
        self.metrics.placement(PlacedStep::Prefill, distance);
    }

    /// Counts an output that `engine` decodes, for a prompt that `source` prefilled.
    pub fn record_decode_placement(&self, source: &Target, engine: &Target) {
        let distance = self.settings.topology.distance(source.domain_key, engine.domain_key);
        self.metrics.placement(PlacedStep::Decode, distance);
    }

    /// How much of a prompt of a service is found cached where it is looked for first.
    pub fn hit_shares(&self, service: &ServiceName) -> HitShares {
        let known = self.hit_shares.lock().unwrap_or_else(PoisonError::into_inner);
        known.get(service).copied().unwrap_or_default()
    }

    /// Records the share of a prompt that was found cached there, in the own or another region.
    pub fn record_hit(&self, service: &ServiceName, is_far: bool, share: f64) {
        let mut known = self.hit_shares.lock().unwrap_or_else(PoisonError::into_inner);
        known.entry(service.clone()).or_default().record(is_far, share);
    }

    /// Records the time that an engine of a service needed to prefill `tokens`: a prompt and what
    /// was queued before it.
    pub fn record_prefill_time(&self, service: &str, tokens: u64, duration: Duration) {
        self.loads.record_prefill(service, self.settings.prefill.prefill_rate, tokens, duration);
    }

    /// What the first pieces of a service take beyond queue and prefill, once it has been learned.
    pub fn first_piece_excess(&self, service: &str) -> Option<Duration> {
        self.loads.first_piece_excess(service, self.time())
    }

    /// Records that a first piece took `excess` longer than queue and prefill were promised to.
    pub fn record_first_piece_excess(&self, service: &str, excess: Duration) {
        self.loads.record_first_piece_excess(service, excess, self.time());
    }

    /// Whether a caller who waits for `left` from now on has waited before, see
    /// [`policy::retry_detection`].
    pub fn detect_retry(&self, route: &Route, left: Option<Duration>) -> Attempt {
        let Some(left) = left else { return Attempt::default() };
        let mut detectors = self.retry_detectors.lock().unwrap_or_else(PoisonError::into_inner);
        if detectors.len() >= MAX_ROUTES {
            detectors.clear();
        }
        let detector = detectors.entry(route.name.clone()).or_default();
        detector.attempt(left, route.objective)
    }

    /// Reserves the link for a request of `bytes` bytes. Returns how long it has to wait for its
    /// turn, or as the error how long the link is occupied, if that is too long for the objective.
    pub fn reserve_link(&self, bytes: u64, objective: Duration) -> Result<Duration, Duration> {
        self.link().reserve(bytes, objective, self.started.elapsed())
    }

    /// Releases a reservation of the link for bytes that are not sent after all.
    pub fn release_link(&self, bytes: u64) {
        self.link().release(bytes);
    }

    /// The timeout for opening a connection to a target.
    pub fn connect_timeout(&self, target: &Target) -> Duration {
        self.connect_timeouts().timeout(target.domain_key, self.started.elapsed())
    }

    /// Records the time that opening a connection to a target required.
    pub fn record_connect_time(&self, target: &Target, duration: Duration) {
        self.connect_timeouts().sample(target.domain_key, duration, self.started.elapsed());
    }

    fn connect_timeouts(&self) -> MutexGuard<'_, connect_timeout::ConnectTimeouts> {
        self.connect_timeouts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts bytes that are sent to targets.
    pub fn record_bytes_sent(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.link().record_sent(bytes, self.started.elapsed());
    }

    fn link(&self) -> MutexGuard<'_, link::Link> {
        self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request for `service`.
    pub fn record_request(&self, service: &str) {
        self.with_extra_budget(service, |budget, now| budget.record_request(now));
    }

    /// Counts an extra attempt that was already made.
    pub fn record_extra(&self, service: &str) {
        self.with_extra_budget(service, |budget, now| budget.record_extra(now));
    }

    /// Counts an extra attempt if the budget allows one, and returns whether it does.
    #[must_use]
    pub fn try_spend_extra(&self, service: &str) -> bool {
        let entries = self.entries();
        let allowed = self.with_extra_budget(service, |budget, now| budget.try_spend(entries, now));
        self.metrics.extra(allowed);
        allowed
    }

    fn with_extra_budget<T>(
        &self,
        service: &str,
        act: impl FnOnce(&mut extra_budget::ExtraBudget, policy::Time) -> T,
    ) -> T {
        let mut budgets = self.extra_budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let new = || extra_budget::ExtraBudget::new(self.settings.extra_budget.clone());
        let budget = budgets.entry(service.into()).or_insert_with(new);
        act(budget, self.started.elapsed())
    }
}
