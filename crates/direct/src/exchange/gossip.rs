//! What the entries tell each other of the work they have at engines, by datagrams.
//!
//! **Load pattern.** Several entries send prompts to the same engines, and a burst asks for several
//! times what they can read. **Without it** an entry knows only its own work: each of five leaves
//! an engine a fifth of its time, so prompts are refused while engines are free, and one large
//! prompt from each makes the queue five times too long, so those that were let in are late.
//! **How.** Each entry sends its whole state, at most every few milliseconds and only when it
//! changed, so a lost datagram matters until the next. Coordinators know what is booked, see
//! [`crate::cluster::coordinator`]; this is what entries go by when none answers, and those that have just come
//! to coordinate. What a silent entry said expires, and its part is then guessed from the others'.

use crate::cluster::clock;
use crate::cluster::entry_state::{EntryState, Read, TargetStanding, UNIT, Work, short_hash};
use crate::cluster::messages::{Decision, Envelope, Granted, Payload, Report, Response};
use crate::cluster::tail::{self, ReadStatus};
use crate::exchange::broadcast;
use crate::exchange::coordination;
use crate::shared::{MAX_DATAGRAM_INTERVAL, Shared};
use crate::targets::availability::{Reason, Unavailable};
use bytes::Bytes;
use prost::Message;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, timeout};

/// Between two datagrams at least, with up to [`PEERS`] peers; it grows by the square of their number,
/// so that what an entry sends does not grow with it, up to [`MAX_DATAGRAM_INTERVAL`]. An engine reads a prompt
/// in 10 to 30 ms, and each datagram takes processor time of all who get it.
const PAUSE: Duration = Duration::from_millis(5);

/// Peers for which one [`PAUSE`] is enough.
const PEERS: u32 = 4;

/// Between two datagrams at most, so that silence means something.
const ALIVE: Duration = Duration::from_millis(250);

/// The largest datagram that is read, in bytes: the largest that there can be.
const MAX_DATAGRAM: usize = 64 * 1024;

/// Tells the other entries of this one's work for as long as the process lives.
pub async fn publish(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let entry = shared.key();
    let run = u64::from(std::process::id()) ^ policy::hash(&format!("{:?}", Instant::now()));
    let mut sequence = 0;
    loop {
        // Ends early when something has changed.
        let _ = timeout(ALIVE, shared.workload.changed()).await;
        sequence += 1;
        let addresses = shared.peers.turn(shared.tail.reads_for_all(), Instant::now());
        let (work, reads, loads) = (Some(work(&shared)), reads(&shared), shared.loads.snapshot());
        let clock = clock::time_of_day();
        let standings = shared.workload.availability.snapshot(Instant::now());
        let standings = standings.into_iter().map(standing).collect();
        let state = EntryState { entry, run, sequence, work, reads, loads, clock, standings };
        let datagram = Bytes::from(state.encode_to_vec());
        for address in &addresses {
            if let Err(error) = socket.send_to(&datagram, address).await {
                log::debug!(target: "peers", address:% = address, error:% = error; "not sent");
            }
        }
        let peers = u32::try_from(addresses.len()).unwrap_or(u32::MAX);
        let few = peers.div_ceil(PEERS).max(1);
        let pause = (PAUSE * few * few).min(MAX_DATAGRAM_INTERVAL);
        tokio::time::sleep(pause.max(shared.settings.datagram_interval(datagram.len(), peers)))
            .await;
    }
}

/// How far this entry has read the log.
fn reads(shared: &Shared) -> Vec<Read> {
    let topics = (0..).zip(tail::TOPICS);
    let seen = shared.tail.read_statuses(Instant::now());
    let reads = seen.into_iter().filter_map(|seen| {
        let (topic, _) = topics.clone().find(|(_, topic)| *topic == seen.topic)?;
        let age_ms = u32::try_from(seen.age.as_millis()).unwrap_or(u32::MAX);
        Some(Read { topic, news: seen.change_end, age_ms })
    });
    reads.collect()
}

/// Takes in how far another entry has read the log.
fn take_reads(shared: &Shared, entry: u64, reads: &[Read], now: Instant) {
    for read in reads {
        let topic = usize::try_from(read.topic).ok().and_then(|at| tail::TOPICS.get(at));
        // A stream that a newer version follows.
        let Some(topic) = topic.copied() else { continue };
        let age = Duration::from_millis(read.age_ms.into());
        shared.observe_epoch(plat::epoch::epoch(read.news), "peer");
        shared.tail.observe(entry, ReadStatus { topic, change_end: read.news, age }, now);
    }
}

/// This entry's work at all engines where it has any.
fn work(shared: &Shared) -> Work {
    let mut work = Work::default();
    for row in shared.workload.snapshot() {
        work.engines.push(short_hash(row.engine));
        work.reading.push(u32::try_from(row.prefill_tokens.div_ceil(UNIT)).unwrap_or(u32::MAX));
        work.streams.push(row.streams);
    }
    work
}

/// Hears the other entries for as long as the process lives.
pub async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(target: "peers", error:% = error; "not received");
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        if !shared.peers.is_known(from.ip()) {
            continue;
        }
        if let Err(error) = take(&shared, &buffer[..length], from) {
            log::warn!(target: "peers", from:% = from, error:% = error; "not readable");
        }
    }
}

fn take(shared: &Shared, datagram: &[u8], from: SocketAddr) -> Result<(), prost::DecodeError> {
    match Envelope::decode(datagram)?.payload {
        Some(word) => take_word(shared, word, from),
        None => take_state(shared, EntryState::decode(datagram)?),
    }
    Ok(())
}

fn take_state(shared: &Shared, mut state: EntryState) {
    let (entry, reads, now) = (state.entry, std::mem::take(&mut state.reads), Instant::now());
    let standings = std::mem::take(&mut state.standings);
    shared.usage.clock.observe(entry, state.clock);
    if shared.peers.observe(state, &shared.loads, now) {
        take_reads(shared, entry, &reads, now);
        take_standings(shared, &standings, now);
    }
}

fn standing(Unavailable { target, reason }: Unavailable) -> TargetStanding {
    match reason {
        Reason::Leaving => TargetStanding { target, leaves: true, pause_ms: 0 },
        Reason::Paused(span) => {
            let pause_ms = u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
            TargetStanding { target, leaves: false, pause_ms }
        }
    }
}

/// The longest that an entry goes by another's pause without hearing of it again.
const LONGEST_GOSSIPED_PAUSE: Duration = Duration::from_secs(2);

/// Takes in what targets said to another entry. Those that leave get nothing new here either. Those that pause
/// for that entry may take this one's requests: others go first.
fn take_standings(shared: &Shared, standings: &[TargetStanding], now: Instant) {
    for standing in standings {
        if standing.leaves {
            shared.workload.availability.record_leaving(standing.target, now);
        }
        let pause = Duration::from_millis(standing.pause_ms.into()).min(LONGEST_GOSSIPED_PAUSE);
        if let Some(target) = shared.fleet().by_key(standing.target).filter(|_| !pause.is_zero()) {
            target.note_pause_elsewhere(now + pause);
        }
    }
}

fn take_word(shared: &Shared, word: Payload, from: SocketAddr) {
    match word {
        Payload::PrefillRequest(_) | Payload::DecodeRequest(_) | Payload::PermitRequest(_) => {
            if let Some(answer) = coordination::respond(shared, &word) {
                shared.post.send(Payload::Response(answer), from);
            }
        }
        Payload::Response(answer) => {
            if let Err(answer) = shared.post.deliver(answer) {
                give_back(shared, &answer, from);
            }
        }
        Payload::Report(report) => coordination::apply_report(shared, &report),
        Payload::TargetLimit(limit) => coordination::observe_limit(shared, &limit),
        Payload::News(news) => broadcast::take(shared, news),
        Payload::Lack(lack) => broadcast::answer(shared, lack, from),
        Payload::UsageCounts(used) => shared.usage.observe(used),
        Payload::BillingProgress(billed) => {
            shared.usage.observe_billing(billed, clock::since_boot())
        }
    }
}

/// Ends a booking that was granted too late for anybody to use it.
fn give_back(shared: &Shared, answer: &Response, from: SocketAddr) {
    let Some(Decision::Granted(granted)) = answer.decision else { return };
    let Granted { engine, .. } = granted;
    let report = Report { reservation: answer.reservation, engine, ..Report::default() };
    shared.post.send(Payload::Report(report), from);
}
