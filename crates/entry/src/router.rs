//! Where a request goes: which targets may run it, and which of them are best.

use crate::daemon::Shared;
use crate::view::Site;
use conf::Name;
use conf::resource::Role;
use std::sync::Arc;
use std::time::Duration;
use wire::{Load, Prompt};

/// A target that may run a request.
pub(crate) struct Choice {
    pub(crate) site: Arc<Site>,
    /// The role that its engine really has, as last heard.
    pub(crate) role: Role,
    /// Whether it has room at once, as last heard.
    pub(crate) idle: bool,
    /// Estimated wait before the request's own work begins.
    pub(crate) wait: Duration,
}

/// Loads older than this tell nothing any more; ten lost pings.
const STALE: Duration = Duration::from_secs(10);

/// The wait assumed of a target whose load is not known: not the best, not the worst.
const UNKNOWN_WAIT: Duration = Duration::from_millis(50);

/// What another failure domain costs: a short hop there and back.
const OTHER_DOMAIN: Duration = Duration::from_millis(5);

/// What a target that is not connected costs: its agent may be down.
const NOT_CONNECTED: Duration = Duration::from_secs(5);

/// What a target costs that failed this request before.
const TRIED: Duration = Duration::from_secs(600);

/// The best targets for a prompt, best first, at most two.
///
/// A fresh prompt goes to a prefill or mixed engine, a resumed one to a decode or mixed engine;
/// an engine of the wrong role is better than none.
pub(crate) fn for_prompt(shared: &Shared, prompt: &Prompt, tried: &[Name]) -> Vec<Choice> {
    let view = shared.view.borrow().clone();
    let Some(model) = view.model(&prompt.model) else { return Vec::new() };
    let served = served_name(prompt);
    let able = model.sites.iter().filter_map(|site| consider(shared, site, Some(&served)));
    let fresh = prompt.resume_tokens == 0;
    let cost = |choice: &Choice| {
        let misfit = match choice.role {
            Role::Mixed => Duration::ZERO,
            Role::Prefill if fresh => Duration::ZERO,
            Role::Decode if !fresh => Duration::ZERO,
            Role::Prefill | Role::Decode => NOT_CONNECTED,
        };
        misfit + cost(shared, choice, tried)
    };
    best(able, cost)
}

/// The best targets for a call that may be repeated, best first, at most two.
pub(crate) fn for_call(shared: &Shared, service: &str, tried: &[Name]) -> Vec<Choice> {
    let view = shared.view.borrow().clone();
    let Some(service) = view.service(service) else { return Vec::new() };
    let able = service.sites.iter().filter_map(|site| consider(shared, site, None));
    best(able, |choice| cost(shared, choice, tried))
}

/// The home of a key: the one target that runs the call, by rendezvous hash over the targets that
/// the configuration has in service, whether they are alive or not.
///
/// Were it over the live ones, two entries that see different ones alive would run a call twice,
/// if the log did not stop the second; so it would be refused where it could have been answered.
pub(crate) fn home(shared: &Shared, service: &str, caller: &str, key: &str) -> Option<Arc<Site>> {
    use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};
    let view = shared.view.borrow().clone();
    let seed = xxh3_64(format!("{service}\n{caller}\n{key}").as_bytes());
    let sites = view.service(service)?.sites.iter().filter(|site| site.is_active());
    sites.max_by_key(|site| xxh3_64_with_seed(site.name.as_bytes(), seed)).cloned()
}

fn best(able: impl Iterator<Item = Choice>, cost: impl Fn(&Choice) -> Duration) -> Vec<Choice> {
    const MOST: usize = 2;
    let mut best: Vec<(Duration, Choice)> = Vec::with_capacity(MOST + 1);
    for choice in able {
        let cost = cost(&choice);
        let at = best.partition_point(|(other, _)| *other <= cost);
        if at < MOST {
            best.insert(at, (cost, choice));
            best.truncate(MOST);
        }
    }
    best.into_iter().map(|(_, choice)| choice).collect()
}

fn cost(shared: &Shared, choice: &Choice, tried: &[Name]) -> Duration {
    let penalty = |applies: bool, cost: Duration| if applies { cost } else { Duration::ZERO };
    let site = &choice.site;
    choice.wait
        + penalty(site.spec.domain != shared.domain, OTHER_DOMAIN)
        + penalty(!site.peer.is_up(), NOT_CONNECTED)
        + penalty(tried.contains(&site.name), TRIED)
}

/// Whether a target may have new work, and what is known of it.
fn consider(shared: &Shared, site: &Arc<Site>, served: Option<&str>) -> Option<Choice> {
    if !site.is_active() || shared.members.is_leaving(&site.name) {
        return None;
    }
    let heard = site.peer.heard().filter(|heard| heard.at.elapsed() < STALE);
    let Some(heard) = heard else {
        let (role, wait) = (site.spec.role.unwrap_or_default(), UNKNOWN_WAIT);
        return Some(Choice { site: site.clone(), role, idle: false, wait });
    };
    let load = &heard.load;
    let serves = |name: &str| load.serves.is_empty() || load.serves.iter().any(|s| s == name);
    if !load.accepting || !served.is_none_or(serves) {
        return None;
    }
    let idle = load.waiting == 0 && load.running < load.slots;
    Some(Choice { site: site.clone(), role: role_of(load), idle, wait: wait_of(load) })
}

fn role_of(load: &Load) -> Role {
    match load.role.as_str() {
        "prefill" => Role::Prefill,
        "decode" => Role::Decode,
        _ => Role::Mixed,
    }
}

/// How long the work that a target has would keep a new request waiting.
fn wait_of(load: &Load) -> Duration {
    let per_slot = |tokens: u64, rate: u32| {
        let millis = tokens.saturating_mul(1_000) / u64::from(rate.max(1));
        if rate == 0 { Duration::from_millis(tokens / 100) } else { Duration::from_millis(millis) }
    };
    let work = per_slot(load.prompt_tokens, load.prefill_rate)
        + per_slot(load.output_tokens, load.decode_rate);
    work.max(Duration::from_millis(load.wait_ms))
        + Duration::from_micros(100) * (load.running + load.waiting)
}

/// The name under which an engine serves what a prompt asks for.
fn served_name(prompt: &Prompt) -> String {
    let mut name = prompt.model.clone();
    if !prompt.version.is_empty() {
        name = format!("{name}@{}", prompt.version);
    }
    if !prompt.adapter.is_empty() {
        name = format!("{name}+{}", prompt.adapter);
    }
    name
}
