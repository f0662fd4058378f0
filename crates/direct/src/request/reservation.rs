//! Reservations at coordinators, and the reports on engines that are sent to them.

use crate::cluster::entry_state::short_hash;
use crate::cluster::groups::{Group, Member};
use crate::cluster::messages::{Parts, Payload, Report, Transfer};
use crate::codec::Part;
use crate::exchange::coordination;
use crate::shared::Shared;
use crate::targets::target::Target;
use policy::distance::Distance;
use policy::reservations::ReservationId;
use policy::{Hash, groups};
use std::sync::Arc;
use std::time::Duration;

/// A reservation at a coordinator, for a prompt's prefill or for a decode slot. If it is dropped,
/// it ends like that of a prompt that was not prefilled.
#[must_use]
pub struct Reservation {
    shared: Arc<Shared>,
    engine: Arc<Target>,
    id: ReservationId,
    coordinator: Member,
    /// The prefix hash of the prompt; `None` if the reservation is for a decode slot.
    prefix_hash: Option<Hash>,
    ended: bool,
}

impl Reservation {
    /// A reservation at `coordinator`: for a prompt with this prefix hash, or for a decode slot.
    pub fn new(
        shared: &Arc<Shared>,
        engine: &Arc<Target>,
        id: ReservationId,
        coordinator: Member,
        prefix_hash: Option<Hash>,
    ) -> Self {
        let (shared, engine) = (shared.clone(), engine.clone());
        Self { shared, engine, id, coordinator, prefix_hash, ended: false }
    }

    /// Ends it: the engine has prefilled the prompt and caches these parts.
    pub fn complete(mut self, parts: &[Part]) {
        self.end(Some(Parts::new(parts)), false);
    }

    /// Ends it: the engine could not be reached or broke the connection.
    pub fn fail(mut self) {
        self.end(None, true);
    }

    fn end(&mut self, cached_parts: Option<Parts>, failed: bool) {
        self.ended = true;
        let engine = short_hash(self.engine.key);
        let report =
            Report { reservation: self.id, engine, cached: cached_parts, failed, transfer: None };
        let notified = self.prefix_hash.map(|prefix_hash| {
            send_to_coordinators(&self.shared, &self.engine, prefix_hash, &report)
        });
        if !notified.unwrap_or_default().contains(&self.coordinator) {
            send_report(&self.shared, &self.coordinator, report);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.ended {
            self.end(None, false);
        }
    }
}

/// Reports to an engine's coordinators that it caches these parts, though nothing was reserved
/// there.
pub fn publish_cached(shared: &Shared, engine: &Target, prefix_hash: Hash, parts: &[Part]) {
    let cached_parts = Some(Parts::new(parts));
    send_to_coordinators(
        shared,
        engine,
        prefix_hash,
        &Report { engine: short_hash(engine.key), cached: cached_parts, ..Report::default() },
    );
}

/// Reports to the coordinators of either of two engines how long a transfer of KV cache between
/// them took.
///
/// A slow link delays everything that is sent over it. An entry transfers a few KV caches a second
/// to each engine, so by itself it would notice only after seconds, and so would each of many
/// entries.
pub fn publish_transfer(
    shared: &Shared,
    source: &Target,
    destination: &Target,
    duration: Duration,
) {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    let measured = Some(Transfer { source: short_hash(source.key), duration_us: micros });
    let report =
        Report { engine: short_hash(destination.key), transfer: measured, ..Report::default() };
    let groups = shared.groups(&destination.service);
    let endpoints = [source.key, destination.key];
    let involves_either =
        |group: &&Group| group.engines.iter().any(|engine| endpoints.contains(&engine.key));
    let mut notified: Vec<Member> = Vec::new();
    for coordinator in groups.iter().filter(involves_either).flat_map(|group| &group.coordinators) {
        // This entry has recorded it already.
        if coordinator.address.is_some() && !notified.contains(coordinator) {
            send_report(shared, coordinator, report.clone());
            notified.push(*coordinator);
        }
    }
}

/// Sends a report to the coordinators of the engine's group and, if it lists cached parts, also to
/// those of the group that is asked first for prompts with this prefix hash in the engine's region.
/// Returns whom it was sent to.
///
/// A cached prefix is looked for in the group that its prompts ask first, but engines of other
/// failure domains also cache it after they decoded for it or prefilled it while the first were
/// full. When reports went to the engine's own group alone, twice as many tokens of shared parts
/// were prefilled again on a small pool.
fn send_to_coordinators(
    shared: &Shared,
    engine: &Target,
    prefix_hash: Hash,
    report: &Report,
) -> Vec<Member> {
    let groups = shared.groups(&engine.service);
    let lists_engine = |group: &&Group| group.engines.iter().any(|other| other.key == engine.key);
    let own = groups.iter().find(lists_engine);
    let first = first_group(shared, &groups, engine, prefix_hash);
    let first = first.filter(|_| report.cached.is_some());
    let mut notified: Vec<Member> = Vec::new();
    for coordinator in own.into_iter().chain(first).flat_map(|group| &group.coordinators) {
        if !notified.contains(coordinator) {
            send_report(shared, coordinator, report.clone());
            notified.push(*coordinator);
        }
    }
    notified
}

/// The group that is asked first for prompts with this prefix hash in the region of an engine.
fn first_group<'a>(
    shared: &Shared,
    groups: &'a [Group],
    engine: &Target,
    prefix_hash: Hash,
) -> Option<&'a Group> {
    let topology = &shared.settings.topology;
    let is_near =
        |group: &&Group| topology.distance(group.domain, engine.domain_key) < Distance::OtherRegion;
    let near: Vec<&Group> = groups.iter().filter(is_near).collect();
    let keys: Vec<Hash> = near.iter().map(|group| group.key).collect();
    groups::order(&keys, prefix_hash).first().map(|&at| near[at])
}

/// The order in which groups are asked for prompts with this prefix hash.
pub fn group_order(all: &[Group], prefix_hash: Hash) -> Vec<usize> {
    let keys: Vec<Hash> = all.iter().map(|group| group.key).collect();
    let mut order = groups::order(&keys, prefix_hash);
    order.truncate(groups::Settings::default().max_asked_groups);
    order
}

fn send_report(shared: &Shared, coordinator: &Member, report: Report) {
    match coordinator.address {
        Some(address) => shared.peer_socket.send(Payload::Report(report), address),
        None => coordination::apply_report(shared, &report),
    }
}

impl std::fmt::Debug for Reservation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Reservation").field("booking", &self.id).finish_non_exhaustive()
    }
}
