//! One target as this process knows it: its identity, its connections, its load.

mod condition;
mod intake;
mod role;

use crate::codec::{Incarnation, ReportedLoad, TargetId};
use crate::config::route::{ServiceName, Stage};
use crate::targets::engine::Engine;
use crate::targets::pool::Pool;
use crate::targets::workload::Workload;
use compact_str::CompactString;
use condition::Condition;
use intake::Intake;
use policy::pacing::Rate;
use policy::signals::{Change as Said, Closed, Signals};
use policy::transfer::TransferTime;
use role::Role;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A target.
#[derive(Debug)]
pub struct Target {
    /// Its id; it may start again under the same.
    pub id: TargetId,
    /// The hash of its id and its life: what others tell of a former life is not of this one.
    pub key: policy::Hash,
    /// When this life of it began, if it says so.
    pub incarnation: Option<Incarnation>,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: CompactString,
    /// The hash of its failure domain.
    pub domain_key: policy::Hash,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections to it.
    pub pool: Pool,
    /// What this process knows of the prompts and streams there.
    pub engine: Engine,
    load: Mutex<Load>,
    workload: Arc<Workload>,
    /// Whether a task tries to reach it.
    probed: AtomicBool,
    /// When this process first knew it; times in decisions count from then.
    known: Instant,
}

/// Which life of which target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The target's id.
    pub id: TargetId,
    /// When the life began, if it says so.
    pub incarnation: Option<Incarnation>,
}

/// Which way KV cache goes, seen from one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferDirection {
    /// To another engine.
    Out,
    /// From another engine.
    In,
}

/// Half of the longest that a transfer waits, see [`Target::has_transfer_backlog`].
const CHOKED: Duration = Duration::from_millis(1_000);

/// For how long a target's own word about its load counts. Its requests take tens of milliseconds,
/// so an older word says nothing.
const FRESH: Duration = Duration::from_millis(100);

/// How long a target that broke off may take to accept a connection.
const CHECK: Duration = Duration::from_millis(300);

/// How long an announced change is waited for: the announcement, the streams that run, the switch
/// and the news of it. An order that was lost costs the engine's work for this time.
pub const STAGE_CHANGE_TIMEOUT: Duration = Duration::from_millis(9_000);

#[derive(Debug, Default)]
struct Load {
    role: Role,
    condition: Condition,
    intake: Intake,
    handed_out: TransferTime,
    taken_in: TransferTime,
    /// What it said of its requests, and when.
    busy: Option<(ReportedLoad, Instant)>,
}

/// How an exchange with a target ended, as far as its health goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It answered.
    Sound,
    /// It answered that it failed, or broke off.
    Failing,
    /// It could not be reached or fell silent.
    Unreachable,
}

impl Target {
    /// A target without connections or load; changes of its load are told to `workload`.
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
        let known = Instant::now();
        let standing = workload.availability.known(key, known);
        let load = Mutex::new(Load { intake: Intake::new(standing), ..Load::default() });
        let (pool, engine) = (Pool::new(address), Engine::new(key, workload.clone()));
        Self {
            id,
            key,
            incarnation,
            service,
            address,
            domain,
            domain_key,
            slots,
            pool,
            engine,
            load,
            workload,
            probed: AtomicBool::new(false),
            known,
        }
    }

    /// Its stage, if it is an engine that has one.
    pub fn stage(&self) -> Option<Stage> {
        self.load().role.stage()
    }

    /// Takes in its stage and says whether it changed.
    pub fn set_stage(&self, stage: Option<Stage>) -> bool {
        self.load().role.set(stage)
    }

    /// Notes that its stage is about to change: it gets no new work until it has, or that time.
    pub fn expect_stage_change(&self, stage: Stage, now: Instant, until: Instant) {
        self.load().role.expect(stage, now, until);
    }

    /// Whether it is about to change its stage.
    pub fn is_changing_stage(&self, now: Instant) -> bool {
        self.load().role.is_changing(now)
    }

    /// For how long it has been about to have this stage, if it is.
    pub fn stage_change_age(&self, stage: Stage, now: Instant) -> Option<Duration> {
        self.load().role.stage_change_age(stage, now)
    }

    /// The stage that it has, or is about to have.
    pub fn next_stage(&self, now: Instant) -> Option<Stage> {
        self.load().role.next(now)
    }

    /// Requests of this process that it has.
    pub fn in_flight(&self) -> u32 {
        self.load().condition.reach.outstanding()
    }

    /// Books a request sent there; the booking ends with the guard.
    pub fn begin_request(self: &Arc<Self>) -> InFlightRequest {
        let now = self.time(Instant::now());
        self.load().condition.reach.request_started(now);
        InFlightRequest(self.clone())
    }

    /// Takes in what it said of its load.
    pub fn observe_load(&self, busy: ReportedLoad, now: Instant) {
        self.load().busy = Some((busy, now));
    }

    /// Takes in what an answer says of the target, and returns what changed; the request was sent at `sent`.
    pub fn observe_signals(&self, signals: &Signals, sent: Instant, now: Instant) -> Vec<Said> {
        let changes = self.load().intake.observe(signals, self.time(sent), self.time(now));
        for change in &changes {
            self.log_change(*change);
        }
        if !changes.is_empty() {
            self.workload.availability.note(self.key, &changes, now);
            self.workload.change();
        }
        changes
    }

    /// Takes in that it wants no requests from some other entry until then.
    pub fn note_pause_elsewhere(&self, until: Instant) {
        self.load().intake.note_pause_elsewhere(self.time(until));
    }

    /// Whether the target wants requests, by its own answers.
    pub fn check_open(&self, now: Instant) -> Result<(), Closed> {
        self.load().intake.standing.check_open(self.time(now))
    }

    /// The same right before a request is written, which then counts as sent: what the target says may come
    /// while a request waits for a permit, a place or a connection.
    pub fn take(&self, now: Instant) -> Result<(), Closed> {
        self.load().intake.standing.acquire(self.time(now))
    }

    /// Whether a request that was counted may still be sent, after a connection turned out to be closed.
    pub fn recheck(&self, now: Instant) -> Result<(), Closed> {
        self.load().intake.standing.recheck(self.time(now))
    }

    /// How long until it wants requests again after a pause, if it does not now.
    pub fn pause_remaining(&self, now: Instant) -> Option<Duration> {
        self.load().intake.standing.pause_remaining(self.time(now))
    }

    /// Whether it has said in an answer that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.load().intake.standing.is_leaving()
    }

    fn log_change(&self, change: Said) {
        let id = self.id.as_str();
        match change {
            Said::Limit(limit) => {
                log::info!(target: "fleet", target_id = id, limit:?; "limit of a target changed");
            }
            Said::Leaves => {
                log::info!(target: "fleet", target_id = id; "target says that it leaves");
            }
            Said::Pauses { span, is_new: true } => {
                log::info!(target: "fleet", target_id = id, ms = span.as_millis(); "target wants a pause");
            }
            Said::Pauses { is_new: false, .. } => {}
            Said::Resumes => {
                log::info!(target: "fleet", target_id = id; "target is back after a pause");
            }
            Said::Unreadable(signal) => {
                log::warn!(target: "fleet", target_id = id, signal; "signal not readable");
            }
        }
    }

    /// The limit that it named, in requests a second from all entries together.
    pub fn limit(&self) -> Option<Rate> {
        self.load().intake.standing.limit().rate()
    }

    /// When it was last sent a request that it answered with its limit, and when that answer came.
    pub fn limit_times(&self) -> (Instant, Instant) {
        let limit = self.load().intake.standing.limit();
        (self.known + limit.sent_at(), self.known + limit.received_at())
    }

    /// Whether its coordinators are to be told of its limit, or, if `is_outdated`, that it has none. They
    /// then count as told.
    pub fn begin_limit_report(&self, is_outdated: bool, now: Instant) -> bool {
        self.load().intake.is_limit_due(is_outdated, self.time(now))
    }

    /// Notes that there is no permit to send to it until then.
    pub fn close_until(&self, until: Instant, now: Instant) {
        self.load().intake.close_until(self.time(until), self.time(now));
    }

    /// Whether it named a limit and takes in less than is asked for: as one that could do more it is as
    /// good as away.
    pub fn is_limit_exhausted(&self, now: Instant) -> bool {
        self.load().intake.is_limit_exhausted(self.time(now))
    }

    /// How long until something may be sent to it, if there is no permit now, or it wants a pause.
    pub fn closed_for(&self, now: Instant) -> Option<Duration> {
        self.load().intake.closed_for(self.time(now))
    }

    /// Takes in how an exchange with it ended.
    pub fn record_health(self: &Arc<Self>, health: Health, now: Instant) {
        self.load().condition.judge(health, self.time(now));
        if health == Health::Unreachable {
            self.probe_until_reached();
        }
    }

    /// Notes that a piece of an answer came from it.
    pub fn record_activity(&self, now: Instant) {
        self.load().condition.reach.response_received(self.time(now));
    }

    /// Takes in how long KV cache was on its way.
    pub fn record_transfer(&self, way: TransferDirection, took: Duration, now: Instant) {
        let now = self.time(now);
        let mut load = self.load();
        match way {
            TransferDirection::Out => load.handed_out.sample(took, now),
            TransferDirection::In => load.taken_in.sample(took, now),
        }
    }

    /// How much longer than usual KV cache is on its way.
    pub fn transfer_excess(&self, way: TransferDirection, now: Instant) -> Duration {
        let (load, now) = (self.load(), self.time(now));
        match way {
            TransferDirection::Out => load.handed_out.excess(now),
            TransferDirection::In => load.taken_in.excess(now),
        }
    }

    /// Whether KV cache for it waits so long that it is about to refuse more: transfers that would
    /// wait for two seconds are not begun. It lives and answers, but as one that writes it is as good
    /// as away.
    pub fn has_transfer_backlog(&self, now: Instant) -> bool {
        self.transfer_excess(TransferDirection::In, now) >= CHOKED
    }

    /// Tries to connect, after an exchange broke off: a single connection may have been reset, or
    /// the target may have crashed.
    pub async fn check_listening(self: &Arc<Self>) -> bool {
        let Err(error) = crate::targets::pool::connect(self.address, CHECK).await else {
            return true;
        };
        log::info!(target: "fleet", target_id = self.id.as_str(), error:% = error;
            "target does not listen");
        self.record_health(Health::Unreachable, Instant::now());
        false
    }

    /// Notes that what answers at its address says that it is not this target, or not of this stage.
    ///
    /// A target that crashed has been replaced at its address by another, and the list of targets
    /// does not say so yet: it lapses after seconds, or the log is away. Connections succeed there,
    /// so nothing else would keep requests from being sent and refused, each at the price of one of
    /// the few sendings that a request may have.
    pub fn mark_misdirected(&self, now: Instant) {
        self.load().condition.misdirected(self.time(now));
    }

    /// Notes that the target itself has told of itself again.
    pub fn renewed(&self) {
        self.load().condition.renewed();
    }

    /// Whether it could lately not be reached, is not at its address, wants no requests now, or has said
    /// nothing for `patience` though it has work: others go first.
    pub fn is_unavailable(&self, patience: Duration, now: Instant) -> bool {
        let (load, now) = (self.load(), self.time(now));
        load.intake.is_away(now) || load.condition.is_away(patience, now)
    }

    /// Tries to connect to it, after pauses, until that succeeds or it is gone.
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
                let begun = target.load().condition.reach.begin_probe(now);
                if begun && target.check_listening().await {
                    target.record_activity(Instant::now());
                }
            }
            if let Some(target) = target.upgrade() {
                target.probed.store(false, Ordering::Relaxed);
            }
        });
    }

    /// When it is to be tried again, if it could not be reached.
    fn probe_due(&self) -> Option<Instant> {
        self.load().condition.reach.probe_due().map(|due| self.known + due)
    }

    /// How full it is, as a share of its slots: what this process has there or what it said, and
    /// more if it tends to fail.
    pub fn utilization(&self, now: Instant) -> f64 {
        let load = self.load();
        let heard = match load.busy {
            Some((busy, at)) if now.duration_since(at) < FRESH => busy.running + busy.waiting,
            _ => 0,
        };
        let requests = f64::from(load.condition.reach.outstanding().max(heard));
        requests / f64::from(self.slots.max(1)) + load.condition.weight()
    }

    fn time(&self, now: Instant) -> policy::Time {
        now.saturating_duration_since(self.known)
    }

    fn load(&self) -> MutexGuard<'_, Load> {
        self.load.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that is booked at a target.
#[derive(Debug)]
pub struct InFlightRequest(Arc<Target>);

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.0.load().condition.reach.request_ended();
    }
}
