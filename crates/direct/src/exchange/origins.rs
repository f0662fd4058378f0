//! Tells the holders of a stream at which software version it began, and asks them when a caller
//! takes it up at an entry that doesn't know, see [`policy::holders`].
//!
//! **What can go wrong.** The entry at which a stream began is killed, frozen or cut off; a holder,
//! too; datagrams are lost; an entry has just been started, or its list of targets is outdated. An
//! entry that isn't told goes on at no version: what it guessed would not fit to what the caller
//! has.
//!
//! Holders are told also while all targets of a service have one version: what entries know of versions
//! may be lost with the log's records, or with all processes. When another version comes, they are
//! told again, as datagrams may have been lost. An entry that stops hands over all that it knows to
//! those that will be asked once it is gone, so that nothing is lost if all entries are stopped and
//! started one after the other.

use crate::cluster::entry_state::short_hash;
use crate::cluster::groups::Member;
use crate::cluster::messages::{Decision, OriginAnswer, OriginRequest, Payload, Response};
use crate::cluster::origins::{Origin, StreamKey};
use crate::cluster::peer_socket::Peer;
use crate::cluster::tail::Topic;
use crate::config::route::ServiceName;
use crate::exchange::coordination;
use crate::shared::Shared;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use policy::holders::{ASKED, HOLDERS};
use policy::versions::{MAX_CURRENT_AGE, Version};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// How often the holders are asked: a datagram may be lost.
const ROUNDS: usize = 2;

/// The number of datagrams that are sent at once on shutdown.
const BURST: usize = 16;

/// The interval between bursts, which keeps them from filling slow links.
const BURST_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the key of the stream of a service whose first event an attempt brought.
pub fn stream_key(service: &str, first_attempt: &str) -> StreamKey {
    policy::mix(policy::hash(service), policy::hash(first_attempt))
}

/// Records that a stream of a service began here, and tells its holders.
pub fn record(shared: &Shared, service: &ServiceName, origin: Origin) {
    shared.origins.record(origin, policy::hash(service), Instant::now());
    send(shared, &[origin]);
}

/// Tells where the streams of services began of which a second version has become known.
pub fn publish_mixed(shared: &Shared) {
    let mixed = shared.fleet().take_mixed();
    for service in mixed {
        let origins = shared.origins.own(service, Instant::now());
        let name = coordination::service(shared, short_hash(service));
        log::info!(target: "fleet", service = name.as_ref().map_or("", |it| it.name.as_str()),
            streams = origins.len(); "several software versions");
        send(shared, &origins);
    }
}

fn send(shared: &Shared, origins: &[Origin]) {
    let members = shared.peers.members();
    for (address, message) in shared.origins.datagrams(origins, HOLDERS, &members) {
        shared.peer_socket.send(Payload::StreamOrigins(message), address);
    }
}

/// Sends all known origins to the entries that will be asked for them once this one is gone. Called on
/// shutdown.
pub async fn hand_over(shared: &Shared) {
    let origins = shared.origins.all(Instant::now());
    if origins.is_empty() {
        return;
    }
    let datagrams = shared.origins.datagrams(&origins, ASKED, &shared.peers.members());
    log::info!(target: "request", streams = origins.len(), datagrams = datagrams.len();
        "origins of streams handed over");
    for burst in datagrams.chunks(BURST) {
        for (address, message) in burst {
            shared.peer_socket.send(Payload::StreamOrigins(message.clone()), *address);
        }
        tokio::time::sleep(BURST_INTERVAL).await;
    }
}

/// Answers another entry.
pub fn respond(shared: &Shared, request: &OriginRequest, to: SocketAddr) {
    let service = coordination::service(shared, request.service);
    let max_age = Duration::from_millis(request.max_age_ms.into());
    let answer = service.map(|service| known_here(shared, &service.name, request.stream, max_age));
    let decision = Some(Decision::Origin(answer.unwrap_or_default()));
    let response = Response { reservation: request.reservation, decision };
    shared.peer_socket.send(Payload::Response(response), to);
}

/// What the search for the origin of a stream found.
#[derive(Debug, Clone, Copy, Default)]
pub struct Found {
    /// The version at which the stream began; `None` if nobody knows.
    pub version: Option<Version>,
    /// How many other entries were asked.
    pub asked: usize,
    /// How many of them answered.
    pub answered: usize,
}

/// Finds the version at which a stream of a service began, at most `max_age` ago.
pub async fn find(
    shared: &Shared,
    service: &ServiceName,
    stream: Option<StreamKey>,
    max_age: Duration,
    objective: Duration,
) -> Found {
    let own = known_here(shared, service, stream, max_age);
    let settled = own.settled();
    if settled.is_some() {
        return Found { version: settled, ..Found::default() };
    }
    let members = shared.peers.members();
    if members.iter().all(|member| member.address.is_none()) {
        return find_alone(shared, service, stream, max_age, own).await;
    }
    let asked =
        shared.origins.asked(stream.unwrap_or_else(|| shared.peer_socket.unique_id()), &members);
    let mut answers = Vec::new();
    for _ in 0..ROUNDS {
        answers = ask(shared, service, stream, max_age, objective, &asked).await;
        let version = answers.iter().find_map(OriginAnswer::settled);
        if version.is_some() {
            return Found { version, asked: asked.len(), answered: answers.len() };
        }
        if answers.len() == asked.len() {
            break;
        }
    }
    // While the log can't be read, no entry sees a new version, so that all agree.
    let sole = own.sole_version.filter(|_| !answers.is_empty());
    let version = sole.filter(|_| answers.iter().all(|answer| answer.sole_version == sole));
    Found { version, asked: asked.len(), answered: answers.len() }
}

/// The same where no other entry can be asked. Others that this one can't reach may have begun streams
/// at a version that it does not know, unless it reaches the log.
async fn find_alone(
    shared: &Shared,
    service: &ServiceName,
    stream: Option<StreamKey>,
    max_age: Duration,
    own: OriginAnswer,
) -> Found {
    if !shared.peers.directory.has_met_others() {
        return Found { version: own.sole_version, ..Found::default() };
    }
    let deadline = Instant::now() + OWN_READ_WAIT;
    loop {
        let settled = known_here(shared, service, stream, max_age).settled();
        let left = deadline.saturating_duration_since(Instant::now());
        if settled.is_some() || left.is_zero() {
            return Found { version: settled, ..Found::default() };
        }
        shared.tail.wait_for_update(left.min(OWN_READ_CHECK)).await;
    }
}

/// How long an entry that is alone waits for its own next read of the list.
const OWN_READ_WAIT: Duration = Duration::from_millis(1_000);

/// How often it looks whether it has read.
const OWN_READ_CHECK: Duration = Duration::from_millis(50);

/// Asks some entries at once. Returns their answers, up to the first that settles it.
async fn ask(
    shared: &Shared,
    service: &ServiceName,
    stream: Option<StreamKey>,
    max_age: Duration,
    objective: Duration,
    asked: &[Member],
) -> Vec<OriginAnswer> {
    let requests = asked.iter().filter_map(|member| Some((member, member.address?)));
    let mut pending: FuturesUnordered<_> = requests
        .map(|(member, address)| {
            let id = shared.peer_socket.unique_id();
            let peer = Peer { key: member.key, distance: shared.distance_from_here(member.domain) };
            let wait = shared.peer_socket.wait(peer, objective);
            let mut pending = shared.peer_socket.expect_response(id, peer, address);
            let max_age_ms = u32::try_from(max_age.as_millis()).unwrap_or(u32::MAX);
            let service = short_hash(policy::hash(service));
            let request = OriginRequest { reservation: id, stream, service, max_age_ms };
            shared.peer_socket.send(Payload::OriginRequest(request), address);
            async move {
                let response = timeout(wait, &mut pending.response).await.ok()?.ok()?;
                match response.decision? {
                    Decision::Origin(answer) => Some(answer),
                    Decision::Granted(_)
                    | Decision::Refused(_)
                    | Decision::Permitted(_)
                    | Decision::Versions(_) => None,
                }
            }
        })
        .collect();
    let mut answers = Vec::new();
    while let Some(answer) = pending.next().await {
        let Some(answer) = answer else { continue };
        answers.push(answer);
        if answer.settled().is_some() {
            break;
        }
    }
    answers
}

/// Returns what this entry knows of the origin of a stream.
fn known_here(
    shared: &Shared,
    service: &ServiceName,
    stream: Option<StreamKey>,
    max_age: Duration,
) -> OriginAnswer {
    let now = Instant::now();
    let version = stream.and_then(|stream| shared.origins.get(stream, now));
    let sole_version = shared.fleet().sole_version(service, max_age, now);
    OriginAnswer { version, sole_version, is_current: has_current_list(shared, now) }
}

/// Whether a version that is not listed here can't have begun a stream yet.
fn has_current_list(shared: &Shared, now: Instant) -> bool {
    shared.tail.began(Topic::Targets).is_some_and(|began| {
        now.saturating_duration_since(began) <= MAX_CURRENT_AGE
            && !shared.freezes.ended_since(began, now)
    })
}

impl OriginAnswer {
    /// The version, if the answer settles at which one the stream began.
    fn settled(&self) -> Option<Version> {
        self.version.or(self.sole_version.filter(|_| self.is_current))
    }
}
