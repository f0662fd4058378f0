//! Bookings at coordinators, and what they are told of engines.

use crate::cluster::entry_state::short_hash;
use crate::cluster::groups::{Group, Member};
use crate::cluster::messages::{Parts, Payload, Report, Transfer};
use crate::codec::Part;
use crate::exchange::coordination;
use crate::shared::Shared;
use crate::targets::target::Target;
use policy::reservations::ReservationId;
use policy::{Hash, groups};
use std::sync::Arc;
use std::time::Duration;

/// A booking at a coordinator, of a prompt to be read or a place for a stream. Dropped, it ends as that
/// of a prompt that was not read.
#[must_use]
pub struct Reservation {
    shared: Arc<Shared>,
    engine: Arc<Target>,
    booking: ReservationId,
    coordinator: Member,
    /// The hash of the prompt's longest shared start, if it is one of a prompt and not of a stream.
    start: Option<Hash>,
    ended: bool,
}

impl Reservation {
    /// A booking at `coordinator`: of a prompt that begins with `start`, or of a place for a stream.
    pub fn new(
        shared: &Arc<Shared>,
        engine: &Arc<Target>,
        booking: ReservationId,
        coordinator: Member,
        start: Option<Hash>,
    ) -> Self {
        let (shared, engine) = (shared.clone(), engine.clone());
        Self { shared, engine, booking, coordinator, start, ended: false }
    }

    /// Ends it: the engine has read the prompt and keeps these parts.
    pub fn read(mut self, parts: &[Part]) {
        self.end(Some(Parts::new(parts)), false);
    }

    /// Ends it: the engine could not be reached or broke off.
    pub fn failed(mut self) {
        self.end(None, true);
    }

    fn end(&mut self, kept: Option<Parts>, failed: bool) {
        self.ended = true;
        let engine = short_hash(self.engine.key);
        let report =
            Report { reservation: self.booking, engine, cached: kept, failed, transfer: None };
        let told = self.start.map(|start| tell(&self.shared, &self.engine, start, &report));
        if !told.unwrap_or_default().contains(&self.coordinator) {
            send(&self.shared, &self.coordinator, report);
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

/// Tells those that coordinate an engine that it keeps these parts, though nothing was booked there.
pub fn keeps(shared: &Shared, engine: &Target, start: Hash, parts: &[Part]) {
    let kept = Some(Parts::new(parts));
    tell(
        shared,
        engine,
        start,
        &Report { engine: short_hash(engine.key), cached: kept, ..Report::default() },
    );
}

/// Tells those that coordinate either of two engines how long KV cache took from one to the other.
///
/// A link that is slow makes all that is sent over it late. An entry moves a few KV caches a second to
/// each engine, so that alone it notices after seconds, and each of many entries does so for itself.
pub fn moved(shared: &Shared, from: &Target, to: &Target, took: Duration) {
    let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
    let moved = Some(Transfer { source: short_hash(from.key), duration_us: took_us });
    let report = Report { engine: short_hash(to.key), transfer: moved, ..Report::default() };
    let groups = shared.groups(&to.service);
    let ends = [from.key, to.key];
    let concerned = |group: &&Group| group.engines.iter().any(|e| ends.contains(&e.key));
    let mut told: Vec<Member> = Vec::new();
    for coordinator in groups.iter().filter(concerned).flat_map(|group| &group.coordinators) {
        // This entry has noted it already.
        if coordinator.address.is_some() && !told.contains(coordinator) {
            send(shared, coordinator, report.clone());
            told.push(*coordinator);
        }
    }
}

/// Tells a report to those that coordinate the engine's group and, if it says what the engine keeps, to
/// those of the group that is asked first for prompts with this start. Returns whom it told.
///
/// A start is looked for where its prompts ask first, but it is also kept by the engines of other
/// failure domains that wrote for it or read it while the first were full. Told to the engine's own
/// group alone, twice as many tokens of shared parts were read again on a small pool.
fn tell(shared: &Shared, engine: &Target, start: Hash, report: &Report) -> Vec<Member> {
    let groups = shared.groups(&engine.service);
    let listed = |group: &&Group| group.engines.iter().any(|other| other.key == engine.key);
    let own = groups.iter().find(listed);
    let first = order(&groups, start).first().map(|&at| &groups[at]);
    let first = first.filter(|_| report.cached.is_some());
    let mut told: Vec<Member> = Vec::new();
    for coordinator in own.into_iter().chain(first).flat_map(|group| &group.coordinators) {
        if !told.contains(coordinator) {
            send(shared, coordinator, report.clone());
            told.push(*coordinator);
        }
    }
    told
}

/// The order in which groups are asked for prompts with this start.
pub fn order(all: &[Group], start: Hash) -> Vec<usize> {
    let keys: Vec<Hash> = all.iter().map(|group| group.key).collect();
    let mut order = groups::order(&keys, start);
    order.truncate(groups::Settings::default().asked);
    order
}

fn send(shared: &Shared, coordinator: &Member, report: Report) {
    match coordinator.address {
        Some(address) => shared.post.send(Payload::Report(report), address),
        None => coordination::apply_report(shared, &report),
    }
}

impl std::fmt::Debug for Reservation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Reservation").field("booking", &self.booking).finish_non_exhaustive()
    }
}
