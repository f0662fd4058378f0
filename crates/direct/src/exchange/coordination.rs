//! Decides for the other entries which engine of a group reads a prompt or writes an output, see
//! [`policy::groups`].
//!
//! What it grants it books, so its view of an engine's queue is as old as the way to the entry that
//! was granted. It answers whoever asks, whether or not it holds itself responsible: two that both
//! coordinate a group for a moment make a queue longer than meant, and break nothing.

mod permits;
mod reading;
mod writing;

use crate::cluster::entry_state::short_hash;
use crate::cluster::groups::Group;
use crate::cluster::messages::{Payload, Report, Response};
use crate::config::route::Service;
use crate::shared::Shared;
use crate::targets::target::{Target, TransferDirection};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

pub use permits::hear as observe_limit;

/// An engine that has work counts as away when it has said nothing for so many times what a first
/// answer may take.
const SILENCE: u32 = 3;

/// Answers a question; `None` if it is none, or its group or service is not known here.
pub fn respond(shared: &Shared, question: &Payload) -> Option<Response> {
    match question {
        Payload::PrefillRequest(ask) => reading::decide(shared, ask),
        Payload::DecodeRequest(ask) => writing::decide(shared, ask),
        Payload::PermitRequest(ask) => Some(permits::decide(shared, ask)),
        Payload::Response(_)
        | Payload::Report(_)
        | Payload::News(_)
        | Payload::Lack(_)
        | Payload::UsageCounts(_)
        | Payload::BillingProgress(_)
        | Payload::TargetLimit(_) => None,
    }
}

fn service(shared: &Shared, key: u32) -> Option<Arc<Service>> {
    let table = shared.table.borrow().clone()?;
    let mut services = table.services();
    services.find(|service| short_hash(policy::hash(&service.name)) == key).cloned()
}

/// Takes in what became of a prompt.
pub fn apply_report(shared: &Shared, report: &Report) {
    let engines = shared.fleet().engines();
    let engine = engines.iter().find(|engine| short_hash(engine.key) == report.engine);
    // One that is gone, or that is not yet listed here.
    let Some(engine) = engine else { return };
    shared.coordinator.end(engine.key, report.reservation);
    if let Some(kept) = &report.cached {
        engine.engine.record_cached(&kept.rows(), room(shared, engine));
    }
    if let Some(moved) = &report.transfer {
        let (now, took) = (Instant::now(), Duration::from_micros(moved.duration_us));
        engine.record_transfer(TransferDirection::In, took, now);
        if let Some(from) = engines.iter().find(|engine| short_hash(engine.key) == moved.source) {
            from.record_transfer(TransferDirection::Out, took, now);
        }
    }
    if report.failed && !engine.is_unavailable(Duration::MAX, Instant::now()) {
        // One refused connection seen here keeps all entries away from an engine that crashed.
        let engine = engine.clone();
        tokio::spawn(async move {
            engine.check_listening().await;
        });
    }
}

/// How many tokens this entry may believe an engine to keep. Of one that others coordinate it hears
/// only about prompts that ask its own groups first, about as large a part as these are of all groups:
/// what pushes the rest out it does not hear.
fn room(shared: &Shared, engine: &Target) -> u64 {
    let memory = shared.kv_capacity(&engine.service);
    let groups = shared.groups(&engine.service);
    let ours = |group: &&Group| group.coordinators.iter().any(|member| member.address.is_none());
    let listed = |group: &Group| group.engines.iter().any(|other| other.key == engine.key);
    if groups.iter().filter(ours).any(listed) {
        return memory;
    }
    let count = |number: usize| u64::try_from(number).unwrap_or(u64::MAX);
    memory * count(groups.iter().filter(ours).count()) / count(groups.len()).max(1)
}
