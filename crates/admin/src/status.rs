//! What has become of a resource: in force everywhere, and what it asks for reached.

use crate::api::{Condition, Member, Resource, Status};
use crate::{Process, ProcessKind};
use compact_str::{CompactString, format_compact};
use conf::resource::{Phase, Target};
use conf::{Kind, Spec};
use state::config::Entry;
use std::time::Duration;

/// After what silence a process counts as not heard: several heartbeats.
const SILENCE: Duration = Duration::from_secs(10);

/// A resource with its status, from what all other processes say of themselves.
pub(crate) fn resource(entry: &Entry, processes: &[Process]) -> Resource {
    Resource {
        kind: entry.resource.kind,
        name: entry.resource.name.clone(),
        spec: entry.resource.spec.clone(),
        generation: entry.generation,
        offset: entry.offset,
        author: entry.author.as_str().into(),
        status: status(entry, processes),
    }
}

fn status(entry: &Entry, processes: &[Process]) -> Status {
    let late = processes.iter().filter(|process| !has_applied(process, entry.offset));
    let lagging: Vec<CompactString> =
        late.map(|process| format_compact!("{} {}", process.kind.name(), process.name)).collect();
    let in_force = Condition {
        name: CompactString::const_new("in-force"),
        met: lagging.is_empty(),
        reason: lagging.join(", "),
    };
    let reached = reached(entry, processes);
    let ready = Condition {
        name: CompactString::const_new("ready"),
        met: in_force.met && reached.is_ok(),
        reason: match &reached {
            Err(reason) => reason.clone(),
            Ok(()) if in_force.met => String::new(),
            Ok(()) => format!("lagging: {}", in_force.reason),
        },
    };
    let observed_generation = if in_force.met { entry.generation } else { 0 };
    Status { observed_generation, lagging, conditions: vec![in_force, ready] }
}

/// Whether a process has said lately that it has applied the record at `offset`.
fn has_applied(process: &Process, offset: plat::Offset) -> bool {
    is_heard(process) && process.config_offset.is_some_and(|end| end > offset)
}

fn is_heard(process: &Process) -> bool {
    process.age.is_some_and(|age| age < SILENCE)
}

/// Whether the fleet is as the resource asks, or why not.
fn reached(entry: &Entry, processes: &[Process]) -> Result<(), String> {
    let name = entry.resource.name.as_str();
    let agents = || processes.iter().filter(|process| process.kind == ProcessKind::Agent);
    match &entry.spec {
        Spec::Target(target) => match agents().find(|agent| agent.name == name) {
            Some(agent) if is_heard(agent) => target_reached(target, agent),
            Some(_) | None => Err("its agent is not heard".to_owned()),
        },
        Spec::Model(_) => served(agents(), |served| served.split(['@', '+']).next() == Some(name)),
        Spec::Version(version) => {
            let full = format_compact!("{}@{name}", version.model);
            served(agents(), |served| served.split('+').next() == Some(full.as_str()))
        }
        Spec::Adapter(_) => served(agents(), |served| served.split('+').nth(1) == Some(name)),
        Spec::Caller(_) | Spec::Policy(_) => Ok(()),
    }
}

fn target_reached(target: &Target, agent: &Process) -> Result<(), String> {
    match target.phase {
        Phase::Joining => Ok(()),
        Phase::Leaving if agent.running + agent.waiting > 0 => {
            Err(format!("{} requests are still there", agent.running + agent.waiting))
        }
        Phase::Leaving => Ok(()),
        Phase::Active if !agent.accepting => Err("it takes no work yet".to_owned()),
        Phase::Active => match target.role {
            Some(role) if role.name() != agent.role => {
                Err(format!("its role is {}, not {} yet", agent.role, role.name()))
            }
            Some(_) | None => Ok(()),
        },
    }
}

/// Whether some target that takes work serves a name.
fn served<'a>(
    mut agents: impl Iterator<Item = &'a Process>,
    is_it: impl Fn(&str) -> bool,
) -> Result<(), String> {
    let serves = |agent: &Process| agent.serves.iter().any(|name| is_it(name));
    if agents.any(|agent| is_heard(agent) && agent.accepting && serves(agent)) {
        return Ok(());
    }
    Err("no target that takes work serves it".to_owned())
}

/// A process as operators see it.
pub(crate) fn member(process: Process) -> Member {
    Member {
        sort: CompactString::const_new(process.kind.name()),
        name: process.name,
        config_offset: process.config_offset,
        age_ms: process.age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        accepting: process.accepting,
        role: process.role,
        running: process.running,
        waiting: process.waiting,
    }
}

/// All kinds, for a listing of everything.
pub(crate) fn kinds(kind: Option<Kind>) -> Vec<Kind> {
    kind.map_or_else(|| Kind::ALL.to_vec(), |kind| vec![kind])
}
