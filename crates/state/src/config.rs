//! The fold of the `config` stream: which resources are in force, and who changed them.

use crate::record::{Body, Change};
use crate::{Fold, Record};
use conf::resource::{Caller, Target};
use conf::{Generation, Kind, Name, Resource, Spec};
use plat::Offset;
use std::collections::{BTreeMap, VecDeque};

/// A resource as it is in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// What the operator wrote.
    pub resource: Resource,
    /// The checked spec.
    pub spec: Spec,
    /// Counts the accepted changes.
    pub generation: Generation,
    /// Offset of the last accepted change.
    pub offset: Offset,
    /// Who made it.
    pub author: String,
}

/// What became of one change, for the audit trail.
#[derive(Debug, Clone, PartialEq)]
pub struct Audit {
    /// The change's offset.
    pub offset: Offset,
    /// The change's id.
    pub id: u64,
    /// Who made it.
    pub author: String,
    /// When, by the author's clock, in Unix milliseconds.
    pub written_ms: u64,
    /// The resource's kind as written.
    pub kind: String,
    /// The resource's name.
    pub name: String,
    /// The spec before, as JSON.
    pub before: Option<String>,
    /// The spec asked for, as JSON; none deletes.
    pub after: Option<String>,
    /// The generation it got, or why it was refused.
    pub outcome: Result<Generation, String>,
}

/// How many changes the audit trail keeps in memory; the log keeps all until its horizon.
pub const AUDIT_KEPT: usize = 2_000;

/// All resources in force at one offset of the `config` stream.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    entries: BTreeMap<(Kind, Name), Entry>,
    audit: VecDeque<Audit>,
    end: Offset,
}

impl Fold for Config {
    fn apply(&mut self, offset: Offset, record: &Record) {
        self.end = offset + 1;
        let Some(Body::Change(change)) = &record.body else { return };
        let before = self.find(&change.kind, &change.name).map(|e| e.resource.spec.to_string());
        let outcome = self.change(offset, record, change);
        self.audit.push_back(Audit {
            offset,
            id: record.id,
            author: record.author.clone(),
            written_ms: record.written_ms,
            kind: change.kind.clone(),
            name: change.name.clone(),
            before,
            after: change.spec.clone(),
            outcome,
        });
        if self.audit.len() > AUDIT_KEPT {
            self.audit.pop_front();
        }
    }

    fn end(&self) -> Offset {
        self.end
    }
}

impl Config {
    /// The offset of the first record that is not applied.
    pub fn end(&self) -> Offset {
        self.end
    }

    /// The resource of a kind and name.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&Entry> {
        self.entries.get(&(kind, Name::from(name)))
    }

    /// All resources of a kind, by name.
    pub fn list(&self, kind: Kind) -> impl Iterator<Item = &Entry> {
        self.entries
            .range((kind, Name::default())..)
            .map(|(_, entry)| entry)
            .take_while(move |entry| entry.resource.kind == kind)
    }

    /// All targets, by name.
    pub fn targets(&self) -> impl Iterator<Item = (&Name, &Target)> {
        self.list(Kind::Target).filter_map(|entry| match &entry.spec {
            Spec::Target(target) => Some((&entry.resource.name, &**target)),
            _ => None,
        })
    }

    /// All callers, by name.
    pub fn callers(&self) -> impl Iterator<Item = (&Name, &Caller)> {
        self.list(Kind::Caller).filter_map(|entry| match &entry.spec {
            Spec::Caller(caller) => Some((&entry.resource.name, caller)),
            _ => None,
        })
    }

    /// What became of recent changes, oldest first.
    pub fn audit(&self) -> impl Iterator<Item = &Audit> {
        self.audit.iter()
    }

    fn find(&self, kind: &str, name: &str) -> Option<&Entry> {
        self.get(Kind::from_name(kind).ok()?, name)
    }

    /// Applies a change, or says why not.
    fn change(
        &mut self,
        offset: Offset,
        record: &Record,
        change: &Change,
    ) -> Result<Generation, String> {
        let kind = Kind::from_name(&change.kind).map_err(|error| error.to_string())?;
        let key = (kind, Name::from(change.name.as_str()));
        let old = self.entries.get(&key);
        let generation = old.map_or(0, |entry| entry.generation);
        if change.expects.is_some_and(|expected| expected != generation) {
            return Err(conflict(change, old));
        }
        let Some(spec) = &change.spec else {
            return match self.entries.remove(&key) {
                Some(_) => Ok(generation + 1),
                None => Err(format!("there is no {} {}", change.kind, change.name)),
            };
        };
        let spec = serde_json::from_str(spec).map_err(|error| format!("spec: {error}"))?;
        let resource = Resource { kind, name: key.1.clone(), spec };
        let spec = resource.check().map_err(|error| error.to_string())?;
        let generation = generation + 1;
        let author = record.author.clone();
        self.entries.insert(key, Entry { resource, spec, generation, offset, author });
        Ok(generation)
    }
}

fn conflict(change: &Change, old: Option<&Entry>) -> String {
    let Change { kind, name, .. } = change;
    let expected = change.expects.unwrap_or_default();
    match old {
        Some(entry) => format!(
            "{kind} {name} is at generation {} by {} (record {}), not at {expected}",
            entry.generation, entry.author, entry.offset
        ),
        None => format!("there is no {kind} {name}, but generation {expected} was expected"),
    }
}
