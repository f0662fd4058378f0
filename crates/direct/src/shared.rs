//! What all requests of an entry share.

use crate::cluster::coordinator::Coordinator;
use crate::cluster::groups::{self, Groups};
use crate::cluster::loads::Loads;
use crate::cluster::peer_socket::PeerSocket;
use crate::cluster::peers::Peers;
use crate::cluster::suspects::Suspects;
use crate::cluster::tail::{Tail, Topic};
use crate::cluster::usage::Usage;
use crate::codec::Codec;
use crate::config::route::{Route, RouteName, Service, Table};
use crate::durations::Durations;
use crate::metrics::Metrics;
use crate::targets::fleet::Fleet;
use crate::targets::target::Target;
use crate::targets::workload::Workload;
use compact_str::CompactString;
use plat::Offset;
use plat::epoch::Epoch;
use policy::{Hash, balance, connect_timeout, extra_budget, link, prefill, retry_detection, split};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// Settings of an entry that sends straight to targets.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its name, unlike that of any other entry.
    pub name: CompactString,
    /// Its failure domain.
    pub domain: CompactString,
    /// How extra sendings are bounded.
    pub extras: extra_budget::Settings,
    /// How prompts are placed.
    pub prompts: prefill::Settings,
    /// This process's link.
    pub link: link::Settings,
    /// How engines are split.
    pub split: split::Settings,
    /// When engines change what they do for the load.
    pub balance: balance::Settings,
    /// Whether the whole system starts for the first time, so that nobody can hold a lease.
    pub first_start: bool,
    /// How old the news of the configuration may be for keys of customers to be believed; `None` if they
    /// are believed however old it is.
    pub keys_max_age: Option<Duration>,
}

/// The share of an entry's link that its datagrams to the others may take. Some entries have a
/// hundredth of the others' links, and full ones lose datagrams.
const DATAGRAM_SHARE: f64 = 0.03;

/// Bytes that the network adds to each datagram.
const DATAGRAM_HEAD: usize = 28;

impl Settings {
    /// For how long datagrams of `bytes` bytes to so many peers take up their share of the link.
    pub fn datagram_interval(&self, bytes: usize, peers: u32) -> Duration {
        let bytes = u32::try_from(bytes + DATAGRAM_HEAD).unwrap_or(u32::MAX);
        let bytes = f64::from(bytes) * f64::from(peers);
        let span =
            Duration::try_from_secs_f64(bytes / (self.link.bytes_per_second * DATAGRAM_SHARE));
        span.unwrap_or(MAX_DATAGRAM_INTERVAL).min(MAX_DATAGRAM_INTERVAL)
    }
}

/// Datagrams are no further apart than this, however small the link: others would take the entry
/// for silent.
pub const MAX_DATAGRAM_INTERVAL: Duration = Duration::from_millis(300);

/// How a process stops.
#[derive(Debug, Clone, Copy)]
pub struct Stop {
    /// From when on nobody should send it anything, so that it begins only what surely ends.
    pub drain_at: Instant,
    /// When it ends at the latest.
    pub deadline: Instant,
}

/// The state of an entry.
pub struct Shared {
    /// Its settings.
    pub settings: Settings,
    /// The vocabulary of callers and targets.
    pub codec: Arc<dyn Codec>,
    /// The configuration in force; none until one was read.
    pub table: watch::Sender<Option<Arc<Table>>>,
    /// Requests that crashed targets.
    pub suspects: Suspects,
    /// How long requests take.
    pub durations: Durations,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// The other entries' work.
    pub peers: Peers,
    /// What this entry has granted to others.
    pub coordinator: Coordinator,
    /// What customers have used.
    pub usage: Usage,
    /// Datagrams about single prompts.
    pub post: PeerSocket,
    /// What is asked of engines, and what they do.
    pub loads: Loads,
    /// Who reads the log.
    pub tail: Tail,
    /// Told when the entries' stream is to be read at once.
    pub notices: Notify,
    /// This entry's work at engines.
    pub workload: Arc<Workload>,
    fleet: Mutex<Fleet>,
    groups: groups::Cache,
    link: Mutex<link::Link>,
    dial: Mutex<connect_timeout::ConnectTimeouts>,
    /// How long callers wait, by route.
    patience: Mutex<HashMap<RouteName, retry_detection::RetryDetector>>,
    windows: Mutex<HashMap<CompactString, extra_budget::ExtraBudget>>,
    entries: AtomicU32,
    random: Mutex<ChaCha8Rng>,
    stop: OnceLock<Stop>,
    started: Instant,
}

/// The share of the connections that a target takes which all entries together open: it also
/// takes health checks, and fewer while its queue is long.
const CONNECTION_SHARE: f64 = 0.85;

/// A prompt that is read between the tokens of streams may take up this part of the pause that they may
/// make: the pieces of output that it delays, another prompt after it and the way to callers take the rest.
const PAUSES: u32 = 4;

/// Routes whose callers' patience is remembered; operators add them by the hundred.
const MAX_ROUTES: usize = 4_096;

impl Shared {
    /// The state of an entry that has just started.
    pub fn new(settings: Settings, codec: Arc<dyn Codec>, seed: u64) -> Self {
        let workload: Arc<Workload> = Arc::default();
        let link = Mutex::new(link::Link::new(settings.link.clone()));
        let run = policy::hash(&format!("{} {:?}", std::process::id(), Instant::now()));
        let first = policy::mix(policy::hash(&settings.name), run);
        Self {
            settings,
            codec,
            table: watch::Sender::new(None),
            suspects: Suspects::default(),
            durations: Durations::default(),
            metrics: Arc::default(),
            peers: Peers::default(),
            coordinator: Coordinator::default(),
            usage: Usage::default(),
            post: PeerSocket::new(first),
            loads: Loads::default(),
            tail: Tail::default(),
            notices: Notify::new(),
            workload: workload.clone(),
            fleet: Mutex::new(Fleet::new(workload)),
            groups: groups::Cache::default(),
            link,
            dial: Mutex::default(),
            patience: Mutex::default(),
            windows: Mutex::default(),
            entries: AtomicU32::new(1),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            stop: OnceLock::new(),
            started: Instant::now(),
        }
    }

    /// This entry's identity in decisions: the hash of its name.
    pub fn key(&self) -> Hash {
        policy::hash(&self.settings.name)
    }

    /// The list of targets, without those that have said that they leave.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        let mut fleet = self.fleet.lock().unwrap_or_else(PoisonError::into_inner);
        fleet.take_departures();
        fleet
    }

    /// Whether keys of customers can be believed: where it matters, an entry that hears of no changes
    /// serves nobody, since the key may have been taken away.
    pub fn keys_are_fresh(&self, now: Instant) -> bool {
        let Some(lapse) = self.settings.keys_max_age else { return true };
        self.tail.age(Topic::Config, now).is_some_and(|age| age < lapse)
    }

    /// Takes in an epoch of the log, of which `from` says how it is known.
    pub fn observe_epoch(&self, epoch: Epoch, from: &'static str) {
        let Some(new) = self.tail.observe_epoch(epoch, Instant::now()) else { return };
        if let Some(before) = new.before {
            log::warn!(target: "store", epoch, before, from; "log came back older");
        }
        self.metrics.epoch.set(i64::try_from(epoch).unwrap_or(i64::MAX));
    }

    /// Notes a read, and tells the others at once if it brought news.
    pub fn note_read(&self, topic: Topic, news: Offset) {
        if self.tail.record_read(topic, news, Instant::now()) {
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

    /// Notes that the process stops.
    pub fn stop(&self, stop: Stop) {
        // A second signal changes nothing.
        let _ = self.stop.set(stop);
    }

    /// How the process stops, if it does.
    pub fn stopping(&self) -> Option<Stop> {
        self.stop.get().copied()
    }

    /// The groups of a service's engines, and who coordinates them.
    pub fn groups(&self, service: &CompactString) -> Groups {
        let engines = self.usable(service);
        self.groups.groups(service, &engines, &self.peers.members())
    }

    /// Tokens that fit in the memory of one engine of a service.
    pub fn kv_capacity(&self, service: &str) -> u64 {
        let table = self.table.borrow();
        let service = table.as_ref().and_then(|table| table.service(service));
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.map_or(0, |engine| engine.kv_capacity)
    }

    /// Of how many entries this one knows the work of a single one on average: 1 if it hears all
    /// the others, as many as there are if it hears none.
    ///
    /// An entry that is gone still counts until its heartbeat is old. Rounded up, one of thirty
    /// halved the queue that the others left to engines for twenty seconds.
    pub fn load_scale(&self) -> f64 {
        let known = f64::from(self.peers.reachable_count()) + 1.0;
        (f64::from(self.entries()) / known).max(1.0)
    }

    /// How long this entry waits before it calls a log again that did not answer, while no other entry
    /// has reached it either.
    ///
    /// While the log is away none can reach it, and that it is back has to be noticed by one of them:
    /// all together try as often as eight would alone. One that hears nobody tries as if it were alone.
    pub fn log_retry_delay(&self) -> Duration {
        const EACH: Duration = Duration::from_millis(60);
        EACH * self.peers.reachable_count()
    }

    /// How many entries share the work, as far as is known.
    pub fn entries(&self) -> u32 {
        self.entries.load(Ordering::Relaxed).max(1)
    }

    /// Takes in how many entries share the work.
    pub fn set_entries(&self, entries: u32) {
        self.entries.store(entries.max(1), Ordering::Relaxed);
        self.metrics.entries.set(i64::from(entries));
    }

    /// Connections that this entry may have to one target of `service`.
    pub fn connections(&self, service: &Service) -> u32 {
        let share =
            f64::from(service.max_connections) * CONNECTION_SHARE / f64::from(self.entries());
        // One at least; casting a positive float to an integer saturates.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
        let share = share as u32;
        share.max(1)
    }

    /// A random number from 0 up to 1.
    pub fn random(&self) -> f64 {
        const RANGE: f64 = 4_294_967_296.0;
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        f64::from(random.next_u32()) / RANGE
    }

    /// How prompts are placed at the engines of a service, with the rate learnt so far.
    pub fn prompts(&self, service: &str) -> prefill::Settings {
        let rate = self.loads.prefill_rate(service).unwrap_or(self.settings.prompts.prefill_rate);
        let pause = self.table.borrow().as_ref().and_then(|table| table.pause(service));
        let writer_pause = pause.unwrap_or_default() / PAUSES;
        prefill::Settings {
            prefill_rate: rate,
            decode_pause: writer_pause,
            ..self.settings.prompts.clone()
        }
    }

    /// Takes in how long an engine of a service took to read a prompt and what waited before it.
    pub fn record_prefill_time(&self, service: &str, tokens: u64, took: Duration) {
        self.loads.record_prefill(service, self.settings.prompts.prefill_rate, tokens, took);
    }

    /// Whether the caller of a request that waits for `left` from now on has waited longer than the
    /// route's objective already.
    pub fn is_retry(&self, route: &Route, left: Option<Duration>) -> bool {
        let Some(left) = left else { return false };
        let mut patience = self.patience.lock().unwrap_or_else(PoisonError::into_inner);
        if patience.len() >= MAX_ROUTES {
            patience.clear();
        }
        let patience = patience.entry(route.name.clone()).or_default();
        patience.is_retry(left, route.objective)
    }

    /// Books the link for a request of `bytes` bytes: how long until its turn, or how long the link is
    /// taken if that is too long for it.
    pub fn reserve_link(&self, bytes: u64, objective: Duration) -> Result<Duration, Duration> {
        self.link().reserve(bytes, objective, self.started.elapsed())
    }

    /// Ends a booking of the link for bytes that are not sent after all.
    pub fn release_link(&self, bytes: u64) {
        self.link().give_back(bytes);
    }

    /// How long a connection to a target is waited for.
    pub fn connect_timeout(&self, target: &Target) -> Duration {
        self.dial().timeout(target.domain_key, self.started.elapsed())
    }

    /// Takes in how long it took to open a connection to a target.
    pub fn record_connect_time(&self, target: &Target, took: Duration) {
        self.dial().sample(target.domain_key, took, self.started.elapsed());
    }

    fn dial(&self) -> MutexGuard<'_, connect_timeout::ConnectTimeouts> {
        self.dial.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Books bytes that are sent to targets.
    pub fn book_bytes(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.link().send(bytes, self.started.elapsed());
    }

    fn link(&self) -> MutexGuard<'_, link::Link> {
        self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Books a request for `service`.
    pub fn book_request(&self, service: &str) {
        self.with_window(service, |window, now| window.record_request(now));
    }

    /// Books an extra sending that happened.
    pub fn book_extra(&self, service: &str) {
        self.with_window(service, |window, now| window.record_extra(now));
    }

    /// Books an extra sending if there may be one.
    #[must_use]
    pub fn try_book_extra(&self, service: &str) -> bool {
        let entries = self.entries();
        let allowed = self.with_window(service, |window, now| window.try_spend(entries, now));
        self.metrics.extra(allowed);
        allowed
    }

    fn with_window<T>(
        &self,
        service: &str,
        act: impl FnOnce(&mut extra_budget::ExtraBudget, policy::Time) -> T,
    ) -> T {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let new = || extra_budget::ExtraBudget::new(self.settings.extras.clone());
        let window = windows.entry(service.into()).or_insert_with(new);
        act(window, self.started.elapsed())
    }
}
