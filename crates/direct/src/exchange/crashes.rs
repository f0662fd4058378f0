//! Tells other entries which requests were running when targets crashed, and what is refused from
//! then on, see [`policy::poison`].
//!
//! **Load pattern.** A target crashes with the requests of many entries, and each of them sees its
//! own; the request that did it comes back at any entry, within milliseconds. **Without this**, each
//! entry counts for itself. **Approach.** Each entry tells three holders what ran there, and these
//! count. If one of them is replaced or starts again, all who know of crashes tell the new one, so
//! that no crash is forgotten while entries go one after the other. Who finds a culprit sends the
//! verdict to all along a tree; the state that entries send each other anyway repeats it, for those
//! that missed it. Nothing is sent while nothing crashes, and the store isn't needed. It gets a copy,
//! for the case that all entries are started at once.

use crate::cluster::groups::Member;
use crate::cluster::messages::{CrashEvidence, KeyRange, Payload, VerdictRow, Verdicts};
use crate::cluster::suspects::Incarnated;
use crate::exchange::dissemination;
use crate::shared::Shared;
use compact_str::format_compact;
use policy::dissemination::{FAN_OUT, Range};
use policy::poison::verdicts::Verdict;
use policy::poison::{Crash, Key, Run};
use policy::{Hash, Time};
use std::sync::Arc;
use std::time::Duration;

/// The place on the ring of entries whose holders count crashes.
const LEDGER: Hash = 0x63_7261_7368_6573;

/// How many entries count crashes: one may be killed while another is frozen.
const HOLDERS: usize = 3;

/// How long runs are collected before they are sent: the connections to a crashed target break
/// within a few milliseconds.
const COLLECT: Duration = Duration::from_millis(3);

/// How often a new holder is told of earlier crashes: a datagram may be lost, and an entry that has
/// just started ignores those of entries that it doesn't know yet.
const HANDOVERS: usize = 3;

/// The interval between them.
const HANDOVER_INTERVAL: Duration = Duration::from_millis(300);

/// Breaks of one target within this time are of one crash, and go into the same datagrams.
const SAME_CRASH: Duration = Duration::from_millis(100);

/// The maximum number of rows in one datagram.
const MAX_ROWS: usize = 48;

/// The maximum number of keys in the rows of one datagram.
const MAX_KEYS: usize = 128;

/// The maximum number of verdicts in the state that an entry sends.
const MAX_VERDICTS: usize = 8;

/// Records that a request was running when a target crashed, and tells the holders.
pub fn report(shared: &Arc<Shared>, crash: Crash, run: Run) {
    shared.metrics.suspects("crash");
    publish(
        shared,
        &shared.suspects.observe_crash(crash, std::slice::from_ref(&run), shared.crash_time()),
    );
    if !shared.suspects.queue(crash, run) {
        return;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        tokio::time::sleep(COLLECT).await;
        send_queue(&shared);
    });
}

/// Reports what a target broke off lately: another one was found in its place.
pub fn confirm(shared: &Arc<Shared>, target: Hash) {
    for (crash, run) in shared.suspects.confirm(target, shared.crash_time()) {
        report(shared, crash, run);
    }
}

fn send_queue(shared: &Shared) {
    for evidence in datagrams(shared.suspects.take_queue(), shared.crash_time()) {
        send_to_holders(shared, &evidence);
    }
}

/// Encodes what ran at crashes, the runs of each crash together.
fn datagrams(mut runs_at: Vec<(Crash, Run)>, now: Time) -> Vec<CrashEvidence> {
    let mut datagrams = Vec::new();
    runs_at.sort_by_key(|(crash, _)| (crash.target, crash.at));
    let is_same = |(one, _): &(Crash, Run), (other, _): &(Crash, Run)| {
        one.target == other.target && other.at.saturating_sub(one.at) < SAME_CRASH
    };
    for chunk in runs_at.chunk_by(is_same) {
        let Some((crash, _)) = chunk.first() else { continue };
        let mut runs: Vec<Run> = Vec::new();
        let mut keys = 0;
        for (_, run) in chunk {
            let more = run.parts.len() + 1;
            if !runs.is_empty() && (keys + more > MAX_KEYS || runs.len() == MAX_ROWS) {
                datagrams.push(CrashEvidence::new(*crash, &runs, now));
                (runs, keys) = (Vec::new(), 0);
            }
            runs.push(run.clone());
            keys += more;
        }
        datagrams.push(CrashEvidence::new(*crash, &runs, now));
    }
    datagrams
}

/// Tells holders that are new, or have started again, what ran at earlier crashes. To be called when
/// the live entries have changed.
pub fn follow_holders(shared: &Arc<Shared>) {
    if shared.suspects.evidence(shared.crash_time()).is_empty() {
        return;
    }
    let directory = &shared.peers.directory;
    let incarnated = |member: &Member| {
        let incarnation = directory.with(|membership, _| membership.live_incarnation(member.key));
        Some(Incarnated { entry: member.key, incarnation: incarnation.flatten()? })
    };
    let holders: Vec<_> = holders(shared).iter().filter_map(incarnated).collect();
    let uninformed = shared.suspects.take_uninformed(&holders);
    if uninformed.is_empty() {
        return;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        for _ in 0..HANDOVERS {
            hand_over(&shared, &uninformed);
            tokio::time::sleep(HANDOVER_INTERVAL).await;
        }
    });
}

fn hand_over(shared: &Shared, uninformed: &[Incarnated]) {
    let now = shared.crash_time();
    let evidence = datagrams(shared.suspects.evidence(now), now);
    let address = |holder: &Incarnated| shared.peers.directory.address(holder.entry);
    for address in uninformed.iter().filter_map(address) {
        for evidence in &evidence {
            shared.peer_socket.send(Payload::CrashEvidence(evidence.clone()), address);
        }
    }
    log::info!(target: "request", holders = uninformed.len(), datagrams = evidence.len();
        "crashes told to new holders");
}

fn send_to_holders(shared: &Shared, evidence: &CrashEvidence) {
    for address in holders(shared).iter().filter_map(|holder| holder.address) {
        shared.peer_socket.send(Payload::CrashEvidence(evidence.clone()), address);
    }
}

fn holders(shared: &Shared) -> Vec<Member> {
    shared.origins.holders(LEDGER, HOLDERS, &shared.peers.members())
}

/// Whether this entry writes verdicts to the store: the first of the holders that responds. For a
/// moment there may be two, which does no harm.
pub fn writes_verdicts(shared: &Shared) -> bool {
    let holders = holders(shared);
    let responds =
        |holder: &&Member| holder.address.is_none() || shared.peers.directory.is_alive(holder.key);
    holders.iter().find(responds).is_none_or(|holder| holder.address.is_none())
}

/// Whether this entry is the one that allows trials.
pub fn is_first_holder(shared: &Shared) -> bool {
    holders(shared).first().is_none_or(|holder| holder.address.is_none())
}

/// Records that keys ran to their end here, and tells the others if they were suspected.
pub fn record_completion(shared: &Shared, keys: &[Key]) {
    let now = shared.crash_time();
    let refutation = shared.suspects.record_completion(keys, now);
    publish(shared, &refutation.cleared);
    if !refutation.suspected.is_empty() {
        let completions: Vec<_> = refutation.suspected.iter().map(|key| (*key, now)).collect();
        tell_completions(shared, &completions);
    }
}

fn tell_completions(shared: &Shared, completions: &[(Key, Time)]) {
    for completions in completions.chunks(MAX_ROWS) {
        let evidence = CrashEvidence::of_completions(completions, shared.crash_time());
        send_to_holders(shared, &evidence);
    }
}

/// Applies what another entry saw.
pub fn receive_evidence(shared: &Shared, evidence: &CrashEvidence) {
    let now = shared.crash_time();
    publish(shared, &shared.suspects.observe_completions(&evidence.completions(now), now));
    if !evidence.runs.is_empty() {
        let (crash, runs) = (evidence.crash(now), evidence.runs(now));
        publish(shared, &shared.suspects.observe_crash(crash, &runs, now));
    }
}

/// Tells all other entries new verdicts.
pub fn publish(shared: &Shared, verdicts: &[Verdict]) {
    if verdicts.is_empty() {
        return;
    }
    for verdict in verdicts {
        log_verdict(shared, verdict);
    }
    let now = shared.crash_time();
    let rows: Vec<_> = verdicts.iter().map(|verdict| VerdictRow::new(verdict, now)).collect();
    for rows in rows.chunks(MAX_ROWS) {
        dissemination::broadcast(shared, |range| {
            Payload::Verdicts(Verdicts { rows: rows.to_vec(), range })
        });
    }
}

fn log_verdict(shared: &Shared, verdict: &Verdict) {
    let event = match (verdict.blocked, verdict.trials) {
        (false, _) => "cleared",
        (true, 0) => "blocked",
        (true, _) => "trial",
    };
    shared.metrics.suspects(event);
    let since_ms = shared.crash_time().saturating_sub(verdict.since).as_millis();
    log::warn!(target: "request", key = format_compact!("{:x}", verdict.key).as_str(), version = verdict.version, event, since_ms,
        trials = verdict.trials; "verdict on a suspect");
}

/// Applies verdicts, after passing them on.
pub fn receive_verdicts(shared: &Shared, message: Verdicts) {
    let Verdicts { rows, range } = message;
    if let Some(KeyRange { first, last }) = range {
        dissemination::pass_on(shared, Range { first, last }, FAN_OUT, |range| {
            Payload::Verdicts(Verdicts { rows: rows.clone(), range })
        });
    }
    merge(shared, &rows);
}

/// Applies verdicts, and tells the holders which of them are refuted by what ran to its end here.
pub fn merge(shared: &Shared, rows: &[VerdictRow]) {
    if rows.is_empty() {
        return;
    }
    let now = shared.crash_time();
    let verdicts: Vec<_> = rows.iter().map(|row| row.verdict(now)).collect();
    let refuted = shared.suspects.merge(&verdicts, now);
    if refuted.is_empty() {
        return;
    }
    shared.metrics.suspects("refuted");
    tell_completions(shared, &refuted);
}

/// Returns the verdicts that go with the next state of this entry.
pub fn rows(shared: &Shared) -> Vec<VerdictRow> {
    let now = shared.crash_time();
    let verdicts = shared.suspects.take_turn(MAX_VERDICTS, now);
    verdicts.iter().map(|verdict| VerdictRow::new(verdict, now)).collect()
}
