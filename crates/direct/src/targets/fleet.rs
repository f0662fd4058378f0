//! The list of targets, built from the records that they write to the log.
//!
//! Records are ordered by their offset: one that arrives late never overrides a newer one, and a
//! target that announced that it is leaving stays so for that incarnation, whatever an older record
//! contains. A target may restart under its id. Its new incarnation replaces the previous one with
//! all that was known about it (stage, cached parts, connections, pauses, announced changes), and a
//! previous incarnation never returns.

use crate::codec::{Incarnation, SoftwareVersion, TargetId};
use crate::config::route::{ServiceName, Stage};
use crate::targets::target::{self, Target};
use crate::targets::workload::Workload;
use compact_str::CompactString;
use plat::epoch;
use policy::Hash;
use policy::versions::{History, MEMORY, Seen, Version};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// An offset in the log, see [`plat::Offset`].
pub type Offset = plat::Offset;

/// What a target writes about itself to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// The service it belongs to.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: CompactString,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The stage, if it is an engine that has one.
    pub stage: Option<Stage>,
    /// The incarnation, if the target reports it: the start time in milliseconds since 1970 by its
    /// own clock. A target that restarts under its id has lost its earlier state.
    pub incarnation: Option<Incarnation>,
    /// The version of its software, if the target reports it.
    pub software: Option<SoftwareVersion>,
    /// Counts the records of one incarnation; a lower one is older.
    pub sequence: u64,
}

/// One change in the list of targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetUpdate {
    /// A target wrote or renewed its record.
    Registered(TargetId, TargetRecord),
    /// Its record was removed.
    Removed(TargetId),
    /// Its record can't be decoded: something else wrote it, so it carries no information about the
    /// target.
    Unreadable(TargetId),
}

/// The state of the log while the list is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogState {
    /// Calls to it succeed.
    Healthy,
    /// Calls to it failed recently.
    Degraded,
    /// It was restored from an older copy: records that were written since then are missing.
    Restored,
}

/// How long targets stay in use after the records of all targets of their service disappeared while
/// the log was degraded.
///
/// Records expire when the store can't accept renewals, and return within two seconds after it can
/// again. Without the wait, one outage would empty the list while all targets are alive. That all
/// have really left is unlikely, and there is no other target to send work to.
const ALL_EXPIRED_GRACE: Duration = Duration::from_millis(2_500);

/// Like [`ALL_EXPIRED_GRACE`], where many records disappeared while the log was degraded. Shorter,
/// because targets that really left stop accepting work two seconds after that, and a read of the
/// list is half a second old.
const MANY_EXPIRED_GRACE: Duration = Duration::from_millis(1_400);

/// Like [`ALL_EXPIRED_GRACE`], where only the number of records that disappeared suggests a failure
/// of the store.
const HEALTHY_LOG_GRACE: Duration = Duration::from_millis(1_000);

/// The share of one service's targets whose records have to disappear in one read for it to look
/// like a failure of the store and not of the targets: crashes observed so far affected a quarter.
const MANY_EXPIRED_SHARE: f64 = 0.34;

/// One target in the list.
#[derive(Debug, Clone)]
struct Member {
    target: Arc<Target>,
    incarnation: Option<Incarnation>,
    sequence: u64,
    offset: Offset,
    leaving: bool,
    /// When it is removed, if its record expired along with many others.
    expires: Option<Instant>,
}

impl Member {
    /// Applies a newer record of the same incarnation, and returns whether anything changed.
    fn update(&mut self, id: &TargetId, record: &TargetRecord, offset: Offset) -> bool {
        let leaves = record.leaving && !self.leaving;
        if leaves {
            log::info!(target: "fleet", target_id = id.as_str(), offset; "target leaves");
        }
        self.target.record_renewal();
        let stage_changed = self.target.set_stage(record.stage);
        if stage_changed {
            log::info!(target: "fleet", target_id = id.as_str(), offset, stage:? = record.stage;
                "target changed stage");
        }
        let was_expiring = self.expires.take().is_some();
        self.offset = offset;
        self.sequence = record.sequence;
        self.leaving |= record.leaving;
        leaves || stage_changed || was_expiring
    }
}

/// Whether `incarnation` precedes `than`. A record without an incarnation, for a target that
/// reports one, was not written by it.
fn is_earlier(incarnation: Option<Incarnation>, than: Option<Incarnation>) -> bool {
    match (incarnation, than) {
        (Some(incarnation), Some(than)) => incarnation < than,
        (None, Some(_)) => true,
        (_, None) => false,
    }
}

/// The last known state of a target that was removed.
#[derive(Debug, Clone, Copy)]
struct Removed {
    offset: Offset,
    incarnation: Option<Incarnation>,
    sequence: u64,
}

/// What an entry knows of the software versions that targets had lately.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionHistory {
    /// For how long all versions are known, [`MEMORY`] at most.
    pub span: Duration,
    /// The offset up to which the list of targets was seen.
    pub end: Offset,
    /// The versions of all services.
    pub rows: Vec<VersionRow>,
}

/// A software version that targets of a service had lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionRow {
    /// The hash of the service's name.
    pub service: Hash,
    /// The version.
    pub seen: Seen,
}

impl VersionRow {
    /// Whether it is of the same service and version.
    pub fn is_same(&self, other: &Self) -> bool {
        self.service == other.service && self.seen.version == other.seen.version
    }
}

/// The targets of all services.
#[derive(Debug, Default)]
pub struct Fleet {
    members: HashMap<TargetId, Member>,
    /// The ids of members by the keys of their incarnations.
    ids: HashMap<Hash, TargetId>,
    /// Ids that were removed, since older records of them may arrive late.
    removed: HashMap<TargetId, Removed>,
    usable: HashMap<ServiceName, Arc<[Arc<Target>]>>,
    engines: Arc<[Arc<Target>]>,
    /// The offset after the last record that changed something.
    change_end: Offset,
    /// Offsets of records that changed something and were not yet forwarded.
    changed_offsets: Vec<Offset>,
    workload: Arc<Workload>,
    /// When the first member whose record expired is removed.
    next_expiry: Option<Instant>,
    /// The software versions of each service's targets, by the hash of its name.
    histories: HashMap<Hash, History>,
    /// The services, by the hashes of their names, of which a second version has become known and
    /// that were not yet taken.
    mixed: Vec<Hash>,
    /// When streams may begin at versions that have just become known, see
    /// [`policy::versions::SETTLE_DELAY`]; in order of time.
    unsettled: VecDeque<Instant>,
    /// From when on the histories know all versions; none if there were no targets before.
    known_from: Option<policy::Time>,
    /// Whether a whole list was applied.
    has_list: bool,
    /// From which offset on all changes of the list were seen.
    list_start: Option<Offset>,
    /// The start of the times in the histories.
    started: Option<Instant>,
    /// The history that an entry last wrote to the log, until it was merged.
    logged_history: Option<VersionHistory>,
    /// Announced stage changes of engines that are not listed yet, each with its deadline.
    expected: HashMap<TargetId, (Stage, Instant)>,
}

/// Upper bound on the announced stage changes that are kept for engines that are not listed.
const MAX_EXPECTED: usize = 4_096;

/// Upper bound on the removed ids that are kept; records of older ones can't arrive late any more.
const MAX_REMOVED: usize = 4_096;

impl Fleet {
    /// Creates an empty list. Changes in the targets' load are reported to `workload`.
    pub fn new(workload: Arc<Workload>) -> Self {
        Self { workload, ..Self::default() }
    }

    /// Starts the history of software versions now. `is_first` is set if no target was used before.
    pub fn begin_history(&mut self, is_first: bool, now: Instant) {
        self.started = Some(now);
        self.known_from = (!is_first).then_some(self.time(now));
    }

    /// Returns for how long all software versions are known, [`MEMORY`] at most.
    pub fn history_span(&self, now: Instant) -> Duration {
        let now = self.time(now);
        self.known_from.map_or(MEMORY, |from| now.saturating_sub(from).min(MEMORY))
    }

    /// Returns whether targets of a service had several software versions in the last `span`.
    pub fn has_several_versions(&self, service: &str, span: Duration, now: Instant) -> bool {
        let history = self.histories.get(&policy::hash(service));
        history.is_some_and(|history| history.is_mixed(span, self.time(now)))
    }

    /// Returns the only software version that targets of a service had in the last `span`, if that
    /// is known.
    pub fn sole_version(&self, service: &str, span: Duration, now: Instant) -> Option<Version> {
        self.histories.get(&policy::hash(service))?.sole(span, self.time(now))
    }

    /// Returns what is known of the software versions of all services, by the list up to `end`.
    pub fn version_history(&self, end: Offset, now: Instant) -> VersionHistory {
        let time = self.time(now);
        let rows = self.histories.iter().flat_map(|(service, history)| {
            history.seen(time).map(|seen| VersionRow { service: *service, seen })
        });
        VersionHistory { span: self.history_span(now), end, rows: rows.collect() }
    }

    /// Restarts the history now: changes of the list were missed. The versions that are known stay.
    pub fn restart_history(&mut self, now: Instant) {
        (self.known_from, self.list_start) = (Some(self.time(now)), None);
        for history in self.histories.values_mut() {
            history.set_known_from(self.known_from);
        }
    }

    /// Records from which offset on all changes of the list are seen here. Only the first call has an
    /// effect.
    pub fn begin_list(&mut self, offset: Offset) {
        self.list_start.get_or_insert(offset);
    }

    /// Merges the history of another entry, unless there is a gap between its list and this one.
    /// Returns whether it reaches further back than what was known.
    pub fn inherit_versions(&mut self, inherited: &VersionHistory, now: Instant) -> bool {
        let is_joined = self.list_start.is_some_and(|start| start <= inherited.end);
        if !is_joined || inherited.span <= self.history_span(now) {
            return false;
        }
        let time = self.time(now);
        self.known_from = Some(time.saturating_sub(inherited.span));
        for VersionRow { service, seen } in &inherited.rows {
            let history = self.histories.entry(*service);
            let history = history.or_insert_with(|| History::new(self.known_from));
            if history.inherit(*seen, time) {
                self.mixed.push(*service);
            }
        }
        for history in self.histories.values_mut() {
            history.set_known_from(self.known_from);
        }
        self.let_streams_begin(now);
        true
    }

    /// Keeps a history that an entry wrote to the log, if it reaches further than the one kept, or as far
    /// and is newer.
    pub fn offer_logged_history(&mut self, history: VersionHistory) {
        let rank = |history: &VersionHistory| (history.span, history.end);
        if self.logged_history.as_ref().is_none_or(|kept| rank(kept) < rank(&history)) {
            self.logged_history = Some(history);
        }
    }

    /// Takes the history that was last written to the log, and from which offset on all changes of the
    /// list were seen here, if both are known.
    pub fn take_logged_history(&mut self) -> Option<(VersionHistory, Offset)> {
        let start = self.list_start?;
        Some((self.logged_history.take()?, start))
    }

    /// Lets streams begin at all versions that are listed: at the first start of a system no entry
    /// relies on an earlier list.
    fn settle_all(&mut self, now: Instant) {
        let time = self.time(now);
        self.histories.values_mut().for_each(|history| history.settle(time));
        self.let_streams_begin(now);
    }

    /// Lets streams begin at the targets whose versions have been known for long enough.
    fn let_streams_begin(&mut self, now: Instant) {
        let time = self.time(now);
        for member in self.members.values() {
            let target = &member.target;
            let history = self.histories.get(&policy::hash(&target.service));
            if history.is_some_and(|it| it.unsettled_for(target.software_key, time).is_zero()) {
                target.let_streams_begin();
            }
        }
    }

    /// Takes the services, by the hashes of their names, of which a second software version has become
    /// known since the last call.
    pub fn take_mixed(&mut self) -> Vec<Hash> {
        std::mem::take(&mut self.mixed)
    }

    /// Returns a time that starts with [`MEMORY`], as inherited histories reach back before the start.
    fn time(&self, now: Instant) -> policy::Time {
        let since = |started| now.saturating_duration_since(started);
        MEMORY + self.started.map_or(Duration::ZERO, since)
    }

    /// Applies the result of one read of the list, in the log's order.
    pub fn apply(
        &mut self,
        updates: Vec<(Offset, FleetUpdate)>,
        now: Instant,
        log_state: LogState,
    ) {
        let before = self.changed_offsets.len();
        let mut disappeared = Vec::new();
        for (offset, update) in updates {
            match update {
                FleetUpdate::Registered(id, record) => {
                    disappeared.retain(|(other, _)| *other != id);
                    self.apply_record(id, record, offset);
                }
                FleetUpdate::Removed(id) => disappeared.push((id, offset)),
                FleetUpdate::Unreadable(_) => {}
            }
        }
        let grace_periods = self.grace_periods(&disappeared, log_state);
        for (id, offset) in disappeared {
            let service = self.members.get(&id).map(|member| member.target.service.clone());
            let grace = service.and_then(|service| grace_periods.get(&service).copied());
            self.remove(&id, offset, grace.map(|grace| now + grace));
        }
        self.expire(now);
        // Most reads contain only renewals. A rebuilt list would have everything derived from it
        // rebuilt as well, which used all the processor time of a small VM with 3,000 targets.
        if self.changed_offsets.len() > before {
            self.rebuild();
        }
    }

    /// Replaces the list with a complete one, read at `end`. Targets missing from it are removed.
    pub fn replace(
        &mut self,
        all: Vec<(Offset, FleetUpdate)>,
        end: Offset,
        now: Instant,
        log_state: LogState,
    ) {
        let listed: std::collections::HashSet<TargetId> = all
            .iter()
            .filter_map(|(_, update)| match update {
                FleetUpdate::Registered(id, _) | FleetUpdate::Unreadable(id) => Some(id.clone()),
                FleetUpdate::Removed(_) => None,
            })
            .collect();
        let missing = self.members.keys().filter(|id| !listed.contains(*id));
        // They were removed before the end: a change at the end would hide the record that is
        // written there next.
        let at = if epoch::index(end) > 0 { end - 1 } else { end };
        let missing: Vec<_> = missing.map(|id| (at, FleetUpdate::Removed(id.clone()))).collect();
        self.has_list = true;
        let is_first = self.known_from.is_none() && self.histories.is_empty();
        self.apply(all.into_iter().chain(missing).collect(), now, log_state);
        if is_first {
            self.settle_all(now);
        }
        if log_state == LogState::Restored {
            // The other entries have to read it as well, though nothing may have changed.
            self.change_end = self.change_end.max(end);
        }
    }

    /// Stops new work for targets that announced in a response that they are leaving.
    pub fn take_departures(&mut self) {
        let departed = self.workload.availability.take_departed();
        let mut any = false;
        for key in departed {
            let member = self.ids.get(&key).and_then(|id| self.members.get_mut(id));
            if let Some(member) = member.filter(|member| !member.leaving) {
                member.leaving = true;
                any = true;
            }
        }
        if any {
            self.rebuild();
        }
    }

    /// Removes targets whose expired records did not return in time.
    pub fn expire(&mut self, now: Instant) {
        let due = self.unsettled.partition_point(|at| *at <= now);
        if due > 0 {
            self.unsettled.drain(..due);
            self.let_streams_begin(now);
        }
        if self.next_expiry.is_none_or(|first| now < first) {
            return;
        }
        let has_expired = |member: &Member| member.expires.is_some_and(|at| at <= now);
        let ended: Vec<_> =
            self.members.iter().filter(|(_, m)| has_expired(m)).map(|(id, _)| id.clone()).collect();
        self.next_expiry =
            self.members.values().filter_map(|member| member.expires).filter(|at| *at > now).min();
        if ended.is_empty() {
            return;
        }
        for id in ended {
            log::info!(target: "fleet", target_id = id.as_str(); "target lapsed");
            self.drop_member(&id);
        }
        self.rebuild();
    }

    /// The targets of a service that may get new work.
    pub fn usable(&self, service: &str) -> Arc<[Arc<Target>]> {
        self.usable.get(service).cloned().unwrap_or_default()
    }

    /// The engines of all services that may get new work.
    pub fn engines(&self) -> Arc<[Arc<Target>]> {
        self.engines.clone()
    }

    /// A target by its id, if it may get new work.
    pub fn get(&self, id: &str) -> Option<&Arc<Target>> {
        self.members.get(id).filter(|member| !member.leaving).map(|member| &member.target)
    }

    /// A target by the key of its incarnation, if it may get new work.
    pub fn by_key(&self, key: Hash) -> Option<&Arc<Target>> {
        self.get(self.ids.get(&key)?)
    }

    /// Records that an engine is about to change its stage, until `until` at the latest. The change
    /// is kept for an engine that isn't listed yet: a process that starts may read the announcement
    /// before the list.
    pub fn expect_stage_change(
        &mut self,
        id: TargetId,
        stage: Stage,
        now: Instant,
        until: Instant,
    ) {
        match self.members.get(&id) {
            Some(member) => member.target.expect_stage_change(stage, now, until),
            None => {
                if self.expected.len() >= MAX_EXPECTED {
                    self.expected.clear();
                }
                self.expected.insert(id, (stage, until));
            }
        }
    }

    /// The offset after the last record that changed something.
    pub fn change_end(&self) -> Offset {
        self.change_end
    }

    /// Records that all changes before an offset were applied.
    pub fn advance(&mut self, change_end: Offset) {
        self.change_end = self.change_end.max(change_end);
    }

    /// Takes the offsets of the records that changed something since the last call.
    pub fn take_changed(&mut self) -> Vec<Offset> {
        std::mem::take(&mut self.changed_offsets)
    }

    fn record_change(&mut self, offset: Offset) {
        self.change_end = self.change_end.max(offset + 1);
        self.changed_offsets.push(offset);
    }

    /// The number of targets, including those that are leaving.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the whole list is known; until then there may be more targets.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn apply_record(&mut self, id: TargetId, record: TargetRecord, offset: Offset) {
        let removed = self.removed.get(&id);
        let outdated = |removed: &Removed| {
            // A log restored from an older copy contains records of targets that were already
            // removed.
            let restored = epoch::epoch(removed.offset) < epoch::epoch(offset);
            let is_known =
                record.incarnation == removed.incarnation && record.sequence <= removed.sequence;
            removed.offset >= offset
                || is_earlier(record.incarnation, removed.incarnation)
                || (restored && is_known)
        };
        if removed.is_some_and(outdated) {
            return;
        }
        let Some(member) = self.members.get_mut(&id) else {
            self.add(id, record, offset);
            return;
        };
        if offset < member.offset || is_earlier(record.incarnation, member.incarnation) {
            return;
        }
        if is_earlier(member.incarnation, record.incarnation) {
            log::info!(target: "fleet", target_id = id.as_str(), offset,
                born:? = record.incarnation;
                "target started again");
            self.add(id, record, offset);
            return;
        }
        if record.sequence < member.sequence {
            return;
        }
        if record.software != member.target.software {
            log::info!(target: "fleet", target_id = id.as_str(), offset,
                software = record.software.as_deref().unwrap_or_default();
                "target started again with other software");
            self.add(id, record, offset);
            return;
        }
        if member.update(&id, &record, offset) {
            self.record_change(offset);
        }
    }

    /// Adds a target, or a new incarnation of one.
    fn add(&mut self, id: TargetId, record: TargetRecord, offset: Offset) {
        let TargetRecord {
            service,
            address,
            domain,
            slots,
            leaving,
            stage,
            incarnation,
            software,
            sequence,
        } = record;
        self.record_change(offset);
        log::info!(target: "fleet", target_id = id.as_str(), service = service.as_str(),
            address:% = address, leaving, stage:? = stage, born:? = incarnation,
            software = software.as_deref().unwrap_or_default(), offset;
            "target seen");
        let identity = target::Identity { id: id.clone(), incarnation };
        let target = Target::new(identity, service, address, domain, slots, self.workload.clone());
        let target = target.with_software(software);
        target.set_stage(stage);
        if let Some((stage, until)) = self.expected.remove(&id) {
            target.expect_stage_change(stage, Instant::now(), until);
        }
        let target = Arc::new(target);
        let leaving = leaving || target.is_leaving();
        self.drop_member(&id);
        self.record_version(&target);
        self.ids.insert(target.key, id.clone());
        self.members
            .insert(id, Member { target, incarnation, sequence, offset, leaving, expires: None });
    }

    fn record_version(&mut self, target: &Target) {
        let at = Instant::now();
        let (now, known_from) = (self.time(at), self.known_from);
        let service = policy::hash(&target.service);
        let history = self.histories.entry(service);
        let history = history.or_insert_with(|| History::new(known_from));
        if history.add(target.software_key, now) {
            self.mixed.push(service);
        }
        let unsettled_for = history.unsettled_for(target.software_key, now);
        if unsettled_for.is_zero() {
            target.let_streams_begin();
        } else {
            self.unsettled.push_back(at + unsettled_for);
        }
    }

    fn drop_member(&mut self, id: &TargetId) {
        if let Some(member) = self.members.remove(id) {
            self.ids.remove(&member.target.key);
            let now = self.time(Instant::now());
            if let Some(history) = self.histories.get_mut(&policy::hash(&member.target.service)) {
                history.remove(member.target.software_key, now);
            }
        }
    }

    fn remove(&mut self, id: &TargetId, offset: Offset, expires: Option<Instant>) {
        let Some(member) = self.members.get_mut(id) else { return };
        if offset < member.offset {
            return;
        }
        let Member { incarnation, sequence, .. } = *member;
        if let Some(at) = expires {
            let at = *member.expires.get_or_insert(at);
            self.next_expiry = Some(self.next_expiry.map_or(at, |first| first.min(at)));
            self.record_change(offset);
            return;
        }
        self.record_change(offset);
        log::info!(target: "fleet", target_id = id.as_str(), offset; "target gone");
        self.drop_member(id);
        if self.removed.len() >= MAX_REMOVED {
            self.removed.clear();
        }
        self.removed.insert(id.clone(), Removed { offset, incarnation, sequence });
    }

    /// The services of which so many records disappeared that it looks like a failure of the store,
    /// each with how long its targets stay in use.
    fn grace_periods(
        &self,
        disappeared: &[(TargetId, Offset)],
        log_state: LogState,
    ) -> HashMap<ServiceName, Duration> {
        let mut lost: HashMap<&ServiceName, usize> = HashMap::new();
        for (id, _) in disappeared {
            if let Some(member) = self.members.get(id).filter(|member| !member.leaving) {
                *lost.entry(&member.target.service).or_default() += 1;
            }
        }
        let grace = |service: &ServiceName, lost: usize| {
            let is_staying =
                |member: &&Member| !member.leaving && member.target.service == *service;
            let all = self.members.values().filter(is_staying).count();
            let float = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
            let many = lost > 1 && float(lost) > float(all) * MANY_EXPIRED_SHARE;
            match (log_state, many) {
                (LogState::Restored, _) => Some(ALL_EXPIRED_GRACE),
                (LogState::Degraded, true) if lost == all => Some(ALL_EXPIRED_GRACE),
                (LogState::Degraded, true) => Some(MANY_EXPIRED_GRACE),
                (LogState::Degraded, false) if lost == all => Some(MANY_EXPIRED_GRACE),
                (LogState::Healthy, true) => Some(HEALTHY_LOG_GRACE),
                (LogState::Degraded | LogState::Healthy, false) => None,
            }
        };
        let graces = lost
            .into_iter()
            .filter_map(|(service, lost)| Some((service.clone(), grace(service, lost)?)));
        graces.collect()
    }

    fn rebuild(&mut self) {
        let mut usable: HashMap<ServiceName, Vec<Arc<Target>>> = HashMap::new();
        for member in self.members.values().filter(|member| !member.leaving) {
            usable.entry(member.target.service.clone()).or_default().push(member.target.clone());
        }
        let engines = self.members.values().filter(|member| !member.leaving);
        let engines = engines.filter(|member| member.target.stage().is_some());
        self.engines = engines.map(|member| member.target.clone()).collect();
        self.usable = usable
            .into_iter()
            .map(|(service, mut targets)| {
                targets.sort_by(|a, b| a.id.cmp(&b.id));
                (service, targets.into())
            })
            .collect();
    }
}
