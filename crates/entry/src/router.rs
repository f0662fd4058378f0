//! Chooses the targets of a request from its model or service, stage, prefix and failure domain.

use crate::daemon::Shared;
use crate::target_table::{Criteria, SelectedTarget, service_key};
use crate::view::ConfiguredTarget;
use conf::Name;
use policy::estimate::Cost;
use policy::route::{Query, Stage};
use std::sync::Arc;
use wire::Prompt;

/// Returns up to two targets for a prompt, best first.
///
/// A new prompt goes to a prefill or mixed engine, a resumed one to a decode or mixed engine. An
/// engine with the wrong role is used if there is no other.
pub(crate) fn for_prompt(shared: &Shared, prompt: &Prompt, tried: &[Name]) -> Vec<SelectedTarget> {
    let (stage, fallback_stage) = match prompt.resume_tokens {
        0 => (Stage::Prefill, Stage::Decode),
        _ => (Stage::Decode, Stage::Prefill),
    };
    let query = query(shared, prompt, stage);
    let criteria = Criteria { query, fallback_stages: &[fallback_stage], tried };
    let decisions = &shared.decisions;
    decisions.targets.choose(&criteria, decisions.now(), decisions.random())
}

/// Returns the one target for a prompt that was running when a target crashed. All entries choose
/// the same one, so that the prompt runs alone there and a crash affects nothing else.
pub(crate) fn for_suspect(
    shared: &Shared,
    prompt: &Prompt,
    fingerprint: u64,
) -> Vec<SelectedTarget> {
    let query = query(shared, prompt, Stage::Whole);
    let system = shared.system.borrow().clone();
    let crashes = system.suspect(fingerprint).into_iter().flat_map(|suspect| suspect.crashes());
    let crashed: Vec<Name> = crashes.map(|crash| crash.target.clone()).collect();
    let targets = &shared.decisions.targets;
    targets.rendezvous(&prompt.model, &query, fingerprint, &crashed).into_iter().collect()
}

/// Returns up to two targets for a call that may be repeated, best first.
pub(crate) fn for_call(shared: &Shared, service: &str, tried: &[Name]) -> Vec<SelectedTarget> {
    let domain = policy::hash(&shared.domain);
    let query = Query { serves: service_key(service), domain, ..Query::default() };
    let criteria = Criteria { query, fallback_stages: &[], tried };
    let decisions = &shared.decisions;
    decisions.targets.choose(&criteria, decisions.now(), decisions.random())
}

/// Returns the target that runs the call with this key, by rendezvous hashing over all active
/// targets of the service, whether available or not.
///
/// Hashing over available targets would let two entries with different views of availability send a
/// call to two targets. The log would still let only one run it, but the other caller would be
/// refused without need.
pub(crate) fn target_for_key(
    shared: &Shared,
    service: &str,
    caller: &str,
    key: &str,
) -> Option<Arc<ConfiguredTarget>> {
    use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};
    let view = shared.view.borrow().clone();
    let seed = xxh3_64(format!("{service}\n{caller}\n{key}").as_bytes());
    let targets = view.service(service)?.targets.iter().filter(|target| target.is_active());
    targets.max_by_key(|target| xxh3_64_with_seed(target.name.as_bytes(), seed)).cloned()
}

fn query(shared: &Shared, prompt: &Prompt, stage: Stage) -> Query {
    let remaining_tokens = prompt.expected_tokens.saturating_sub(prompt.resume_tokens).max(1);
    Query {
        serves: policy::hash(&served_name(&prompt.model, &prompt.version, &prompt.adapter)),
        cost: Cost::new(u64::from(prompt.prompt_tokens), u64::from(remaining_tokens)),
        prefix: prompt.prefix,
        domain: policy::hash(&shared.domain),
        stage,
    }
}

/// Returns the name under which an engine serves a version of a model with an adapter; version and
/// adapter may be empty.
pub(crate) fn served_name(model: &str, version: &str, adapter: &str) -> String {
    let mut name = model.to_owned();
    if !version.is_empty() {
        name = format!("{name}@{version}");
    }
    if !adapter.is_empty() {
        name = format!("{name}+{adapter}");
    }
    name
}
