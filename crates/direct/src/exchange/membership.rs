//! Exchanges which entries are alive, see [`policy::membership`].
//!
//! An entry that starts knows at most a few addresses, its seeds, and those of entries that have
//! written heartbeats to the log. It asks one of them for all entries, page by page, and each
//! further page from another entry. The same happens when the digests of two entries differ.

use crate::cluster::member_updates::{
    self as wire, Action, Address, MemberUpdate, MembershipMessage, Page, ProbeId, ProbeThrough,
};
use crate::cluster::messages::Payload;
use crate::cluster::tail::READING;
use crate::exchange::{crashes, quota};
use crate::shared::Shared;
use policy::Hash;
use policy::membership::{Due, Node, PageRequest, Probe, Source, Update};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// How often probes and timeouts are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum number of updates in one datagram, which then crosses networks without
/// fragmentation.
const MAX_UPDATES: usize = 24;

/// The number of entries to which an entry that stops says so.
const FAREWELLS: usize = 8;

/// Exchanges the membership for the lifetime of the process.
pub async fn run(shared: Arc<Shared>, address: SocketAddr, stop: CancellationToken) {
    start(&shared, address);
    loop {
        let Due { probes, page_request } = shared.peers.directory.tick(shared.time());
        probes.iter().for_each(|probe| send_probe(&shared, probe));
        request_page(&shared, page_request);
        if shared.peers.directory.is_alone() {
            shared.settings.seeds.iter().filter(|seed| **seed != address).for_each(|seed| {
                join(&shared, *seed);
            });
        }
        refresh(&shared);
        tokio::select! {
            () = tokio::time::sleep(TICK_INTERVAL) => {}
            () = stop.cancelled() => break,
        }
    }
    if shared.quota.is_some() {
        tokio::time::sleep(quota::HANDOVER).await;
    }
    leave(&shared);
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        refresh(&shared);
    }
}

fn start(shared: &Shared, address: SocketAddr) {
    // Like in the datagrams of others, so that all entries compute the same order.
    #[expect(clippy::cast_possible_truncation, reason = "a rate needs few digits")]
    let link_rate = shared.settings.link.bytes_per_second as f32;
    let domain = policy::hash(&shared.settings.domain);
    let node = Node { key: shared.key(), domain, address, link_rate: link_rate.into() };
    let started = crate::cluster::clock::time_of_day() / 1_000;
    shared.peers.directory.start(node, started, policy::mix(node.key, started));
}

/// Makes changes of the membership known to the rest of the process.
fn refresh(shared: &Arc<Shared>) {
    let directory = &shared.peers.directory;
    if directory.refresh(shared.time()) {
        shared.tail.set_rank(directory.rank(READING));
        crashes::follow_holders(shared);
    }
    let count = directory.count();
    if count != shared.entries() {
        log::info!(target: "bulletin", entries = count, before = shared.entries();
            "entries changed");
        shared.set_entries(count);
    }
}

/// Announces that this entry leaves.
fn leave(shared: &Shared) {
    let directory = &shared.peers.directory;
    directory.with(|membership, _| membership.leave());
    for node in directory.sample(FAREWELLS) {
        send(shared, None, &[], node.address);
    }
}

/// Introduces this entry to another one, and asks it for all entries.
pub fn join(shared: &Shared, address: SocketAddr) {
    request_page(shared, Some(PageRequest { to: address, after: 0 }));
}

fn send_probe(shared: &Shared, probe: &Probe) {
    let Probe { to, through_to, sequence } = *probe;
    let action = match through_to {
        None => Action::Probe(ProbeId { sequence, origin: None }),
        Some(target) => {
            Action::ProbeThrough(ProbeThrough { sequence, target: Some(Address::new(target)) })
        }
    };
    send(shared, Some(action), &[], to);
}

/// Sends a message with these updates and the newest ones.
fn send(shared: &Shared, action: Option<Action>, updates: &[Update], to: SocketAddr) {
    let room = MAX_UPDATES.saturating_sub(updates.len());
    let newest = shared
        .peers
        .directory
        .with(|membership, _| (membership.updates(room, 1), membership.digest()));
    let Some((newest, digest)) = newest else { return };
    let updates = newest.iter().chain(updates).map(MemberUpdate::new).collect();
    let message = MembershipMessage { updates, digest, action };
    shared.peer_socket.send(Payload::Membership(message), to);
}

/// Applies what another entry tells of the membership, and corrects it where it is outdated.
pub fn apply(shared: &Shared, updates: &[MemberUpdate], source: Source, from: SocketAddr) {
    let updates: Vec<Update> = updates.iter().filter_map(MemberUpdate::update).collect();
    let corrections = shared.peers.directory.apply(&updates, source, shared.time());
    if !corrections.is_empty() {
        send(shared, None, &corrections, from);
    }
}

/// Handles a message.
pub fn receive(shared: &Shared, message: MembershipMessage, from: SocketAddr) {
    let MembershipMessage { updates, digest, action } = message;
    let source = match action {
        Some(Action::Page(_)) => Source::List,
        _ => Source::News,
    };
    apply(shared, &updates, source, from);
    handle_action(shared, action, from);
    let now = shared.time();
    let request = shared.peers.directory.with(|it, _| it.compare(digest, from, now)).flatten();
    request_page(shared, request);
}

fn handle_action(shared: &Shared, action: Option<Action>, from: SocketAddr) {
    let (directory, now) = (&shared.peers.directory, shared.time());
    match action {
        Some(Action::Probe(probe)) => acknowledge(shared, probe, from),
        Some(Action::Acknowledge(ProbeId { sequence, .. })) => {
            directory.with(|membership, _| membership.acknowledge(sequence));
        }
        Some(Action::ProbeThrough(ProbeThrough { sequence, target })) => {
            if let Some(target) = target.and_then(|target| target.socket_address()) {
                let origin = Some(Address::new(from));
                send(shared, Some(Action::Probe(ProbeId { sequence, origin })), &[], target);
            }
        }
        Some(Action::PageRequest(wire::PageRequest { after })) => send_page(shared, after, from),
        Some(Action::Page(Page { next })) => {
            let request = directory
                .with(|membership, random| membership.page_received(next, from, now, random))
                .flatten();
            request_page(shared, request);
        }
        None => {}
    }
}

/// Acknowledges a probe to the entry that made it.
fn acknowledge(shared: &Shared, probe: ProbeId, from: SocketAddr) {
    let ProbeId { sequence, origin } = probe;
    let to = origin.and_then(|origin| origin.socket_address()).unwrap_or(from);
    send(shared, Some(Action::Acknowledge(ProbeId { sequence, origin: None })), &[], to);
}

fn send_page(shared: &Shared, after: Hash, to: SocketAddr) {
    let page = shared.peers.directory.with(|membership, _| membership.page(after, MAX_UPDATES));
    if let Some((updates, next)) = page {
        send(shared, Some(Action::Page(Page { next })), &updates, to);
    }
}

fn request_page(shared: &Shared, request: Option<PageRequest>) {
    if let Some(PageRequest { to, after }) = request {
        send(shared, Some(Action::PageRequest(wire::PageRequest { after })), &[], to);
    }
}
