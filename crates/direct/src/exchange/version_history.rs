//! Gets what other entries know of the software versions that targets had lately.
//!
//! **Load pattern.** All entries are stopped and started in turn, seconds apart. **Without this**, an
//! entry that has just been started knows of no time before, for as long as a stream may be taken up;
//! soon no entry has run for that long, and all streams that were cut off are refused although
//! targets have had one version all the while. **Approach.** Once an entry has the list of targets, it
//! asks a few others what they knew before, until that reaches back far enough; an entry that stops
//! tells a few. Only an entry whose list is up to date answers, and what it knows is taken over if
//! its list reaches to where the recipient's begins, so that there is no gap between the two.
//! Entries that are all started at once find nobody who knows more. They take what heartbeats in the
//! entries' stream say, and read in the log what has changed in the list since these were written.

use crate::cluster::messages::{
    Decision, Payload, Response, Versions, VersionsHandover, VersionsRequest,
};
use crate::cluster::peer_socket::Peer;
use crate::cluster::tail::{READERS, Topic};
use crate::exchange::follow::Decode;
use crate::exchange::origins;
use crate::shared::Shared;
use crate::targets::fleet::VersionRow;
use crate::targets::target;
use futures_util::future::join_all;
use plat::KeyedLog;
use policy::membership::Node;
use policy::versions::{MEMORY, Seen};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// How many entries are asked at once: one may have just been started, too.
const ASKED_PEERS: usize = 2;

/// The first pause between requests; it doubles up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// How often an entry checks whether its history has been restarted.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The longest pause between requests.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// How long to wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// The most reads of changes since a history was written: a megabyte each, in which a thousand targets
/// renew their records for some seconds.
const MAX_READS: u32 = 64;

/// The number of entries to which the history is sent on shutdown.
const RECIPIENTS: usize = 8;

/// Asks other entries whenever the versions are not known for as long as they are remembered.
pub async fn run(shared: Arc<Shared>, log: Arc<dyn KeyedLog>, decode: Arc<dyn Decode>) {
    let mut pause = MIN_PAUSE;
    loop {
        tokio::time::sleep(pause).await;
        if shared.fleet().history_span(Instant::now()) >= MEMORY {
            pause = CHECK_INTERVAL;
            continue;
        }
        // A history can only be merged once this entry sees all changes itself.
        let Some(position) = shared.tail.known_position(Topic::Targets) else { continue };
        shared.fleet().begin_list(position);
        // The others ask those that have read it.
        if shared.tail.rank() < READERS {
            inherit_from_log(&shared, &*log, &*decode).await;
        }
        let peers = shared.peers.directory.sample(ASKED_PEERS);
        if peers.is_empty() {
            continue;
        }
        join_all(peers.iter().map(|peer| request(&shared, peer))).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

/// Merges the history that an entry last wrote to the log, with all changes of the list since then.
async fn inherit_from_log(shared: &Shared, log: &dyn KeyedLog, decode: &dyn Decode) {
    let Some((logged, start)) = shared.fleet().take_logged_history() else { return };
    let mut history = logged.clone();
    let stream = decode.target_stream();
    let mut next = history.end;
    let mut calls = 0;
    while next < start {
        calls += 1;
        let read = log.changes(stream, next, Duration::ZERO).await;
        let (records, end) = match read {
            Ok(read) if read.1 > next && calls <= MAX_READS => read,
            Ok(_) => return,
            Err(error) => {
                log::info!(target: "fleet", error:% = error; "changes of versions not read");
                // Changes that have expired do not come back.
                if !matches!(error, plat::Error::Gone { .. }) {
                    shared.fleet().offer_logged_history(logged);
                }
                return;
            }
        };
        let versions = records.iter().filter_map(|record| {
            let record = decode.target_record(record.value.as_ref()?).ok()?;
            let version = target::software_key(record.software.as_deref());
            // It may have been there until now.
            let seen = Seen { version, age: Duration::ZERO, settled: false };
            Some(VersionRow { service: policy::hash(&record.service), seen })
        });
        for row in versions {
            if !history.rows.iter().any(|known| known.is_same(&row)) {
                history.rows.push(row);
            }
        }
        next = end;
    }
    history.end = history.end.max(start);
    if shared.fleet().inherit_versions(&history, Instant::now()) {
        log::info!(target: "fleet", span_ms = history.span.as_millis(),
            versions = history.rows.len(), calls;
            "software versions known from the log");
        origins::publish_mixed(shared);
    }
}

async fn request(shared: &Shared, node: &Node) {
    let id = shared.peer_socket.unique_id();
    let peer = Peer { key: node.key, distance: shared.distance_from_here(node.domain) };
    let mut pending = shared.peer_socket.expect_response(id, peer, node.address);
    let request = VersionsRequest { reservation: id };
    shared.peer_socket.send(Payload::VersionsRequest(request), node.address);
    let Ok(Ok(response)) = timeout(RESPONSE_TIMEOUT, &mut pending.response).await else { return };
    match response.decision {
        Some(Decision::Versions(versions)) => inherit(shared, &versions),
        Some(
            Decision::Granted(_)
            | Decision::Refused(_)
            | Decision::Permitted(_)
            | Decision::Origin(_),
        )
        | None => {}
    }
}

fn inherit(shared: &Shared, versions: &Versions) {
    let Some(history) = versions.history() else { return };
    if shared.fleet().inherit_versions(&history, Instant::now()) {
        log::info!(target: "fleet", span_ms = history.span.as_millis(),
            versions = history.rows.len();
            "software versions known from another entry");
        origins::publish_mixed(shared);
    }
}

/// Answers another entry, unless the list of targets here is outdated.
pub fn respond(shared: &Shared, request: &VersionsRequest, to: SocketAddr) {
    let Some(versions) = own_history(shared) else { return };
    let decision = Some(Decision::Versions(versions));
    let response = Response { reservation: request.reservation, decision };
    shared.peer_socket.send(Payload::Response(response), to);
}

/// Sends the history to some other entries. Called on shutdown.
pub fn hand_over(shared: &Shared) {
    let Some(versions) = own_history(shared) else { return };
    let directory = &shared.peers.directory;
    for node in directory.sample(RECIPIENTS) {
        let incarnation = directory.with(|members, _| members.live_incarnation(node.key)).flatten();
        let Some(recipient) = incarnation else { continue };
        let handover = VersionsHandover { recipient, versions: Some(versions.clone()) };
        shared.peer_socket.send(Payload::VersionsHandover(handover), node.address);
    }
}

/// Merges the history of an entry that shuts down.
pub fn receive(shared: &Shared, handover: &VersionsHandover) {
    let own = shared.peers.directory.with(|members, _| members.own().incarnation);
    if own == Some(handover.recipient)
        && let Some(versions) = &handover.versions
    {
        inherit(shared, versions);
    }
}

/// Returns the history of this entry; `None` if its list of targets is outdated.
pub fn own_history(shared: &Shared) -> Option<Versions> {
    let now = Instant::now();
    let age = shared.tail.age(Topic::Targets, now)?;
    if age > shared.tail.timing().change_bound {
        return None;
    }
    let end = shared.tail.known_position(Topic::Targets)?;
    Versions::new(&shared.fleet().version_history(end, now))
}
