//! The status of a resource: whether it is in effect everywhere and its desired state is reached.

use crate::api::{Condition, Member, Resource, Status};
use crate::{Process, ProcessKind};
use compact_str::{CompactString, format_compact};
use conf::resource::{Phase, Target};
use conf::{Kind, Spec};
use state::config::Entry;
use std::time::Duration;

/// The age from which a report is out of date: several heartbeats.
const REPORT_TIMEOUT: Duration = Duration::from_secs(10);

/// A resource with its status, computed from the reports of all processes.
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
    let behind = processes.iter().filter(|process| !has_applied(process, entry.offset));
    let lagging: Vec<CompactString> =
        behind.map(|process| format_compact!("{} {}", process.kind.name(), process.name)).collect();
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

/// Whether a process has recently reported that it has applied the record at `offset`.
fn has_applied(process: &Process, offset: plat::Offset) -> bool {
    reported_recently(process) && process.config_offset.is_some_and(|end| end > offset)
}

fn reported_recently(process: &Process) -> bool {
    process.age.is_some_and(|age| age < REPORT_TIMEOUT)
}

/// Checks whether the fleet has reached the resource's desired state; the error is the reason why
/// not.
fn reached(entry: &Entry, processes: &[Process]) -> Result<(), String> {
    let name = entry.resource.name.as_str();
    let agents = || processes.iter().filter(|process| process.kind == ProcessKind::Agent);
    match &entry.spec {
        Spec::Target(target) => match agents().find(|agent| agent.name == name) {
            Some(agent) if reported_recently(agent) => target_reached(target, agent),
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

/// Checks whether some target that accepts work serves a matching name.
fn served<'a>(
    mut agents: impl Iterator<Item = &'a Process>,
    matches: impl Fn(&str) -> bool,
) -> Result<(), String> {
    let serves = |agent: &Process| agent.serves.iter().any(|name| matches(name));
    if agents.any(|agent| reported_recently(agent) && agent.accepting && serves(agent)) {
        return Ok(());
    }
    Err("no target that takes work serves it".to_owned())
}

/// The body for one process.
pub(crate) fn member(process: Process) -> Member {
    Member {
        kind: CompactString::const_new(process.kind.name()),
        name: process.name,
        config_offset: process.config_offset,
        age_ms: process.age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        accepting: process.accepting,
        role: process.role,
        running: process.running,
        waiting: process.waiting,
    }
}

/// The kinds to list: the given one, or all.
pub(crate) fn kinds(kind: Option<Kind>) -> Vec<Kind> {
    kind.map_or_else(|| Kind::ALL.to_vec(), |kind| vec![kind])
}
