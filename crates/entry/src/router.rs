//! Where a request goes: the target with the least load among those that serve it.

use crate::daemon::Shared;
use compact_str::CompactString;
use conf::resource::{Phase, Target};
use wire::{Request, Work};

/// Chooses the agent's address for a request.
pub(crate) fn choose(shared: &Shared, request: &Request) -> Option<CompactString> {
    let config = shared.config.borrow().clone();
    let able = config.targets().filter(|(_, target)| serves(target, request));
    let loads = able.map(|(_, target)| (target, shared.peers.load(&target.agent)));
    let least = loads.min_by_key(|(_, load)| load.as_ref().map_or(0, |load| load.running));
    least.map(|(target, _)| target.agent.clone())
}

fn serves(target: &Target, request: &Request) -> bool {
    let active = matches!(target.phase, Phase::Active);
    active
        && match &request.work {
            Some(Work::Prompt(prompt)) => target.models.iter().any(|m| *m == prompt.model),
            Some(Work::Call(call)) => !call.service.is_empty() && target.service == call.service,
            None => false,
        }
}
