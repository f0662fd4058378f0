//! Exchanges the state of entries, mainly their work at engines, by datagram.
//!
//! **Load pattern.** Several entries send prompts to the same engines, and a burst requests several
//! times what they can prefill. **Without this**, an entry observes only its own work. Each of five
//! entries would limit itself to a fifth of an engine's time, so that prompts are refused while
//! engines are idle; and one large prompt from each makes the queue five times too long, so that
//! accepted prompts miss their objective. **Approach.** Each entry sends its whole state, at most
//! every few milliseconds and early only when it has changed, so that a lost datagram matters only
//! until the next one. Coordinators record all reservations, see [`crate::cluster::coordinator`];
//! the state sent here is used by entries that no coordinator responds to, and by new coordinators.
//! The state of an entry whose datagrams no longer arrive expires, and its work is then estimated
//! from that of the others.

use crate::cluster::clock;
use crate::cluster::entry_state::{
    EntryState, Paces, StreamRead, TOKENS_PER_UNIT, UnavailableTarget, Work, encode_fullness,
    short_hash,
};
use crate::cluster::member_updates::MemberUpdate;
use crate::cluster::messages::{ConfigRequest, Envelope, Payload, RecordsRequest};
use crate::cluster::peers::Recipients;
use crate::cluster::tail::Topic;
use crate::exchange::{
    catch_up, coordination, crashes, dissemination, membership, origins, quota, version_history,
};
use crate::shared::{MAX_DATAGRAM_INTERVAL, Shared};
use crate::targets::availability::{Reason, Unavailable};
use bytes::Bytes;
use policy::membership::Source;
use prost::Message;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, timeout};

/// The shortest interval between datagrams with up to [`PEERS_PER_STEP`] peers. It grows with the
/// square of their number, up to [`MAX_DATAGRAM_INTERVAL`], so that the traffic of an entry doesn't
/// grow with it. An engine prefills a prompt in 10 to 30 ms, and each datagram costs processor time
/// at all recipients.
const MIN_INTERVAL: Duration = Duration::from_millis(5);

/// The number of peers up to which [`MIN_INTERVAL`] applies, and by which it grows.
const PEERS_PER_STEP: u32 = 4;

/// The longest wait for a change before a datagram is sent, so that peers detect the loss of an
/// entry.
const KEEPALIVE: Duration = Duration::from_millis(250);

/// With more peers than this, a peer hears of an entry each few seconds in any case. Sending half as
/// often halves the control traffic, and changes of the membership still reach all within seconds.
const LONG_TURNS: usize = 128;

/// The size of the receive buffer in bytes: no datagram can be larger.
const MAX_DATAGRAM: usize = 64 * 1024;

/// Sends this entry's state to the others for the lifetime of the process.
pub async fn publish(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let entry = shared.key();
    let incarnation =
        u64::from(std::process::id()) ^ policy::hash(&format!("{:?}", Instant::now()));
    let mut sequence = 0;
    loop {
        // Ends early when something has changed.
        let _ = timeout(KEEPALIVE, shared.workload.changed()).await;
        sequence += 1;
        let Recipients { addresses, turns } = shared.peers.recipients(Instant::now());
        let (work, reads, loads) =
            (Some(work(&shared)), reads(&shared), shared.loads.snapshot(shared.time()));
        let clock = clock::time_of_day();
        let unavailable = shared.workload.availability.snapshot(Instant::now());
        let unavailable = unavailable.into_iter().map(encode_unavailable).collect();
        let members = member_updates(&shared, addresses.len());
        let paces = shared.workload.paces.snapshot(Instant::now());
        let paces = (!paces.is_empty()).then(|| Paces::new(&paces));
        let verdicts = crashes::rows(&shared);
        let fullness = encode_fullness(shared.fullness().share);
        let state = EntryState {
            entry,
            incarnation,
            sequence,
            work,
            reads,
            loads,
            clock,
            unavailable,
            members,
            paces,
            verdicts,
            fullness,
        };
        let datagram = Bytes::from(state.encode_to_vec());
        shared.peer_socket.count_sent("state", datagram.len(), addresses.len());
        for address in &addresses {
            if let Err(error) = socket.send_to(&datagram, address).await {
                log::debug!(target: "peers", address:% = address, error:% = error;
                    "state not sent");
            }
        }
        let peers = u32::try_from(turns).unwrap_or(u32::MAX);
        let steps = peers.div_ceil(PEERS_PER_STEP).max(1);
        let interval = (MIN_INTERVAL * steps * steps).min(MAX_DATAGRAM_INTERVAL);
        let takes_long_turns = shared.peers.directory.addresses().count() > LONG_TURNS;
        let interval = if takes_long_turns { interval * 2 } else { interval };
        tokio::time::sleep(interval.max(shared.settings.datagram_interval(datagram.len(), peers)))
            .await;
    }
}

/// The maximum number of updates of the membership in a datagram that is sent to several entries.
const MAX_MEMBER_UPDATES: usize = 24;

/// Returns what this entry tells of the membership to so many others.
fn member_updates(shared: &Shared, copies: usize) -> Vec<MemberUpdate> {
    let copies = u32::try_from(copies).unwrap_or(u32::MAX);
    let updates = shared
        .peers
        .directory
        .with(|membership, _| membership.updates(MAX_MEMBER_UPDATES, copies))
        .unwrap_or_default();
    updates.iter().map(MemberUpdate::new).collect()
}

/// Returns what this entry knows of the log.
fn reads(shared: &Shared) -> Vec<StreamRead> {
    shared.tail.read_statuses(Instant::now()).iter().map(StreamRead::new).collect()
}

/// Applies what another entry knows of the log.
fn apply_reads(shared: &Shared, entry: u64, reads: &[StreamRead], now: Instant) {
    let arrived = shared.freezes.arrival(now);
    for status in reads.iter().filter_map(StreamRead::status) {
        shared.observe_epoch(plat::epoch::epoch(status.change_end), "peer");
        shared.tail.observe(entry, status, arrived);
    }
}

/// Returns this entry's work at all engines where it has any.
fn work(shared: &Shared) -> Work {
    let mut work = Work::default();
    for row in shared.workload.snapshot() {
        work.engines.push(short_hash(row.engine));
        work.prefill_units
            .push(u32::try_from(row.prefill_tokens.div_ceil(TOKENS_PER_UNIT)).unwrap_or(u32::MAX));
        work.streams.push(row.streams);
    }
    work
}

/// Receives the datagrams of other entries for the lifetime of the process.
pub async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(target: "peers", error:% = error; "datagram not received");
                tokio::time::sleep(MIN_INTERVAL).await;
                continue;
            }
        };
        if let Err(error) = handle_datagram(&shared, &buffer[..length], from) {
            log::warn!(target: "peers", from:% = from, error:% = error; "not readable");
        }
    }
}

fn handle_datagram(
    shared: &Shared,
    datagram: &[u8],
    from: SocketAddr,
) -> Result<(), prost::DecodeError> {
    let is_known = || shared.peers.directory.is_known(from.ip());
    let has_left = || shared.peers.directory.has_left(from.ip(), shared.time());
    match Envelope::decode(datagram)?.payload {
        // Entries introduce themselves with this message.
        Some(Payload::Membership(message)) => membership::receive(shared, message, from),
        Some(payload) if is_known() => handle_message(shared, payload, from),
        Some(payload) if payload.is_observation() && has_left() => {
            handle_message(shared, payload, from);
        }
        Some(_) => {}
        None => {
            let mut state = EntryState::decode(datagram)?;
            let members = std::mem::take(&mut state.members);
            membership::apply(shared, &members, Source::News, from);
            if is_known() {
                apply_state(shared, state);
            }
        }
    }
    Ok(())
}

fn apply_state(shared: &Shared, mut state: EntryState) {
    let (entry, reads, now) = (state.entry, std::mem::take(&mut state.reads), Instant::now());
    let unavailable = std::mem::take(&mut state.unavailable);
    let paces = state.paces.take().unwrap_or_default();
    let verdicts = std::mem::take(&mut state.verdicts);
    shared.usage.clock.observe(entry, state.clock);
    if shared.peers.observe(state, &shared.loads, now) {
        apply_reads(shared, entry, &reads, now);
        apply_unavailable(shared, &unavailable, now);
        shared.workload.paces.merge(&paces.rows(), now);
    }
    // A verdict has a version of its own.
    crashes::merge(shared, &verdicts);
}

fn encode_unavailable(Unavailable { target, reason }: Unavailable) -> UnavailableTarget {
    match reason {
        Reason::Leaving => UnavailableTarget { target, leaving: true, pause_ms: 0 },
        Reason::Paused(span) => {
            let pause_ms = u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
            UnavailableTarget { target, leaving: false, pause_ms }
        }
    }
}

/// The longest time for which a pause reported by a peer applies, unless it is reported again.
const MAX_REPORTED_PAUSE: Duration = Duration::from_secs(2);

/// Applies what targets signalled to another entry. Leaving targets get no new work from this entry
/// either. Targets that pause for the other entry may still accept this one's requests, so they are
/// only ranked behind others.
fn apply_unavailable(shared: &Shared, targets: &[UnavailableTarget], now: Instant) {
    for row in targets {
        if row.leaving {
            shared.workload.availability.record_leaving(row.target, now);
        }
        let pause = Duration::from_millis(row.pause_ms.into()).min(MAX_REPORTED_PAUSE);
        if let Some(target) = shared.fleet().by_key(row.target).filter(|_| !pause.is_zero()) {
            target.record_peer_pause(now + pause);
        }
    }
}

fn handle_message(shared: &Shared, payload: Payload, from: SocketAddr) {
    match payload {
        Payload::PrefillRequest(_) | Payload::DecodeRequest(_) | Payload::PermitRequest(_) => {
            if let Some(response) = coordination::respond(shared, &payload) {
                shared.peer_socket.send(Payload::Response(response), from);
            }
        }
        Payload::Response(response) => {
            // No request waits for it any more.
            if let Err(response) = shared.peer_socket.deliver(response) {
                shared.peer_socket.release(&response, from);
            }
        }
        Payload::Report(report) => coordination::apply_report(shared, &report),
        Payload::TargetLimit(limit) => coordination::observe_limit(shared, &limit),
        Payload::LogRecords(message) => dissemination::receive(shared, message),
        Payload::RecordsRequest(request) => catch_up::respond(shared, request, from),
        Payload::ConfigRequest(ConfigRequest { next }) => {
            let topic = dissemination::topic_index(Topic::Config);
            let request = RecordsRequest { topic, from: next, received: None, whole: true };
            catch_up::respond(shared, request, from);
        }
        Payload::Membership(message) => membership::receive(shared, message, from),
        Payload::UsageCounts(usage) => shared.usage.observe(usage),
        Payload::BillingProgress(progress) => {
            shared.usage.observe_billing(progress, clock::since_boot())
        }
        Payload::StreamOrigins(message) => shared.origins.observe(&message, Instant::now()),
        Payload::OriginRequest(request) => origins::respond(shared, &request, from),
        Payload::VersionsRequest(request) => version_history::respond(shared, &request, from),
        Payload::VersionsHandover(handover) => version_history::receive(shared, &handover),
        Payload::CrashEvidence(evidence) => crashes::receive_evidence(shared, &evidence),
        Payload::Verdicts(verdicts) => crashes::receive_verdicts(shared, verdicts),
        Payload::QuotaRequest(_)
        | Payload::QuotaResponse(_)
        | Payload::QuotaRenewal(_)
        | Payload::QuotaReturn(_) => quota::receive(shared, payload, from),
    }
}
