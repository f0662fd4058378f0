//! Which targets there are, folded from what they tell of themselves.
//!
//! Records are taken by their offset: one that arrives late never undoes a newer one, and a target
//! that said it leaves stays leaving in that life, whatever an older record says. A target may start
//! again under its id: its new life replaces the former one with all that was believed of it (stage,
//! kept parts, connections, pauses, announced changes), and a former life never comes back.

use crate::codec::{Incarnation, TargetId};
use crate::config::route::{ServiceName, Stage};
use crate::targets::target::{self, Target};
use crate::targets::workload::Workload;
use compact_str::CompactString;
use plat::epoch;
use policy::Hash;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A place in the log, see [`plat::Offset`].
pub type Offset = plat::Offset;

/// What a target tells of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// The service it belongs to.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: CompactString,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it leaves.
    pub leaving: bool,
    /// Its stage, if it is an engine that has one.
    pub stage: Option<Stage>,
    /// When this life of it began, in milliseconds since 1970 by its own clock, if it says so: it may
    /// start again under its id, and then knows nothing of before.
    pub incarnation: Option<Incarnation>,
    /// Counts the records of one life; a lower one is older.
    pub sequence: u64,
}

/// One change in the list of targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetUpdate {
    /// A target tells of itself.
    Registered(TargetId, TargetRecord),
    /// Its entry was removed.
    Removed(TargetId),
    /// Its entry can't be read: another writer wrote it, and nothing is known by it.
    Unreadable(TargetId),
}

/// How the log does while the list is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogState {
    /// It answers.
    Healthy,
    /// Calls to it have lately failed.
    Degraded,
    /// It has come back from an older copy: entries that were written since are missing.
    Restored,
}

/// How long targets stay in use after the entries of all targets of their service vanished, with
/// the log lately in trouble.
///
/// Entries lapse when the store can't take renewals, and come back within two seconds after it
/// can. Without the wait, one outage would empty the list while all targets live. That all have
/// really left is unlikely, and there is no other to send work to.
const ALL_LAPSE: Duration = Duration::from_millis(2_500);

/// The same where many vanished, and the log was lately in trouble. Shorter, because targets that
/// really left stop taking work two seconds after that, and a read of the list is half a second
/// old.
const LAPSE: Duration = Duration::from_millis(1_400);

/// The same where only the number of vanished entries speaks for a lapse.
const DOUBT: Duration = Duration::from_millis(1_000);

/// Of one service, the share of targets whose entries have to vanish in one reading for it to look
/// like a lapse in the store and not like targets that went: crashes seen so far took a quarter.
const LAPSE_SHARE: f64 = 0.34;

/// One target as the list has it.
#[derive(Debug, Clone)]
struct Member {
    target: Arc<Target>,
    incarnation: Option<Incarnation>,
    sequence: u64,
    offset: Offset,
    leaving: bool,
    /// When it is taken out, if its entry vanished in a lapse.
    lapses: Option<Instant>,
}

impl Member {
    /// Takes in a newer record of the same life, and says whether anything changed.
    fn update(&mut self, id: &TargetId, sighting: &TargetRecord, offset: Offset) -> bool {
        let leaves = sighting.leaving && !self.leaving;
        if leaves {
            log::info!(target: "fleet", target_id = id.as_str(), offset; "target leaves");
        }
        self.target.renewed();
        let staged = self.target.set_stage(sighting.stage);
        if staged {
            log::info!(target: "fleet", target_id = id.as_str(), offset, stage:? = sighting.stage;
                "target changed stage");
        }
        let lapsed = self.lapses.take().is_some();
        self.offset = offset;
        self.sequence = sighting.sequence;
        self.leaving |= sighting.leaving;
        leaves || staged || lapsed
    }
}

/// Whether a record of the life that began at `incarnation` is of a life before `than`. One that does not
/// tell its life, of a target that does, was not written by it.
fn is_former(incarnation: Option<Incarnation>, than: Option<Incarnation>) -> bool {
    match (incarnation, than) {
        (Some(incarnation), Some(than)) => incarnation < than,
        (None, Some(_)) => true,
        (_, None) => false,
    }
}

/// The last that is known of a target that was removed.
#[derive(Debug, Clone, Copy)]
struct Removed {
    offset: Offset,
    incarnation: Option<Incarnation>,
    sequence: u64,
}

/// The targets of all services.
#[derive(Debug, Default)]
pub struct Fleet {
    members: HashMap<TargetId, Member>,
    /// The ids of members by the keys of their lives.
    ids: HashMap<Hash, TargetId>,
    /// Ids that were removed: older records of them come late.
    removed: HashMap<TargetId, Removed>,
    usable: HashMap<ServiceName, Arc<[Arc<Target>]>>,
    engines: Arc<[Arc<Target>]>,
    /// The offset after the last record that changed something.
    news: Offset,
    /// Records that changed something and were not yet passed on.
    changed_by: Vec<Offset>,
    workload: Arc<Workload>,
    /// When the first entry that vanished in a lapse is taken out.
    lapses: Option<Instant>,
    /// Changes that were announced of engines that are not listed yet, with when they are to have ended.
    expected: HashMap<TargetId, (Stage, Instant)>,
}

/// Announced changes that are remembered of engines that are not listed.
const MAX_EXPECTED: usize = 4_096;

/// Removed ids that are remembered; older ones can't come late any more.
const MAX_REMOVED: usize = 4_096;

impl Fleet {
    /// An empty list; changes of the targets' load are told to `workload`.
    pub fn new(workload: Arc<Workload>) -> Self {
        Self { workload, ..Self::default() }
    }

    /// Takes in one reading of the list, in the log's order.
    pub fn apply(&mut self, news: Vec<(Offset, FleetUpdate)>, now: Instant, condition: LogState) {
        let before = self.changed_by.len();
        let mut gone = Vec::new();
        for (offset, news) in news {
            match news {
                FleetUpdate::Registered(id, sighting) => {
                    gone.retain(|(other, _)| *other != id);
                    self.see(id, sighting, offset);
                }
                FleetUpdate::Removed(id) => gone.push((id, offset)),
                FleetUpdate::Unreadable(_) => {}
            }
        }
        let lapses = self.lapses(&gone, condition);
        for (id, offset) in gone {
            let service = self.members.get(&id).map(|member| member.target.service.clone());
            let wait = service.and_then(|service| lapses.get(&service).copied());
            self.remove(&id, offset, wait.map(|wait| now + wait));
        }
        self.expire(now);
        // Most readings hold only signs of life; a list made anew would have all that hangs on it made
        // anew as well, which took a small VM with 3,000 targets all of its time.
        if self.changed_by.len() > before {
            self.publish();
        }
    }

    /// Replaces the list by a complete one, read at `end`; targets that it lacks are gone.
    pub fn replace(
        &mut self,
        all: Vec<(Offset, FleetUpdate)>,
        end: Offset,
        now: Instant,
        condition: LogState,
    ) {
        let listed: std::collections::HashSet<TargetId> = all
            .iter()
            .filter_map(|(_, news)| match news {
                FleetUpdate::Registered(id, _) | FleetUpdate::Unreadable(id) => Some(id.clone()),
                FleetUpdate::Removed(_) => None,
            })
            .collect();
        let missing = self.members.keys().filter(|id| !listed.contains(*id));
        let missing: Vec<_> = missing.map(|id| (end, FleetUpdate::Removed(id.clone()))).collect();
        self.apply(all.into_iter().chain(missing).collect(), now, condition);
        if condition == LogState::Restored {
            // The others have to read it as well, though nothing may have changed.
            self.news = self.news.max(end);
        }
    }

    /// Keeps new work away from targets that have said in an answer that they leave.
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
            self.publish();
        }
    }

    /// Takes out targets whose lapsed entries have not come back.
    pub fn expire(&mut self, now: Instant) {
        if self.lapses.is_none_or(|first| now < first) {
            return;
        }
        let lapsed = |member: &Member| member.lapses.is_some_and(|at| at <= now);
        let ended: Vec<_> =
            self.members.iter().filter(|(_, m)| lapsed(m)).map(|(id, _)| id.clone()).collect();
        self.lapses =
            self.members.values().filter_map(|member| member.lapses).filter(|at| *at > now).min();
        if ended.is_empty() {
            return;
        }
        for id in ended {
            log::info!(target: "fleet", target_id = id.as_str(); "target lapsed");
            self.drop_member(&id);
        }
        self.publish();
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

    /// A target by the key of its life, if it may get new work.
    pub fn by_key(&self, key: Hash) -> Option<&Arc<Target>> {
        self.get(self.ids.get(&key)?)
    }

    /// Notes that an engine is about to change its stage until then. One that isn't listed yet is remembered:
    /// a process that starts may read the announcement before the list.
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
        self.news
    }

    /// The offsets of the records that changed something since this was last asked.
    pub fn take_changed(&mut self) -> Vec<Offset> {
        std::mem::take(&mut self.changed_by)
    }

    fn note(&mut self, offset: Offset) {
        self.news = self.news.max(offset + 1);
        self.changed_by.push(offset);
    }

    /// How many targets there are, those that leave included.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn see(&mut self, id: TargetId, sighting: TargetRecord, offset: Offset) {
        let removed = self.removed.get(&id);
        let outdated = |removed: &Removed| {
            // A log that came back older has records of targets that were gone already.
            let restored = epoch::epoch(removed.offset) < epoch::epoch(offset);
            let known = sighting.incarnation == removed.incarnation
                && sighting.sequence <= removed.sequence;
            removed.offset >= offset
                || is_former(sighting.incarnation, removed.incarnation)
                || (restored && known)
        };
        if removed.is_some_and(outdated) {
            return;
        }
        let Some(member) = self.members.get_mut(&id) else {
            self.add(id, sighting, offset);
            return;
        };
        if offset < member.offset || is_former(sighting.incarnation, member.incarnation) {
            return;
        }
        if is_former(member.incarnation, sighting.incarnation) {
            log::info!(target: "fleet", target_id = id.as_str(), offset, born:? = sighting.incarnation;
                "target started again");
            self.add(id, sighting, offset);
            return;
        }
        if sighting.sequence < member.sequence {
            return;
        }
        if member.update(&id, &sighting, offset) {
            self.note(offset);
        }
    }

    /// Adds a target, or the new life of one.
    fn add(&mut self, id: TargetId, sighting: TargetRecord, offset: Offset) {
        let TargetRecord { service, address, domain, slots, leaving, stage, incarnation, sequence } =
            sighting;
        self.note(offset);
        log::info!(target: "fleet", target_id = id.as_str(), service = service.as_str(),
            address:% = address, leaving, stage:? = stage, born:? = incarnation, offset; "target seen");
        let identity = target::Identity { id: id.clone(), incarnation };
        let target = Target::new(identity, service, address, domain, slots, self.workload.clone());
        target.set_stage(stage);
        if let Some((stage, until)) = self.expected.remove(&id) {
            target.expect_stage_change(stage, Instant::now(), until);
        }
        let target = Arc::new(target);
        let leaving = leaving || target.is_leaving();
        self.drop_member(&id);
        self.ids.insert(target.key, id.clone());
        self.members
            .insert(id, Member { target, incarnation, sequence, offset, leaving, lapses: None });
    }

    fn drop_member(&mut self, id: &TargetId) {
        if let Some(member) = self.members.remove(id) {
            self.ids.remove(&member.target.key);
        }
    }

    fn remove(&mut self, id: &TargetId, offset: Offset, lapses: Option<Instant>) {
        let Some(member) = self.members.get_mut(id) else { return };
        if offset < member.offset {
            return;
        }
        let Member { incarnation, sequence, .. } = *member;
        if let Some(at) = lapses {
            let at = *member.lapses.get_or_insert(at);
            self.lapses = Some(self.lapses.map_or(at, |first| first.min(at)));
            self.note(offset);
            return;
        }
        self.note(offset);
        log::info!(target: "fleet", target_id = id.as_str(), offset; "target gone");
        self.drop_member(id);
        if self.removed.len() >= MAX_REMOVED {
            self.removed.clear();
        }
        self.removed.insert(id.clone(), Removed { offset, incarnation, sequence });
    }

    /// The services of which so many entries vanished that it looks like a lapse, with how long
    /// their targets stay in use.
    fn lapses(
        &self,
        gone: &[(TargetId, Offset)],
        condition: LogState,
    ) -> HashMap<ServiceName, Duration> {
        let mut lost: HashMap<&ServiceName, usize> = HashMap::new();
        for (id, _) in gone {
            if let Some(member) = self.members.get(id).filter(|member| !member.leaving) {
                *lost.entry(&member.target.service).or_default() += 1;
            }
        }
        let wait = |service: &ServiceName, lost: usize| {
            let stays = |member: &&Member| !member.leaving && member.target.service == *service;
            let all = self.members.values().filter(stays).count();
            let float = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
            let many = lost > 1 && float(lost) > float(all) * LAPSE_SHARE;
            match (condition, many) {
                (LogState::Restored, _) => Some(ALL_LAPSE),
                (LogState::Degraded, true) if lost == all => Some(ALL_LAPSE),
                (LogState::Degraded, true) => Some(LAPSE),
                (LogState::Degraded, false) if lost == all => Some(LAPSE),
                (LogState::Healthy, true) => Some(DOUBT),
                (LogState::Degraded | LogState::Healthy, false) => None,
            }
        };
        let waits = lost
            .into_iter()
            .filter_map(|(service, lost)| Some((service.clone(), wait(service, lost)?)));
        waits.collect()
    }

    fn publish(&mut self) {
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
