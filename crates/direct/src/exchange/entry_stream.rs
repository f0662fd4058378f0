//! The stream of the log that entries share: announced stage changes of engines, requests suspected
//! of crashing targets, and heartbeats of a few entries.
//!
//! No request waits for this stream, and what an entry has read stays valid while the log is
//! unavailable. Entries learn from each other which of them are alive, see
//! [`crate::exchange::membership`]; the heartbeats are for those that know no other entry.

mod reader;

use crate::cluster::messages::{VerdictRow, Versions};
use crate::codec::TargetId;
use crate::exchange::crashes;
use crate::exchange::notice::{self, Heartbeat, Kind, Plan, WrittenVerdicts};
use crate::exchange::version_history;
use crate::shared::Shared;
use compact_str::CompactString;
use plat::{KeyedLog, Offset};
use policy::Hash;
use policy::versions::Version;
use reader::Reader;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The name of the stream.
pub const STREAM: &str = "lapismast.entries";

/// The interval between heartbeats: each is a paid call, and the log keeps a few of them even where
/// its records expire after 20 seconds.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);

/// How long an entry with seeds tries to join the others before it writes its first heartbeat.
const FIRST_HEARTBEAT_DELAY: Duration = Duration::from_millis(800);

/// The shortest interval between reads; announcements are made two seconds ahead.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// How long a read waits for new records. The sum of this, [`READ_INTERVAL`] and the time until
/// peers are informed stays below the age at which they no longer rely on a read.
const READ_WAIT: Duration = Duration::from_millis(300);

/// The maximum number of records per read.
const MAX_RECORDS: usize = 512;

/// The interval at which it is checked whether targets have other software versions.
const VERSIONS_INTERVAL: Duration = Duration::from_millis(250);

/// The interval at which it is checked whether verdicts are to be written.
const VERDICTS_INTERVAL: Duration = Duration::from_millis(500);

/// The interval at which verdicts are written again while they last: the log keeps records for as
/// little as 20 seconds.
const VERDICTS_REWRITE: Duration = Duration::from_secs(8);

/// The maximum number of verdicts per record.
const MAX_VERDICTS: usize = 128;

/// The state of the cluster as far as the stream was read.
#[derive(Debug, Clone, Default)]
pub struct StreamView {
    /// The offset of the next record; none before the first read.
    pub end: Option<Offset>,
    /// When the last plan was read. If there was none, when the stream was first read, because
    /// older plans may have expired from it.
    pub last_plan_at: Option<Instant>,
    /// Whether there may have been a plan: one was read, or records were lost unread.
    pub may_have_plan: bool,
    /// The time since which no plan was missed: there may have been plans before the first read,
    /// and among records that expired unread.
    pub complete_since: Option<Instant>,
    /// Whether all records since the stream's first one are known, and with them all plans.
    pub is_whole: bool,
    /// Engines named by plans that were read within the last `PLAN_RETENTION`.
    pub planned_engines: Vec<PlannedEngine>,
}

/// An engine named by a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedEngine {
    /// The engine.
    pub engine: TargetId,
    /// The entry that made the plan.
    pub planner: CompactString,
    /// When the plan was read.
    pub read_at: Instant,
}

/// For how long the engines named by a plan are tracked: longer than its planner may send orders to
/// them.
const PLAN_RETENTION: Duration = Duration::from_secs(15);

/// Publishes heartbeats while this entry is one of those that do.
pub async fn publish_heartbeats(
    shared: Arc<Shared>,
    log: Arc<dyn KeyedLog>,
    address: SocketAddr,
    stop: CancellationToken,
) {
    let (mut epoch, mut written) = (None, None);
    if !shared.settings.seeds.is_empty() {
        tokio::time::sleep(FIRST_HEARTBEAT_DELAY).await;
    }
    loop {
        let leaving = stop.is_cancelled();
        if shared.peers.directory.is_anchor() {
            let (name, address) = (shared.settings.name.to_string(), address.to_string());
            let link_rate = shared.settings.link.bytes_per_second;
            let (takes_part, splits) = (true, shared.splits.rows());
            let versions = version_history::own_history(&shared);
            written = versions.as_ref().map(Versions::set);
            let heartbeat =
                Heartbeat { name, leaving, address, link_rate, takes_part, splits, versions };
            write(&*log, Kind::Heartbeat(heartbeat)).await;
        }
        if leaving {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {}
            // If all entries are killed now, the next ones learn from the log which versions there
            // were.
            () = other_versions(&shared, written.as_ref()) => {}
            // The restored log lacks recent heartbeats: an entry that starts now would see no
            // others.
            () = shared.tail.wait_for_restore(&mut epoch) => {}
            () = stop.cancelled() => {}
        }
    }
}

/// Waits until targets have other software versions than those that were written last.
async fn other_versions(shared: &Shared, written: Option<&BTreeSet<(Hash, Version)>>) {
    loop {
        tokio::time::sleep(VERSIONS_INTERVAL).await;
        let current = version_history::own_history(shared).map(|versions| versions.set());
        if current.is_some() && current.as_ref() != written {
            return;
        }
    }
}

/// Writes which requests are refused, while this entry is the one that does: entries that are all
/// started at once have nobody to tell them.
pub async fn publish_verdicts(shared: Arc<Shared>, log: Arc<dyn KeyedLog>) {
    let (mut written, mut written_at) = (None, Instant::now());
    loop {
        tokio::time::sleep(VERDICTS_INTERVAL).await;
        let changes = shared.suspects.changes().filter(|_| crashes::writes_verdicts(&shared));
        // A restored log lacks what was written last.
        let current = changes.map(|changes| (changes, shared.tail.known_epoch()));
        let is_due = current != written || written_at.elapsed() >= VERDICTS_REWRITE;
        if current.is_none() || !is_due {
            continue;
        }
        (written, written_at) = (current, Instant::now());
        let mut verdicts = shared.suspects.blocked();
        verdicts.sort_unstable_by_key(|verdict| verdict.decided_at);
        let (now, latest) = (shared.crash_time(), verdicts.iter().rev().take(MAX_VERDICTS));
        let rows = latest.map(|verdict| VerdictRow::new(verdict, now)).collect();
        write(&*log, Kind::Verdicts(WrittenVerdicts { rows })).await;
    }
}

async fn write(log: &dyn KeyedLog, kind: Kind) {
    if let Err(error) = log.append(STREAM, vec![notice::encode(kind)]).await {
        log::info!(target: "bulletin", error:% = error; "notice not written");
    }
}

impl StreamView {
    /// Records a plan that was read.
    fn record_plan(&mut self, plan: &Plan, now: Instant) {
        (self.last_plan_at, self.may_have_plan) = (Some(now), true);
        let planner = CompactString::from(plan.planner.as_str());
        let engines = plan.changes().map(|(engine, _)| PlannedEngine {
            engine,
            planner: planner.clone(),
            read_at: now,
        });
        self.planned_engines.extend(engines);
    }

    /// Records that plans may have expired unread.
    fn mark_incomplete(&mut self) {
        (self.last_plan_at, self.complete_since, self.is_whole) = (None, None, false);
        self.may_have_plan = true;
    }
}

/// Follows the stream for the lifetime of the process.
pub async fn follow(shared: Arc<Shared>, log: Arc<dyn KeyedLog>, view: watch::Sender<StreamView>) {
    Reader::new(shared, log, view).run().await;
}

/// Keeps new work away from the engines of a plan, which are expected to change within `remaining`.
pub fn expect_changes(shared: &Shared, plan: &Plan, remaining: Duration) {
    log::info!(target: "stages", holder = plan.planner.as_str(), readers:? = plan.to_prefill,
        writers:? = plan.to_decode; "changes announced");
    let (mut fleet, now) = (shared.fleet(), Instant::now());
    for (id, stage) in plan.changes() {
        fleet.expect_stage_change(id, stage, now, now + remaining);
    }
}
