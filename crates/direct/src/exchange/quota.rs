//! Exchanges leases and tokens of customers' limits with the other entries, see [`policy::quota`].
//!
//! **What can go wrong.** A holder is killed, frozen, cut off or new: it sends no answer, and gets no
//! share once the lease has ended. Datagrams are lost, duplicated or late: every message of an entry
//! carries an id and the newest stamp of the recipient, by which the recipient recognizes them.

use crate::cluster::messages::{Payload, QuotaResponse};
use crate::cluster::quota::{Counts, Due, Followup, Quota};
use crate::shared::Shared;
use policy::quota::{EntryKey, PARTITIONS};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// How often the number of entries is observed while no customer has a limit.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// How long an entry that stops still counts as live, so that others take back what they lent to it
/// while it answers: longer than the interval of renewals.
pub const HANDOVER: Duration = Duration::from_millis(400);

/// The shortest interval between two rounds of renewals.
const MIN_INTERVAL: Duration = Duration::from_millis(20);

/// Renews this entry's leases for the lifetime of the process. Ends at once where no limits are in
/// force.
pub async fn run(shared: Arc<Shared>, address: SocketAddr, stop: CancellationToken) {
    let Some(quota) = &shared.quota else { return };
    let others: HashSet<_> =
        shared.settings.seeds.iter().filter(|seed| **seed != address).collect();
    let has_seeds = !others.is_empty();
    quota.with(|state, _| state.lender.set_least_entries(others.len() + 1));
    let mut table = shared.table.subscribe();
    let mut fractions = [0.0; PARTITIONS as usize];
    let (mut has_met_others, mut departures, mut known_version) = (false, 0, 0);
    loop {
        if stop.is_cancelled() {
            quota.with(|state, _| state.leave());
        }
        observe_departures(&shared, quota, &mut departures);
        has_met_others |= !shared.peers.directory.is_alone();
        let count = if has_seeds && !has_met_others { 0 } else { shared.peers.directory.count() };
        observe_entries(&shared, quota, count);
        let (any_limit, version) = match table.borrow_and_update().as_ref() {
            Some(table) => (table.any_limit(), table.version),
            None => (false, 0),
        };
        let interval = if any_limit {
            if std::mem::replace(&mut known_version, version) != version {
                quota.with(|state, _| state.observe_version(version));
            }
            renew(&shared, quota);
            quota.with(|state, now| state.lender.interval(now))
        } else {
            IDLE_INTERVAL
        };
        report(&shared, quota, &mut fractions);
        tokio::time::sleep(MIN_INTERVAL).await;
        tokio::select! {
            () = tokio::time::sleep(interval.saturating_sub(MIN_INTERVAL)) => {}
            () = quota.due.notified() => {}
            changed = table.changed() => if changed.is_err() { return },
            () = stop.cancelled(), if !quota.with(|state, _| state.is_leaving()) => {}
        }
    }
}

fn observe_departures(shared: &Shared, quota: &Quota, known: &mut usize) {
    let departed = shared.peers.directory.departures();
    let new = departed.saturating_sub(std::mem::replace(known, departed));
    if new > 0 {
        quota.with(|state, now| state.lender.observe_departures(new, now));
    }
}

fn observe_entries(shared: &Shared, quota: &Quota, count: u32) {
    let count = usize::try_from(count).unwrap_or(usize::MAX);
    let unchanged = shared.peers.directory.unchanged(shared.time());
    quota.with(|state, now| state.lender.observe_entries(count, unchanged, now));
}

fn renew(shared: &Shared, quota: &Quota) {
    let members = shared.peers.members();
    let unique_id = || shared.peer_socket.unique_id();
    let Due { renewals, returns } = quota.with(|state, now| state.renew(&members, unique_id, now));
    for (holder, renewal) in renewals {
        send(shared, holder, Payload::QuotaRenewal(renewal));
    }
    for (holder, message) in returns {
        send(shared, holder, Payload::QuotaReturn(message));
    }
}

/// Sends a message to an entry, unless it is no longer known.
pub fn send(shared: &Shared, to: EntryKey, payload: Payload) {
    if let Some(address) = shared.peers.directory.address(to) {
        shared.peer_socket.send(payload, address);
    }
}

/// Publishes metrics, and logs partitions that this entry has begun or ceased to coordinate.
fn report(shared: &Shared, quota: &Quota, fractions: &mut [f64]) {
    let counts = quota.with(|state, now| state.take_counts(now));
    if counts != Counts::default() {
        record(shared, &counts);
    }
    for (partition, known) in (0..PARTITIONS).zip(fractions) {
        let fraction = quota.with(|state, now| state.fraction(partition, now));
        if fraction == *known {
            continue;
        }
        shared.metrics.quota_fraction(partition, fraction);
        if *known == 0.0 {
            log::info!(target: "quota", partition, fraction; "partition gained");
        } else if fraction == 0.0 {
            log::info!(target: "quota", partition; "partition lost");
        }
        *known = fraction;
    }
}

fn record(shared: &Shared, counts: &Counts) {
    let Counts { gained, lost, expired, granted, used, refunded, unspent } = *counts;
    for (kind, count) in [("gained", gained), ("lost", lost), ("expired", expired)] {
        shared.metrics.quota_leases(kind, count);
    }
    let tokens =
        [("granted", granted), ("used", used), ("refunded", refunded), ("unspent", unspent)];
    for (kind, amount) in tokens {
        shared.metrics.quota_tokens(kind, amount);
    }
}

/// Handles a message of another entry.
pub fn receive(shared: &Shared, payload: Payload, from: SocketAddr) {
    let Some(quota) = &shared.quota else { return };
    let response = match payload {
        Payload::QuotaRequest(request) => {
            quota.with(|state, now| state.respond(&request, now)).map(Payload::QuotaResponse)
        }
        Payload::QuotaRenewal(renewal) => quota
            .with(|state, now| state.respond_to_renewal(&renewal, now))
            .map(Payload::QuotaResponse),
        Payload::QuotaReturn(message) => {
            let confirmation = quota.with(|state, now| state.apply_return(&message, now));
            if message.confirmed {
                quota.due.notify_one();
            }
            confirmation.map(Payload::QuotaReturn)
        }
        Payload::QuotaResponse(response) => {
            deliver(shared, quota, &response);
            None
        }
        _ => None,
    };
    if let Some(response) = response {
        shared.peer_socket.send(response, from);
    }
}

fn deliver(shared: &Shared, quota: &Quota, response: &QuotaResponse) {
    match quota.with(|state, now| state.deliver(response, now)) {
        Followup::Nothing => return,
        Followup::NewHolder => return quota.due.notify_one(),
        Followup::Repeat => {}
    }
    let (members, id) = (shared.peers.members(), shared.peer_socket.unique_id());
    let renewal = quota.with(|state, now| state.renewal_for(response.holder, &members, id, now));
    if let Some(renewal) = renewal {
        send(shared, response.holder, Payload::QuotaRenewal(renewal));
    }
}
