//! The kinds of resources that operators publish.
//!
//! In YAML a resource is `kind`, `name` and `spec`. In the log the spec travels as JSON.

use crate::{Error, Name, Result};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::collections::BTreeMap;
use std::time::Duration;

/// All kinds of resources.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A language model that engines can load.
    Model,
    /// A fine-tuned addition to a model.
    Adapter,
    /// A version of a model's weights.
    Version,
    /// An engine or a plain service's instance, with its agent.
    Target,
    /// Someone who sends requests.
    Caller,
    /// The weights and bounds of decisions, for one pool or for all.
    Policy,
}

impl Kind {
    /// All kinds, in the order in which they refer to each other.
    pub const ALL: [Kind; 6] =
        [Kind::Model, Kind::Adapter, Kind::Version, Kind::Target, Kind::Caller, Kind::Policy];

    /// The kind's name as operators write it.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Model => "Model",
            Kind::Adapter => "Adapter",
            Kind::Version => "Version",
            Kind::Target => "Target",
            Kind::Caller => "Caller",
            Kind::Policy => "Policy",
        }
    }

    /// Finds the kind by its name, in any case.
    pub fn from_name(name: &str) -> Result<Self> {
        let found = Self::ALL.into_iter().find(|kind| kind.name().eq_ignore_ascii_case(name));
        found.ok_or_else(|| {
            let names = Self::ALL.iter().map(|kind| kind.name());
            let hint = crate::check::nearest(name, names.clone())
                .map(|near| format!("; did you mean `{near}`?"))
                .unwrap_or_default();
            let all = names.collect::<Vec<_>>().join(", ");
            Error::invalid("kind", format!("unknown kind `{name}`, expected one of {all}{hint}"))
        })
    }
}

/// One resource as an operator writes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resource {
    /// The resource's kind.
    pub kind: Kind,
    /// The resource's name, unique within its kind.
    pub name: Name,
    /// The desired state.
    pub spec: serde_json::Value,
}

/// The checked desired state of a resource.
#[derive(Debug, Clone, PartialEq)]
pub enum Spec {
    /// Of a [`Kind::Model`].
    Model(Model),
    /// Of a [`Kind::Adapter`].
    Adapter(Adapter),
    /// Of a [`Kind::Version`].
    Version(Version),
    /// Of a [`Kind::Target`].
    Target(Box<Target>),
    /// Of a [`Kind::Caller`].
    Caller(Caller),
    /// Of a [`Kind::Policy`].
    Policy(Policy),
}

/// A language model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The version in service; empty for the one that engines start with.
    #[serde(default)]
    pub version: Name,
    /// The most tokens that prompt and output may have together.
    #[serde(default = "default_context")]
    pub context_tokens: u32,
}

fn default_context() -> u32 {
    32_768
}

/// A fine-tuned addition to a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The model it belongs to.
    pub model: Name,
    /// Its name in the weight store.
    pub artifact: CompactString,
}

/// A version of a model's weights.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The model it belongs to.
    pub model: Name,
    /// Its name in the weight store.
    pub artifact: CompactString,
}

/// Which part of the work an engine does.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Reads prompts, then hands their KV cache on.
    Prefill,
    /// Generates output from KV cache that was handed on.
    Decode,
    /// Does both.
    #[default]
    Mixed,
}

impl Role {
    /// The role's name in settings, in the protocol and at engines.
    pub fn name(self) -> &'static str {
        match self {
            Role::Prefill => "prefill",
            Role::Decode => "decode",
            Role::Mixed => "mixed",
        }
    }
}

/// Whether a target takes part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It is being made ready and gets no work yet.
    Joining,
    /// It works.
    #[default]
    Active,
    /// It finishes what it has and gets no new work.
    Leaving,
}

/// An engine, or an instance of a plain service, with the agent beside it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The failure domain of its VM.
    pub domain: CompactString,
    /// The pool, such as a region, whose planner gives it orders.
    #[serde(default = "default_pool")]
    pub pool: CompactString,
    /// The agent's address for entries, `host:port`.
    pub agent: CompactString,
    /// The models it can serve, if it is an engine.
    #[serde(default)]
    pub models: Vec<Name>,
    /// The adapters it must have loaded.
    #[serde(default)]
    pub adapters: Vec<Name>,
    /// The plain service it is an instance of, if it isn't an engine.
    #[serde(default)]
    pub service: Name,
    /// The role an operator fixes, or none to let the planner choose.
    #[serde(default)]
    pub role: Option<Role>,
    /// Whether it takes part.
    #[serde(default)]
    pub phase: Phase,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether its calls may be repeated; a service only.
    #[serde(default)]
    pub repeatable: bool,
    /// How many requests it runs side by side.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

fn default_pool() -> CompactString {
    CompactString::const_new("main")
}

fn default_slots() -> u32 {
    16
}

/// Someone who sends requests.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// SHA-256 of the bearer token in hexadecimal; empty lets requests without a token in.
    #[serde(default)]
    pub token_sha256: CompactString,
    /// The caller's share of the fleet against others, when it is full.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Tokens (prompt and output) a second that it may use on average, 0 for no limit.
    #[serde(default)]
    pub tokens_per_second: u32,
    /// Requests that it may have open at a time, 0 for no limit.
    #[serde(default)]
    pub concurrency: u32,
    /// Whether it may send urgent requests.
    #[serde(default)]
    pub urgent: bool,
    /// How long it waits for a first token, if a request does not say.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_deadline", rename = "deadline_ms")]
    pub deadline: Duration,
}

fn default_weight() -> u32 {
    1
}

fn default_deadline() -> Duration {
    Duration::from_secs(30)
}

/// The weights and bounds of decisions.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Tokens of goodput that one change of role must win, beyond those lost while it lasts.
    pub role_change_cost_tokens: u64,
    /// How far ahead the planner weighs a change of role.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "horizon_ms")]
    pub horizon: Duration,
    /// How long an engine keeps a role at least.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "dwell_ms")]
    pub dwell: Duration,
    /// How long an engine is out of service while it changes role.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "role_change_ms")]
    pub role_change: Duration,
    /// How many engines may change role at a time in one pool.
    pub role_changes_at_once: u32,
    /// Roles that operators fix for engines, by target name.
    pub roles: BTreeMap<Name, Role>,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            role_change_cost_tokens: 2_000,
            horizon: Duration::from_secs(60),
            dwell: Duration::from_secs(30),
            role_change: Duration::from_secs(5),
            role_changes_at_once: 1,
            roles: BTreeMap::new(),
        }
    }
}

impl Resource {
    /// Reads the resources of a YAML file, which may hold several documents.
    pub fn parse_all(text: &str) -> Result<Vec<Resource>> {
        let documents = crate::document::split(text);
        documents.iter().map(|document| crate::check::parse(&document.text)).collect()
    }

    /// Checks the spec by the rules of its kind; all readers of the log use this same rule.
    pub fn check(&self) -> Result<Spec> {
        check_name("name", &self.name)?;
        let spec = match self.kind {
            Kind::Model => Spec::Model(self.typed()?),
            Kind::Adapter => Spec::Adapter(self.typed()?),
            Kind::Version => Spec::Version(self.typed()?),
            Kind::Target => Spec::Target(Box::new(self.typed()?)),
            Kind::Caller => Spec::Caller(self.typed()?),
            Kind::Policy => Spec::Policy(self.typed()?),
        };
        spec.check()?;
        Ok(spec)
    }

    fn typed<T: serde::de::DeserializeOwned>(&self) -> Result<T> {
        serde_path_to_error::deserialize(&self.spec).map_err(|error| {
            let path = match error.path().iter().next() {
                Some(_) => compact_str::format_compact!("spec.{}", error.path()),
                None => CompactString::const_new("spec"),
            };
            Error::Invalid { path, detail: error.inner().to_string() }
        })
    }
}

impl Spec {
    /// Checks the values against each other.
    fn check(&self) -> Result<()> {
        match self {
            Spec::Target(target) => target.check(),
            Spec::Caller(caller) => caller.check(),
            Spec::Adapter(Adapter { model, .. }) | Spec::Version(Version { model, .. }) => {
                check_name("spec.model", model)
            }
            Spec::Model(_) | Spec::Policy(_) => Ok(()),
        }
    }
}

impl Target {
    fn check(&self) -> Result<()> {
        if self.models.is_empty() == self.service.is_empty() {
            let detail = "a target serves either `models` or one `service`";
            return Err(Error::invalid("spec.models", detail));
        }
        if !self.agent.contains(':') {
            let detail = format!("`{}` is no address of the form host:port", self.agent);
            return Err(Error::invalid("spec.agent", detail));
        }
        if self.slots == 0 {
            return Err(Error::invalid("spec.slots", "a target runs at least 1 request"));
        }
        check_name("spec.domain", &self.domain)
    }

    /// Whether the target is an engine and not an instance of a plain service.
    pub fn is_engine(&self) -> bool {
        self.service.is_empty()
    }
}

impl Caller {
    fn check(&self) -> Result<()> {
        if !self.token_sha256.is_empty() {
            check_digest("spec.token_sha256", &self.token_sha256)?;
        }
        if self.weight == 0 {
            return Err(Error::invalid("spec.weight", "a caller's weight is at least 1"));
        }
        Ok(())
    }
}

/// Length of a SHA-256 digest in hexadecimal.
const DIGEST_CHARS: usize = 64;

pub(crate) fn check_digest(path: &str, digest: &str) -> Result<()> {
    // Upper case would never match the digest that a token is compared by.
    let valid = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    if digest.len() != DIGEST_CHARS || !digest.chars().all(valid) {
        let detail = "a SHA-256 digest has 64 hexadecimal digits in lower case";
        return Err(Error::invalid(path, detail));
    }
    Ok(())
}

/// The longest name of a resource, in bytes.
const MAX_NAME_BYTES: usize = 120;

pub(crate) fn check_name(path: &str, name: &str) -> Result<()> {
    let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(valid) {
        let rule = "a name has 1 to 120 letters, digits, `-`, `_` or `.`";
        return Err(Error::invalid(path, format!("{rule}, found `{name}`")));
    }
    Ok(())
}
