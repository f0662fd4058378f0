//! One target as this process sees it: its identity, connections and load.

mod condition;
mod intake;
mod role;

use crate::codec::{Incarnation, ReportedLoad, SoftwareVersion, TargetId};
use crate::config::route::{ServiceName, Stage};
use crate::targets::engine::Engine;
use crate::targets::pace::DecodePace;
use crate::targets::pool::Pool;
use crate::targets::workload::Workload;
use compact_str::CompactString;
use condition::Condition;
use intake::Intake;
use policy::pace::Summary;
use policy::pacing::Rate;
use policy::signals::{Change as SignalChange, Closed, Signals};
use policy::transfer::TransferTime;
use role::Role;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A target as this process has observed it.
#[derive(Debug)]
pub struct Target {
    /// The id. A target may restart under the same id, as another incarnation.
    pub id: TargetId,
    /// Hash of the id and the incarnation, so that reports about an earlier incarnation don't apply
    /// to this one.
    pub key: policy::Hash,
    /// The incarnation, if the target reports it.
    pub incarnation: Option<Incarnation>,
    /// The version of its software, if the target reports it.
    pub software: Option<SoftwareVersion>,
    /// Hash of that version; targets that report none have the same.
    pub software_key: policy::Hash,
    /// The service it belongs to.
    pub service: ServiceName,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: CompactString,
    /// Hash of the failure domain.
    pub domain_key: policy::Hash,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Connections from this process to it.
    pub pool: Pool,
    /// This process's prompts and streams there, and what is probably in its prefix cache.
    pub engine: Engine,
    state: Mutex<State>,
    workload: Arc<Workload>,
    /// Whether streams that may be resumed elsewhere may begin there, see [`policy::versions`].
    begins_streams: AtomicBool,
    /// Whether a task is probing it.
    probed: AtomicBool,
    /// The last check whether it had crashed, and its result.
    crash_check: tokio::sync::Mutex<Option<(Instant, bool)>>,
    /// When this process first observed it. The times passed to `policy` count from then.
    first_seen: Instant,
}

/// A target's id and incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The id.
    pub id: TargetId,
    /// The incarnation, if the target reports it.
    pub incarnation: Option<Incarnation>,
}

/// Direction of a KV cache transfer, seen from one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferDirection {
    /// To another engine.
    Out,
    /// From another engine.
    In,
}

/// Half of the longest time that a transfer may wait, see [`Target::has_transfer_backlog`].
const TRANSFER_BACKLOG: Duration = Duration::from_millis(1_000);

/// For how long a load report from a target is used. Its requests take tens of milliseconds, so an
/// older report does not reflect the current load.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(100);

/// Connect timeout for a target that ended an exchange early.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// How long an announced stage change may take: the announcement, the streams that are running, the
/// change itself, and the report of it. If the order was lost, the engine gets no new work for this
/// long.
pub const STAGE_CHANGE_TIMEOUT: Duration = Duration::from_millis(9_000);

#[derive(Debug, Default)]
struct State {
    role: Role,
    condition: Condition,
    intake: Intake,
    transfers_out: TransferTime,
    transfers_in: TransferTime,
    /// The load that it last reported, and when.
    reported: Option<(ReportedLoad, Instant)>,
}

/// What an exchange with a target showed about its health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It responded, and not with a server error.
    Healthy,
    /// It responded with a server error, or ended the exchange early.
    Failing,
    /// It could not be reached, or stopped responding.
    Unreachable,
}

impl Target {
    /// Creates a target without connections or load. Changes in its load are reported to
    /// `workload`.
    pub fn new(
        Identity { id, incarnation }: Identity,
        service: ServiceName,
        address: SocketAddr,
        domain: CompactString,
        slots: u32,
        workload: Arc<Workload>,
    ) -> Self {
        let key = incarnation
            .map_or(policy::hash(&id), |incarnation| policy::mix(policy::hash(&id), incarnation));
        let domain_key = policy::hash(&domain);
        let first_seen = Instant::now();
        let signal_state = workload.availability.restore(key, first_seen);
        let state = Mutex::new(State { intake: Intake::new(signal_state), ..State::default() });
        let (pool, engine) = (Pool::new(address), Engine::new(key, workload.clone()));
        Self {
            id,
            key,
            incarnation,
            software: None,
            software_key: software_key(None),
            service,
            address,
            domain,
            domain_key,
            slots,
            pool,
            engine,
            state,
            workload,
            begins_streams: AtomicBool::new(false),
            probed: AtomicBool::new(false),
            crash_check: tokio::sync::Mutex::default(),
            first_seen,
        }
    }

    /// Sets the version of its software.
    pub fn with_software(self, software: Option<SoftwareVersion>) -> Self {
        Self { software_key: software_key(software.as_deref()), software, ..self }
    }

    /// For how long this process has known it.
    pub fn known_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.first_seen)
    }

    /// Whether streams that may be resumed elsewhere may begin there: its version has been known for
    /// long enough.
    pub fn begins_streams(&self) -> bool {
        self.begins_streams.load(Ordering::Relaxed)
    }

    /// Lets streams that may be resumed elsewhere begin there.
    pub fn let_streams_begin(&self) {
        self.begins_streams.store(true, Ordering::Relaxed);
    }

    /// The stage, if this is an engine that has one.
    pub fn stage(&self) -> Option<Stage> {
        self.state().role.stage()
    }

    /// Sets the stage and returns whether it changed.
    pub fn set_stage(&self, stage: Option<Stage>) -> bool {
        self.state().role.set(stage)
    }

    /// Records that the stage is about to change to `stage`. The engine gets no new work until it
    /// has changed, or until `until`.
    pub fn expect_stage_change(&self, stage: Stage, now: Instant, until: Instant) {
        self.state().role.expect_change(stage, now, until);
    }

    /// Whether a stage change was announced and is still pending.
    pub fn is_changing_stage(&self, now: Instant) -> bool {
        self.state().role.is_changing(now)
    }

    /// How long ago a change to `stage` was announced, if it is still pending.
    pub fn stage_change_age(&self, stage: Stage, now: Instant) -> Option<Duration> {
        self.state().role.stage_change_age(stage, now)
    }

    /// The stage after an announced change, or else the current stage.
    pub fn next_stage(&self, now: Instant) -> Option<Stage> {
        self.state().role.next_stage(now)
    }

    /// Requests of this process that are in flight there.
    pub fn in_flight(&self) -> u32 {
        self.state().condition.reach.outstanding()
    }

    /// Counts a request as in flight there until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> InFlightRequest {
        let now = self.time(Instant::now());
        self.state().condition.reach.request_started(now);
        InFlightRequest(self.clone())
    }

    /// Records the load that it reported.
    pub fn observe_load(&self, load: ReportedLoad, now: Instant) {
        self.state().reported = Some((load, now));
        if let Some(percent) = load.work_percent {
            self.workload.paces.observe_machine(self.key, percent, now);
        }
    }

    /// Records the gap between two pieces of a stream.
    pub fn record_piece(&self, gap: Duration, now: Instant) {
        self.workload.paces.record_piece(self.key, gap, now);
    }

    /// How long it takes per piece, as measured by all entries while this incarnation decoded.
    pub fn pace(&self) -> Summary {
        self.workload.paces.summary(self.key, Instant::now())
    }

    /// Whether its pieces arrive within `max_gap` even in bad moments, as far as known. A limit of
    /// zero stands for none.
    pub fn holds_pause(&self, max_gap: Duration, now: Instant) -> bool {
        self.workload.paces.summary(self.key, now).holds(max_gap)
    }

    /// What matters of its pace for a stream with this pause limit, if it is known to decode
    /// `streams` others.
    pub fn decode_pace(&self, max_gap: Duration, streams: u32, now: Instant) -> DecodePace {
        self.workload.paces.decode_pace(self.key, max_gap, streams, now)
    }

    /// Applies the signals in its response to a request that was sent at `sent`, and returns what
    /// changed.
    pub fn observe_signals(
        &self,
        signals: &Signals,
        sent: Instant,
        now: Instant,
    ) -> Vec<SignalChange> {
        let changes = self.state().intake.observe(signals, self.time(sent), self.time(now));
        for change in &changes {
            self.log_change(*change);
        }
        if !changes.is_empty() {
            self.workload.availability.record(self.key, &changes, now);
            self.workload.notify_changed();
        }
        changes
    }

    /// Records that it accepts no requests from some other entry until `until`.
    pub fn record_peer_pause(&self, until: Instant) {
        self.state().intake.record_peer_pause(self.time(until));
    }

    /// Checks whether the target accepts requests, by its own responses.
    pub fn check_open(&self, now: Instant) -> Result<(), Closed> {
        self.state().intake.signal_state.check_open(self.time(now))
    }

    /// Checks the same directly before a request is written, and counts that request as sent. A
    /// signal may arrive while the request waits for a permit, a slot or a connection.
    pub fn acquire(&self, now: Instant) -> Result<(), Closed> {
        self.state().intake.signal_state.acquire(self.time(now))
    }

    /// Checks whether a request that was already counted may still be sent, after its connection
    /// turned out to be closed.
    pub fn recheck(&self, now: Instant) -> Result<(), Closed> {
        self.state().intake.signal_state.recheck(self.time(now))
    }

    /// How long until it accepts requests again, if it is paused.
    pub fn pause_remaining(&self, now: Instant) -> Option<Duration> {
        self.state().intake.signal_state.pause_remaining(self.time(now))
    }

    /// Whether it announced in a response that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.state().intake.signal_state.is_leaving()
    }

    fn log_change(&self, change: SignalChange) {
        let id = self.id.as_str();
        match change {
            SignalChange::Limit(limit) => {
                log::info!(target: "fleet", target_id = id, limit:?; "limit of a target changed");
            }
            SignalChange::Leaves => {
                log::info!(target: "fleet", target_id = id; "target says that it leaves");
            }
            SignalChange::Pauses { span, is_new: true } => {
                log::info!(target: "fleet", target_id = id, ms = span.as_millis();
                    "target wants a pause");
            }
            SignalChange::Pauses { is_new: false, .. } => {}
            SignalChange::Resumes => {
                log::info!(target: "fleet", target_id = id; "target is back after a pause");
            }
            SignalChange::Unreadable(signal) => {
                log::warn!(target: "fleet", target_id = id, signal; "signal not readable");
            }
        }
    }

    /// The rate limit that it reported, in requests per second from all entries together.
    pub fn limit(&self) -> Option<Rate> {
        self.state().intake.signal_state.limit().rate()
    }

    /// When the request was sent whose response last carried the limit, and when that response
    /// arrived.
    pub fn limit_times(&self) -> (Instant, Instant) {
        let limit = self.state().intake.signal_state.limit();
        (self.first_seen + limit.sent_at(), self.first_seen + limit.received_at())
    }

    /// Whether a report of its limit to its coordinators is due, or, if `is_outdated`, a report
    /// that it has none. If so, counts the report as sent.
    pub fn begin_limit_report(&self, is_outdated: bool, now: Instant) -> bool {
        self.state().intake.begin_limit_report(is_outdated, self.time(now))
    }

    /// Records that there is no permit to send to it until `until`.
    pub fn close_until(&self, until: Instant, now: Instant) {
        self.state().intake.close_until(self.time(until), self.time(now));
    }

    /// Whether it reported a rate limit and demand exceeds it: a permit was refused recently. It
    /// has no capacity to spare then, so planning counts it as unavailable.
    pub fn is_limit_exhausted(&self, now: Instant) -> bool {
        self.state().intake.is_limit_exhausted(self.time(now))
    }

    /// How long until a request may be sent to it, if there is no permit now or it is paused.
    pub fn closed_for(&self, now: Instant) -> Option<Duration> {
        self.state().intake.closed_for(self.time(now))
    }

    /// Records what an exchange with it showed about its health, and starts probing it if it could
    /// not be reached.
    pub fn record_health(self: &Arc<Self>, health: Health, now: Instant) {
        self.state().condition.record_health(health, self.time(now));
        if health == Health::Unreachable {
            self.probe_until_reached();
        }
    }

    /// Records that it sent a piece of a response.
    pub fn record_activity(&self, now: Instant) {
        self.state().condition.reach.response_received(self.time(now));
    }

    /// Records the duration of a KV cache transfer.
    pub fn record_transfer(&self, direction: TransferDirection, duration: Duration, now: Instant) {
        let now = self.time(now);
        let mut state = self.state();
        match direction {
            TransferDirection::Out => state.transfers_out.sample(duration, now),
            TransferDirection::In => state.transfers_in.sample(duration, now),
        }
    }

    /// How long KV cache transfers take at present.
    pub fn expected_transfer(&self, direction: TransferDirection, now: Instant) -> Duration {
        let (state, now) = (self.state(), self.time(now));
        match direction {
            TransferDirection::Out => state.transfers_out.expected(now),
            TransferDirection::In => state.transfers_in.expected(now),
        }
    }

    /// How much longer than usual KV cache transfers take.
    pub fn transfer_excess(&self, direction: TransferDirection, now: Instant) -> Duration {
        let (state, now) = (self.state(), self.time(now));
        match direction {
            TransferDirection::Out => state.transfers_out.excess(now),
            TransferDirection::In => state.transfers_in.excess(now),
        }
    }

    /// Whether KV cache for it queues so long that it is about to refuse more: transfers that would
    /// wait for two seconds are not started. The engine is alive and responsive, but for decoding
    /// it is as good as unavailable.
    pub fn has_transfer_backlog(&self, now: Instant) -> bool {
        self.transfer_excess(TransferDirection::In, now) >= TRANSFER_BACKLOG
    }

    /// Tries to connect after an exchange ended early, and returns whether that succeeded: a single
    /// connection may have been reset, or the target may have crashed.
    pub async fn check_listening(self: &Arc<Self>) -> bool {
        let Err(error) = crate::targets::pool::connect(self.address, CHECK_TIMEOUT).await else {
            return true;
        };
        log::info!(target: "fleet", target_id = self.id.as_str(), error:% = error;
            "target does not listen");
        self.record_health(Health::Unreachable, Instant::now());
        false
    }

    /// Whether the target had crashed when a connection to it broke at `broke_at`. All requests
    /// that were running there ask this at the same time, and share one check.
    pub async fn has_crashed(self: &Arc<Self>, broke_at: Instant) -> bool {
        let mut check = self.crash_check.lock().await;
        if let Some((_, crashed)) = check.filter(|(at, _)| *at >= broke_at) {
            return crashed;
        }
        let at = Instant::now();
        let crashed = !self.check_listening().await;
        *check = Some((at, crashed));
        crashed
    }

    /// Records that whatever responds at its address reported that it is not this target, or not of
    /// this stage.
    ///
    /// A crashed target may have been replaced at its address while the list of targets does not
    /// show it yet: its record expires only after seconds, or the log is unavailable. Connections
    /// succeed there, so nothing else would keep requests from being sent and refused, each at the
    /// cost of one of the few attempts that a request has.
    pub fn mark_misdirected(&self, now: Instant) {
        self.state().condition.mark_misdirected(self.time(now));
    }

    /// Records that the target renewed its record.
    pub fn record_renewal(&self) {
        self.state().condition.record_renewal();
    }

    /// Whether other targets are preferred: it could not be reached recently, another target
    /// responds at its address, it accepts no requests now, or it has work and has sent nothing for
    /// `silence_timeout`.
    pub fn is_unavailable(&self, silence_timeout: Duration, now: Instant) -> bool {
        let (state, now) = (self.state(), self.time(now));
        state.intake.is_unavailable(now) || state.condition.is_unavailable(silence_timeout, now)
    }

    /// Probes it with connection attempts, after pauses, until one succeeds or the target is
    /// dropped.
    fn probe_until_reached(self: &Arc<Self>) {
        if self.probed.swap(true, Ordering::Relaxed) {
            return;
        }
        let target = Arc::downgrade(self);
        tokio::spawn(async move {
            while let Some(due) = target.upgrade().and_then(|target| target.probe_due()) {
                tokio::time::sleep_until(due).await;
                let Some(target) = target.upgrade() else { return };
                let now = target.time(Instant::now());
                let probing = target.state().condition.reach.begin_probe(now);
                if probing && target.check_listening().await {
                    target.record_activity(Instant::now());
                }
            }
            if let Some(target) = target.upgrade() {
                target.probed.store(false, Ordering::Relaxed);
            }
        });
    }

    /// When the next probe is due, if it could not be reached.
    fn probe_due(&self) -> Option<Instant> {
        self.state().condition.reach.probe_due().map(|due| self.first_seen + due)
    }

    /// The share of its slots in use, by this process or by its own report, whichever is more.
    /// Failures add to it.
    pub fn utilization(&self, now: Instant) -> f64 {
        let state = self.state();
        let reported = match state.reported {
            Some((load, at)) if now.duration_since(at) < LOAD_REPORT_TTL => {
                load.running + load.waiting
            }
            _ => 0,
        };
        let requests = f64::from(state.condition.reach.outstanding().max(reported));
        requests / f64::from(self.slots.max(1)) + state.condition.failure_penalty()
    }

    fn time(&self, now: Instant) -> policy::Time {
        now.saturating_duration_since(self.first_seen)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the key of a software version; targets that report none have the same.
pub fn software_key(software: Option<&str>) -> policy::Hash {
    policy::hash(software.unwrap_or_default())
}

/// Counts a request as in flight at a target until it is dropped.
#[derive(Debug)]
pub struct InFlightRequest(Arc<Target>);

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.0.state().condition.reach.request_ended();
    }
}
