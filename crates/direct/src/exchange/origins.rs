//! Tells the holders of a stream at which software version it began, and asks them when a caller
//! takes it up at an entry that doesn't know, see [`policy::holders`].
//!
//! **What can go wrong.** The entry at which a stream began is killed, frozen or cut off; a holder,
//! too; datagrams are lost; an entry has just been started, or its list of targets is outdated. An
//! entry that isn't told goes on at no version: what it guessed would not fit to what the caller
//! has.
//!
//! Nothing is sent while all targets of a service have one version. When another one comes, the
//! streams that began before are told.

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
use policy::versions::Version;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// How often the holders are asked: a datagram may be lost.
const ROUNDS: usize = 2;

/// Returns the key of the stream of a service whose first event an attempt brought.
pub fn stream_key(service: &str, first_attempt: &str) -> StreamKey {
    policy::mix(policy::hash(service), policy::hash(first_attempt))
}

/// Records that a stream of a service began here, and tells its holders if targets of several
/// versions serve.
pub fn record(shared: &Shared, service: &ServiceName, origin: Origin) {
    let now = Instant::now();
    shared.origins.record(origin, policy::hash(service), now);
    if shared.fleet().has_several_versions(service, origin.ttl, now) {
        send(shared, &[origin]);
    }
}

/// Tells where the streams of services began of which targets of a second version have come.
pub fn publish_mixed(shared: &Shared) {
    let mixed = shared.fleet().take_mixed();
    for service in mixed {
        let origins = shared.origins.own(policy::hash(&service), Instant::now());
        log::info!(target: "fleet", service = service.as_str(), streams = origins.len();
            "several software versions");
        send(shared, &origins);
    }
}

fn send(shared: &Shared, origins: &[Origin]) {
    for (address, message) in shared.origins.datagrams(origins, &shared.peers.members()) {
        shared.peer_socket.send(Payload::StreamOrigins(message), address);
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

/// Returns the version at which a stream of a service began, at most `max_age` ago; `None` if nobody
/// knows.
pub async fn find(
    shared: &Shared,
    service: &ServiceName,
    stream: Option<StreamKey>,
    max_age: Duration,
    objective: Duration,
) -> Option<Version> {
    let own = known_here(shared, service, stream, max_age);
    if let Some(version) = own.settled() {
        return Some(version);
    }
    let members = shared.peers.members();
    if members.iter().all(|member| member.address.is_none()) {
        return own.sole_version;
    }
    let asked =
        shared.origins.asked(stream.unwrap_or_else(|| shared.peer_socket.unique_id()), &members);
    let mut answers = Vec::new();
    for _ in 0..ROUNDS {
        answers = ask(shared, service, stream, max_age, objective, &asked).await;
        if let Some(version) = answers.iter().find_map(OriginAnswer::settled) {
            return Some(version);
        }
        if answers.len() == asked.len() {
            break;
        }
    }
    // While the log can't be read, no entry sees a new version, so that all agree.
    let sole = own.sole_version.filter(|_| !answers.is_empty())?;
    answers.iter().all(|answer| answer.sole_version == Some(sole)).then_some(sole)
}

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
                    Decision::Granted(_) | Decision::Refused(_) | Decision::Permitted(_) => None,
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
    let age = shared.tail.age(Topic::Targets, now);
    let is_current = age.is_some_and(|age| age <= shared.tail.timing().change_bound);
    OriginAnswer { version, sole_version, is_current }
}

impl OriginAnswer {
    /// The version, if the answer settles at which one the stream began.
    fn settled(&self) -> Option<Version> {
        self.version.or(self.sole_version.filter(|_| self.is_current))
    }
}
