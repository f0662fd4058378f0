//! What entries tell each other through one stream of the log: that they live, which engines are
//! about to change, which requests crash targets.
//!
//! Nothing here is asked for a request. Each entry writes every few seconds and reads every
//! second, and what it has read stays valid while the log is away.

mod reader;

use crate::codec::TargetId;
use crate::exchange::notice::{self, Heartbeat, Kind, Plan, SuspectedRequests};
use crate::shared::Shared;
use compact_str::CompactString;
use plat::{KeyedLog, Offset};
use reader::Reader;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The stream.
pub const STREAM: &str = "lapismast.entries";

/// How often an entry tells that it lives. The number of entries changes a few times a day, and
/// each record is a paid call.
const HEARTBEAT: Duration = Duration::from_secs(5);

/// After this time without a heartbeat an entry counts as gone: one may be lost, and an entry that
/// leaves reading to others reads each ten seconds.
const SILENCE: Duration = Duration::from_secs(21);

/// Reads are at least this far apart; announcements are made two seconds ahead.
const PACE: Duration = Duration::from_millis(1_000);

/// How long a read waits for news. With [`PACE`] and the time until others hear of it this stays under
/// the age at which they no longer rely on it.
const WAIT: Duration = Duration::from_millis(300);

/// Records read at once at most.
const MAX_READ: usize = 512;

/// How often suspicions are written: within the seconds in which a request comes again.
const SUSPICIONS: Duration = Duration::from_millis(500);

/// Suspicions written at once at most: what ran on one engine when it crashed.
const MAX_SUSPICIONS: usize = 64;

/// What was read so far.
#[derive(Debug, Clone, Default)]
pub struct StreamView {
    /// Where the next record will stand; none before the first read.
    pub end: Option<Offset>,
    /// When the last plan was read; before one is, when the stream was first read: older plans may
    /// have expired from it.
    pub last_plan_at: Option<Instant>,
    /// Whether a plan was read.
    pub has_plan: bool,
    /// Since when every plan was read: a stream that is read for the first time, or from which
    /// records expired unread, may have held others.
    pub complete_since: Option<Instant>,
    /// Engines that plans of the last [`REMEMBERED`] named.
    pub planned_engines: Vec<Named>,
    /// The names of the entries that live, in order.
    pub entries: Vec<CompactString>,
}

/// An engine that a plan named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Named {
    /// The engine.
    pub engine: TargetId,
    /// The entry that planned.
    pub planner: CompactString,
    /// When the plan was read.
    pub read_at: Instant,
}

/// For how long it is remembered which engines a plan named: longer than anybody may order them.
const REMEMBERED: Duration = Duration::from_secs(15);

/// Tells the others that this entry lives, and that it stops.
pub async fn publish_heartbeats(
    shared: Arc<Shared>,
    log: Arc<dyn KeyedLog>,
    address: SocketAddr,
    stop: CancellationToken,
) {
    let mut epoch = None;
    loop {
        let leaving = stop.is_cancelled();
        let (name, address) = (shared.settings.name.to_string(), address.to_string());
        let link = shared.settings.link.bytes_per_second;
        write(&*log, Kind::Heartbeat(Heartbeat { name, leaving, address, link_rate: link })).await;
        if leaving {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(HEARTBEAT) => {}
            // What was written lately is lost: who starts now would take itself for alone.
            () = shared.tail.wait_for_restore(&mut epoch) => {}
            () = stop.cancelled() => {}
        }
    }
}

/// Tells the others of requests that were running when a target crashed.
pub async fn publish_suspects(shared: Arc<Shared>, log: Arc<dyn KeyedLog>) {
    loop {
        tokio::time::sleep(SUSPICIONS).await;
        let requests = shared.suspects.take_unpublished(MAX_SUSPICIONS);
        if !requests.is_empty() {
            let entry = shared.settings.name.to_string();
            write(&*log, Kind::SuspectedRequests(SuspectedRequests { entry, requests })).await;
        }
    }
}

async fn write(log: &dyn KeyedLog, kind: Kind) {
    if let Err(error) = log.append(STREAM, vec![notice::encode(kind)]).await {
        log::info!(target: "bulletin", error:% = error; "notice not written");
    }
}

impl StreamView {
    /// Takes in a plan that was read.
    fn note(&mut self, plan: &Plan, now: Instant) {
        (self.last_plan_at, self.has_plan) = (Some(now), true);
        let holder = CompactString::from(plan.planner.as_str());
        let named = plan.changes().map(|(engine, _)| Named {
            engine,
            planner: holder.clone(),
            read_at: now,
        });
        self.planned_engines.extend(named);
    }

    /// Notes that records may have expired unread.
    fn forget(&mut self) {
        (self.last_plan_at, self.complete_since) = (None, None);
    }
}

/// Reads what the entries tell for as long as the process lives.
pub async fn follow(
    shared: Arc<Shared>,
    log: Arc<dyn KeyedLog>,
    bulletin: watch::Sender<StreamView>,
) {
    Reader::new(shared, log, bulletin).run().await;
}

/// Keeps new work away from engines that are about to change within `left`.
pub fn expect_changes(shared: &Shared, plan: &Plan, left: Duration) {
    log::info!(target: "stages", holder = plan.planner.as_str(), readers:? = plan.to_prefill,
        writers:? = plan.to_decode; "changes announced");
    let (mut fleet, now) = (shared.fleet(), Instant::now());
    for (id, stage) in plan.changes() {
        fleet.expect_stage_change(id, stage, now, now + left);
    }
}
