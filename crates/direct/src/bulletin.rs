//! What entries tell each other through one stream of the log: that they live, which engines are
//! about to change, which requests crash targets.
//!
//! Nothing here is asked for a request. Each entry writes every few seconds and reads every
//! second, and what it has read stays valid while the log is away.

use crate::border::TargetId;
use crate::broadcast;
use crate::groups::Member;
use crate::notice::{self, Heartbeat, Kind, Notice, Plan, Suspects};
use crate::shared::Shared;
use crate::tail::{self, Topic, Turn};
use crate::target::CHANGE;
use compact_str::CompactString;
use plat::{Entry, KeyedLog, Offset, Record, epoch};
use prost::Message;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};
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
pub struct Bulletin {
    /// Where the next record will stand; none before the first read.
    pub end: Option<Offset>,
    /// When the last plan was read; before one is, when the stream was first read: older plans may
    /// have expired from it.
    pub planned: Option<Instant>,
    /// Whether a plan was read.
    pub any_plan: bool,
    /// Since when every plan was read: a stream that is read for the first time, or from which
    /// records expired unread, may have held others.
    pub complete: Option<Instant>,
    /// Engines that plans of the last [`REMEMBERED`] named.
    pub named: Vec<Named>,
    /// The names of the entries that live, in order.
    pub entries: Vec<CompactString>,
}

/// An engine that a plan named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Named {
    /// The engine.
    pub engine: TargetId,
    /// The entry that planned.
    pub holder: CompactString,
    /// When the plan was read.
    pub at: Instant,
}

/// For how long it is remembered which engines a plan named: longer than anybody may order them.
const REMEMBERED: Duration = Duration::from_secs(15);

/// An entry that lives.
#[derive(Debug, Clone, Copy)]
struct Heard {
    at: Instant,
    address: SocketAddr,
    /// The rate of its VM's link in bytes a second.
    link: f64,
}

/// Tells the others that this entry lives, and that it stops.
pub async fn tell(
    shared: Arc<Shared>,
    log: Arc<dyn KeyedLog>,
    address: SocketAddr,
    stop: CancellationToken,
) {
    loop {
        let leaving = stop.is_cancelled();
        let (name, address) = (shared.settings.name.to_string(), address.to_string());
        let link = shared.settings.link.rate;
        write(&*log, Kind::Heartbeat(Heartbeat { name, leaving, address, link })).await;
        if leaving {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(HEARTBEAT) => {}
            // What was written lately is lost: who starts now would take itself for alone.
            () = shared.tail.restored() => {}
            () = stop.cancelled() => {}
        }
    }
}

/// Tells the others of requests that were running when a target crashed.
pub async fn suspect(shared: Arc<Shared>, log: Arc<dyn KeyedLog>) {
    loop {
        tokio::time::sleep(SUSPICIONS).await;
        let requests = shared.suspects.take_news(MAX_SUSPICIONS);
        if !requests.is_empty() {
            let entry = shared.settings.name.to_string();
            write(&*log, Kind::Suspects(Suspects { entry, requests })).await;
        }
    }
}

async fn write(log: &dyn KeyedLog, kind: Kind) {
    if let Err(error) = log.append(STREAM, vec![notice::record(kind)]).await {
        log::info!(target: "bulletin", error:% = error; "notice not written");
    }
}

impl Bulletin {
    /// Takes in a plan that was read.
    fn note(&mut self, plan: &Plan, now: Instant) {
        (self.planned, self.any_plan) = (Some(now), true);
        let holder = CompactString::from(plan.holder.as_str());
        let named =
            plan.changes().map(|(engine, _)| Named { engine, holder: holder.clone(), at: now });
        self.named.extend(named);
    }

    /// Notes that records may have expired unread.
    fn forget(&mut self) {
        (self.planned, self.complete) = (None, None);
    }
}

/// Reads what the entries tell.
pub async fn read(shared: Arc<Shared>, log: Arc<dyn KeyedLog>, bulletin: watch::Sender<Bulletin>) {
    let mut next: Offset = 0;
    let mut heard: HashMap<CompactString, Heard> = HashMap::new();
    let mut news: Offset = 0;
    let mut again = None;
    // Up to where a log that came back older may hold what was read before.
    let mut reread: Option<Reread> = None;
    loop {
        let mut told = None;
        if bulletin.borrow().end.is_some() {
            tokio::select! {
                turn = shared.tail.turn(Topic::Notices, next, again) => match turn {
                    Turn::Read(reason) => {
                        shared.metrics.read(Topic::Notices.name(), reason.name());
                    }
                    Turn::Take(span) => told = Some(span),
                },
                () = shared.notices.notified() => {}
            }
        }
        if let Some(span) = told {
            (next, news) = (next.max(span.after()), news.max(span.after()));
            shared.tail.knows(Topic::Notices, news);
            let mut read = bulletin.borrow().clone();
            take_span(&shared, &mut heard, &mut read, span);
            read.end = Some(next);
            bulletin.send_replace(read);
            continue;
        }
        match log.read(STREAM, next, MAX_READ, WAIT).await {
            Ok(batch) => {
                again = None;
                let now = Instant::now();
                let (before, mut changed) = (news, Vec::new());
                tail::hear_epoch(&shared, epoch::epoch(batch.end), "log");
                let known_up_to = match reread {
                    Some(Reread::From) => batch.end,
                    Some(Reread::UpTo(end)) => end,
                    None => 0,
                };
                reread = reread.map(|_| Reread::UpTo(known_up_to));
                let mut read = bulletin.borrow().clone();
                // What a process reads first may be minutes old.
                let known = if read.end.is_some() { Age::New } else { Age::AsTold };
                read.planned.get_or_insert(now);
                read.complete.get_or_insert(now);
                read.named.retain(|named| now.duration_since(named.at) < REMEMBERED);
                for entry in batch.entries {
                    next = entry.offset + 1;
                    if entry.offset < known_up_to {
                        reread_plan(&entry.bytes, &mut read, now);
                        continue;
                    }
                    let told = take(&shared, &mut heard, &entry.bytes, now, known);
                    if told != Told::Nothing {
                        news = next;
                        changed.push(record(entry));
                    }
                    if let Told::Plan(plan) = told {
                        read.note(&plan, now);
                    }
                }
                next = next.max(batch.oldest);
                if next >= known_up_to && reread.take().is_some() {
                    // The others have to read it as well.
                    news = news.max(next);
                }
                if read.end.is_some() {
                    let (topic, troubled) = (Topic::Notices, false);
                    let span = tail::Told { topic, before, troubled, records: changed };
                    broadcast::pass_on(&shared, &span);
                }
                tail::note(&shared, Topic::Notices, news);
                heard.retain(|_, heard| now.duration_since(heard.at) < SILENCE);
                read.entries = publish(&shared, &heard);
                read.end = Some(next);
                bulletin.send_replace(read);
            }
            Err(plat::Error::Gone { oldest, .. }) => {
                // A plan may have stood in what expired: as after a start, nobody else's engines
                // are ordered until its lease would have run out.
                if epoch::epoch(oldest) > epoch::epoch(next) {
                    log::warn!(target: "store", stream = STREAM, epoch = epoch::epoch(oldest),
                        read = epoch::place(next); "stream is read anew");
                    reread = Some(Reread::From);
                }
                next = oldest;
                bulletin.send_modify(|read| read.forget());
            }
            Err(error) => {
                // What was heard stays: while the log is away nobody can be heard.
                again = Some(Instant::now() + shared.turn_to_retry());
                log::debug!(target: "bulletin", error:% = error; "notices not read");
            }
        }
        // Ends early when a plan was refused because the stream went on.
        let _ = timeout(PACE, shared.notices.notified()).await;
    }
}

/// What of a stream that came back older was read before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reread {
    /// All that it holds when it is first read.
    From,
    /// All before this offset.
    UpTo(Offset),
}

/// Takes in a plan that may have been read before: its engines changed then, and do not once more.
fn reread_plan(record: &[u8], read: &mut Bulletin, now: Instant) {
    if let Ok(Notice { kind: Some(Kind::Plan(plan)) }) = Notice::decode(record) {
        read.note(&plan, now);
    }
}

/// Takes in records that another entry passed on.
fn take_span(
    shared: &Shared,
    heard: &mut HashMap<CompactString, Heard>,
    read: &mut Bulletin,
    span: tail::Told,
) {
    let now = Instant::now();
    for record in span.records {
        if let Told::Plan(plan) =
            take(shared, heard, &record.value.unwrap_or_default(), now, Age::New)
        {
            read.note(&plan, now);
        }
    }
    read.entries = publish(shared, heard);
}

/// A record of this stream, which has no keys.
fn record(entry: Entry) -> Record {
    Record { offset: entry.offset, key: CompactString::default(), value: Some(entry.bytes) }
}

/// What a record told.
#[derive(Debug, Clone, PartialEq)]
enum Told {
    /// Nothing that was not known.
    Nothing,
    /// Something that others should read.
    News,
    /// A plan.
    Plan(Plan),
}

/// Takes in one record.
fn take(
    shared: &Shared,
    heard: &mut HashMap<CompactString, Heard>,
    record: &[u8],
    now: Instant,
    age: Age,
) -> Told {
    let notice = match Notice::decode(record) {
        Ok(notice) => notice,
        Err(error) => {
            log::warn!(target: "bulletin", error:% = error; "notice not readable, left out");
            return Told::Nothing;
        }
    };
    match notice.kind {
        Some(Kind::Heartbeat(Heartbeat { name, leaving: true, .. })) => {
            if heard.remove(name.as_str()).is_some() { Told::News } else { Told::Nothing }
        }
        Some(Kind::Heartbeat(heartbeat)) => hear(heard, heartbeat, now),
        Some(Kind::Plan(plan)) => {
            if plan.holder != shared.settings.name {
                announce(shared, &plan, left(shared, &plan, age));
            }
            Told::Plan(plan)
        }
        Some(Kind::Suspects(Suspects { entry, requests })) => {
            if entry != shared.settings.name {
                shared.suspects.hear(&requests);
            }
            Told::News
        }
        // A kind that a newer version writes.
        None => Told::Nothing,
    }
}

fn hear(heard: &mut HashMap<CompactString, Heard>, heartbeat: Heartbeat, now: Instant) -> Told {
    let Heartbeat { name, address, link, .. } = heartbeat;
    let name = CompactString::from(name);
    match address.parse() {
        Ok(address) => {
            let before = heard.insert(name, Heard { at: now, address, link });
            let known = before.is_some_and(|before| before.address == address);
            if known { Told::Nothing } else { Told::News }
        }
        Err(error) => {
            log::warn!(target: "bulletin", name = name.as_str(), error:% = error;
                "heartbeat without an address, left out");
            Told::Nothing
        }
    }
}

/// How old a record is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Age {
    /// It was just written.
    New,
    /// As it tells itself.
    AsTold,
}

/// For how long changes that were planned are still waited for.
fn left(shared: &Shared, plan: &Plan, age: Age) -> Duration {
    let age = match age {
        Age::New => Some(Duration::ZERO),
        Age::AsTold => plan.age(shared.usage.clock.now()),
    };
    age.map_or(Duration::ZERO, |age| CHANGE.saturating_sub(age))
}

/// Keeps new work away from engines that are about to change within `left`.
pub fn announce(shared: &Shared, plan: &Plan, left: Duration) {
    log::info!(target: "stages", holder = plan.holder.as_str(), readers:? = plan.readers,
        writers:? = plan.writers; "changes announced");
    let (mut fleet, now) = (shared.fleet(), Instant::now());
    for (id, stage) in plan.changes() {
        fleet.expect_stage(id, stage, now, now + left);
    }
}

fn publish(shared: &Shared, heard: &HashMap<CompactString, Heard>) -> Vec<CompactString> {
    let mut entries: Vec<_> = heard.keys().cloned().collect();
    if !heard.contains_key(&shared.settings.name) {
        entries.push(shared.settings.name.clone());
    }
    entries.sort();
    shared.peers.set_members(members(shared, heard));
    let count = u32::try_from(entries.len()).unwrap_or(u32::MAX);
    if count != shared.entries() {
        log::info!(target: "bulletin", entries = count, before = shared.entries();
            "entries changed");
    }
    shared.set_entries(count);
    shared.tail.set_entries(&shared.settings.name, &entries);
    entries
}

/// The entries that live, with this one as it knows itself.
fn members(shared: &Shared, heard: &HashMap<CompactString, Heard>) -> Vec<Member> {
    let others = heard.iter().filter(|(name, _)| **name != shared.settings.name);
    let others = others.map(|(name, heard)| Member {
        key: policy::hash(name),
        address: Some(heard.address),
        link: heard.link,
    });
    let (key, link) = (policy::hash(&shared.settings.name), shared.settings.link.rate);
    others.chain([Member { key, address: None, link }]).collect()
}
