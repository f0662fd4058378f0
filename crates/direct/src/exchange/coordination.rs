//! Decides for all entries which engine of a group prefills a prompt or decodes a stream, see
//! [`policy::groups`].
//!
//! A coordinator records a reservation for each grant, so its view of an engine's queue lags only
//! by the network delay to the requester. It responds to every entry, whether or not it considers
//! itself the coordinator of the group: two entries that both coordinate a group for a moment make
//! a queue longer than intended, but break nothing.

mod decode;
mod permits;
mod prefill;

use crate::cluster::entry_state::short_hash;
use crate::cluster::groups::Group;
use crate::cluster::messages::{Payload, Report, Response};
use crate::config::route::Service;
use crate::shared::Shared;
use crate::targets::target::{Target, TransferDirection};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

pub use permits::observe_limit;

/// An engine that has work counts as unresponsive after this many times the objective for the first
/// token without a response.
const UNRESPONSIVE_FACTOR: u32 = 3;

/// Responds to a request; `None` if the message is no request, or its group or service is unknown
/// here.
pub fn respond(shared: &Shared, message: &Payload) -> Option<Response> {
    match message {
        Payload::PrefillRequest(request) => prefill::decide(shared, request),
        Payload::DecodeRequest(request) => decode::decide(shared, request),
        Payload::PermitRequest(request) => Some(permits::decide(shared, request)),
        Payload::Response(_)
        | Payload::Report(_)
        | Payload::LogRecords(_)
        | Payload::ConfigRequest(_)
        | Payload::UsageCounts(_)
        | Payload::BillingProgress(_)
        | Payload::TargetLimit(_)
        | Payload::Membership(_)
        | Payload::RecordsRequest(_)
        | Payload::QuotaRequest(_)
        | Payload::QuotaResponse(_)
        | Payload::QuotaRenewal(_)
        | Payload::QuotaReturn(_)
        | Payload::StreamOrigins(_)
        | Payload::OriginRequest(_)
        | Payload::VersionsRequest(_)
        | Payload::VersionsHandover(_)
        | Payload::CrashEvidence(_)
        | Payload::Verdicts(_) => None,
    }
}

/// Returns the service with this short hash.
pub(super) fn service(shared: &Shared, key: u32) -> Option<Arc<Service>> {
    let table = shared.table.borrow().clone()?;
    let mut services = table.services();
    services.find(|service| short_hash(policy::hash(&service.name)) == key).cloned()
}

/// Applies the reported outcome of a prompt.
pub fn apply_report(shared: &Shared, report: &Report) {
    let engines = shared.fleet().engines();
    let engine = engines.iter().find(|engine| short_hash(engine.key) == report.engine);
    // The engine has been removed, or is not yet listed here.
    let Some(engine) = engine else { return };
    shared.coordinator.release(engine.key, report.reservation);
    if let Some(parts) = &report.cached {
        engine.engine.record_cached(&parts.rows(), cache_capacity(shared, engine));
    }
    if let Some(transfer) = &report.transfer {
        let (now, duration) = (Instant::now(), Duration::from_micros(transfer.duration_us));
        engine.record_transfer(TransferDirection::In, duration, now);
        if let Some(source) =
            engines.iter().find(|engine| short_hash(engine.key) == transfer.source)
        {
            source.record_transfer(TransferDirection::Out, duration, now);
        }
    }
    if report.failed && !engine.is_unavailable(Duration::MAX, Instant::now()) {
        // If the engine crashed, a refused connection at its coordinator keeps all entries away
        // from it.
        let engine = engine.clone();
        tokio::spawn(async move {
            engine.check_listening().await;
        });
    }
}

/// Returns how many tokens this entry may assume to be cached by an engine. About an engine that
/// other entries coordinate, it receives reports only of prompts that are first requested from its
/// own groups. Their share is about that of its groups among all, and evictions by other prompts go
/// unreported.
fn cache_capacity(shared: &Shared, engine: &Target) -> u64 {
    let capacity = shared.kv_capacity(&engine.service);
    let groups = shared.groups(&engine.service);
    let is_own = |group: &&Group| group.coordinators.iter().any(|member| member.address.is_none());
    let contains = |group: &Group| group.engines.iter().any(|other| other.key == engine.key);
    if groups.iter().filter(is_own).any(contains) {
        return capacity;
    }
    let count = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
    capacity * count(groups.iter().filter(is_own).count()) / count(groups.len()).max(1)
}
