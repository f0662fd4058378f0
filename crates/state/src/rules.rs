//! Rules between resources: referenced resources exist, and unique values are unique.
//!
//! Each reader applies them at the change's offset, so all accept or refuse the same changes, also
//! those appended without the administration API. Errors name the field's path.

use crate::Config;
use conf::resource::{Adapter, Model, Policy, Target, Version};
use conf::{Error, Kind, Name, Result, Spec};

/// Checks a spec to be published under `name` against the other resources.
pub fn check(config: &Config, name: &Name, spec: &Spec) -> Result<()> {
    match spec {
        Spec::Model(model) => check_model(config, name, model),
        Spec::Adapter(adapter) => check_adapter(config, name, adapter),
        Spec::Version(version) => check_version(config, name, version),
        Spec::Target(target) => {
            check_target(config, target)?;
            check_unique(config, name, spec)
        }
        Spec::Caller(_) => check_unique(config, name, spec),
        Spec::Policy(policy) => check_policy(config, policy),
    }
}

/// Checks that no other resource refers to the one to be deleted.
pub fn check_unused(config: &Config, kind: Kind, name: &Name) -> Result<()> {
    match user(config, kind, name) {
        Some(user) => Err(Error::invalid("name", format!("{user} still refers to it"))),
        None => Ok(()),
    }
}

fn check_model(config: &Config, name: &Name, model: &Model) -> Result<()> {
    const PATH: &str = "spec.version";
    if model.version.is_empty() {
        return Ok(());
    }
    match config.get(Kind::Version, &model.version).map(|entry| &entry.spec) {
        Some(Spec::Version(version)) if version.model == *name => Ok(()),
        Some(_) => {
            let detail = format!("Version {} belongs to another model", model.version);
            Err(Error::invalid(PATH, detail))
        }
        None => Err(not_found(PATH, Kind::Version, &model.version)),
    }
}

fn check_adapter(config: &Config, name: &Name, adapter: &Adapter) -> Result<()> {
    must_exist(config, "spec.model", Kind::Model, &adapter.model)?;
    match config.get(Kind::Adapter, name).map(|entry| &entry.spec) {
        Some(Spec::Adapter(old)) if old.model != adapter.model => {
            must_be_unused(config, Kind::Adapter, name)
        }
        _ => Ok(()),
    }
}

fn check_version(config: &Config, name: &Name, version: &Version) -> Result<()> {
    must_exist(config, "spec.model", Kind::Model, &version.model)?;
    match config.get(Kind::Version, name).map(|entry| &entry.spec) {
        Some(Spec::Version(old)) if old.model != version.model => {
            must_be_unused(config, Kind::Version, name)
        }
        _ => Ok(()),
    }
}

fn check_target(config: &Config, target: &Target) -> Result<()> {
    for model in &target.models {
        must_exist(config, "spec.models", Kind::Model, model)?;
    }
    for adapter in &target.adapters {
        check_target_adapter(config, target, adapter)?;
    }
    Ok(())
}

fn check_target_adapter(config: &Config, target: &Target, adapter: &Name) -> Result<()> {
    const PATH: &str = "spec.adapters";
    match config.get(Kind::Adapter, adapter).map(|entry| &entry.spec) {
        Some(Spec::Adapter(found)) if target.models.contains(&found.model) => Ok(()),
        Some(_) => {
            let detail = format!("Adapter {adapter} belongs to none of the target's models");
            Err(Error::invalid(PATH, detail))
        }
        None => Err(not_found(PATH, Kind::Adapter, adapter)),
    }
}

/// Checks values that must be unique. Two callers with the same token could not be distinguished
/// and would see each other's answers; two targets with the same agent would get each other's work.
fn check_unique(config: &Config, name: &Name, spec: &Spec) -> Result<()> {
    let Some(owner) = config.owner(spec).filter(|owner| *owner != name) else { return Ok(()) };
    match spec {
        Spec::Target(target) => {
            let detail = format!("{} is the agent of Target {owner}", target.agent);
            Err(Error::invalid("spec.agent", detail))
        }
        Spec::Caller(_) => {
            let detail = format!("Caller {owner} has the same token");
            Err(Error::invalid("spec.token_sha256", detail))
        }
        Spec::Model(_) | Spec::Adapter(_) | Spec::Version(_) | Spec::Policy(_) => Ok(()),
    }
}

fn check_policy(config: &Config, policy: &Policy) -> Result<()> {
    for target in policy.roles.keys() {
        must_exist(config, "spec.roles", Kind::Target, target)?;
    }
    Ok(())
}

fn must_exist(config: &Config, path: &'static str, kind: Kind, name: &Name) -> Result<()> {
    match config.get(kind, name) {
        Some(_) => Ok(()),
        None => Err(not_found(path, kind, name)),
    }
}

fn must_be_unused(config: &Config, kind: Kind, name: &Name) -> Result<()> {
    match user(config, kind, name) {
        Some(user) => {
            let detail = format!("cannot change while {user} refers to it");
            Err(Error::invalid("spec.model", detail))
        }
        None => Ok(()),
    }
}

fn not_found(path: &'static str, kind: Kind, name: &Name) -> Error {
    Error::invalid(path, format!("there is no {} `{name}`", kind.name()))
}

/// The first resource that refers to another, as `Kind name`.
fn user(config: &Config, kind: Kind, name: &Name) -> Option<String> {
    let mut users = config.resources().filter(|entry| refers(&entry.spec, kind, name));
    let user = &users.next()?.resource;
    Some(format!("{} {}", user.kind.name(), user.name))
}

fn refers(spec: &Spec, kind: Kind, name: &Name) -> bool {
    match (spec, kind) {
        (Spec::Model(model), Kind::Version) => model.version == *name,
        (Spec::Adapter(adapter), Kind::Model) => adapter.model == *name,
        (Spec::Version(version), Kind::Model) => version.model == *name,
        (Spec::Target(target), Kind::Model) => target.models.contains(name),
        (Spec::Target(target), Kind::Adapter) => target.adapters.contains(name),
        (Spec::Policy(policy), Kind::Target) => policy.roles.contains_key(name),
        (
            Spec::Model(_)
            | Spec::Adapter(_)
            | Spec::Version(_)
            | Spec::Target(_)
            | Spec::Caller(_)
            | Spec::Policy(_),
            _,
        ) => false,
    }
}
