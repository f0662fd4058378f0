//! The kinds of resources that operators publish.
//!
//! In YAML a resource consists of `kind`, `name` and `spec`. The log stores the spec as JSON.

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
    /// A fine-tuned adapter of a model.
    Adapter,
    /// A version of a model's weights.
    Version,
    /// An engine or an instance of a plain service, with its agent.
    Target,
    /// A client of the fleet that sends requests.
    Caller,
    /// The parameters of the planner's decisions, for one pool or for all.
    Policy,
}

impl Kind {
    /// All kinds; those that others refer to come first.
    pub const ALL: [Kind; 6] =
        [Kind::Model, Kind::Adapter, Kind::Version, Kind::Target, Kind::Caller, Kind::Policy];

    /// The kind's name in resource files.
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

    /// Finds a kind by its name, ignoring case.
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

/// The validated desired state of a resource.
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
    /// The version to serve; empty for the one that engines start with.
    #[serde(default)]
    pub version: Name,
    /// The maximum number of tokens of prompt and output together.
    #[serde(default = "default_context")]
    pub context_tokens: u32,
}

fn default_context() -> u32 {
    32_768
}

/// A fine-tuned adapter of a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The model that it belongs to.
    pub model: Name,
    /// Its name in the weight store.
    pub artifact: CompactString,
}

/// A version of a model's weights.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The model that it belongs to.
    pub model: Name,
    /// Its name in the weight store.
    pub artifact: CompactString,
}

/// The part of the inference that an engine performs.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prefills prompts and transfers their KV cache to a decode engine.
    Prefill,
    /// Generates output from transferred KV cache.
    Decode,
    /// Prefill and decode.
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

/// The stage of a target's life in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It is being prepared and gets no work yet.
    Joining,
    /// It is in service.
    #[default]
    Active,
    /// It finishes the requests that it has and gets no new ones.
    Leaving,
}

/// An engine, or an instance of a plain service, with its agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The failure domain of its VM.
    pub domain: CompactString,
    /// The pool, such as a region, whose planner issues its orders.
    #[serde(default = "default_pool")]
    pub pool: CompactString,
    /// The agent's address for entries, `host:port`.
    pub agent: CompactString,
    /// The models that it can serve, if it is an engine.
    #[serde(default)]
    pub models: Vec<Name>,
    /// The adapters that it must have loaded.
    #[serde(default)]
    pub adapters: Vec<Name>,
    /// The plain service that it is an instance of, if it is not an engine.
    #[serde(default)]
    pub service: Name,
    /// The role that an operator has fixed; if none, the planner chooses it.
    #[serde(default)]
    pub role: Option<Role>,
    /// The stage of its life in the fleet.
    #[serde(default)]
    pub phase: Phase,
    /// Whether it refuses orders with an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether its calls are idempotent and may be retried; only for a service.
    #[serde(default)]
    pub repeatable: bool,
    /// The number of requests that it runs concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

fn default_pool() -> CompactString {
    CompactString::const_new("main")
}

fn default_slots() -> u32 {
    16
}

/// A client of the fleet that sends requests, with its limits.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// SHA-256 of the bearer token in hexadecimal; if empty, requests without a token are accepted
    /// as this caller's.
    #[serde(default)]
    pub token_sha256: CompactString,
    /// The caller's share of a full fleet, relative to other callers' weights.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The average number of tokens (prompt and output) per second that it may use, 0 for no
    /// limit.
    #[serde(default)]
    pub tokens_per_second: u32,
    /// The number of requests that it may have open at a time, 0 for no limit.
    #[serde(default)]
    pub concurrency: u32,
    /// Whether it may send urgent requests.
    #[serde(default)]
    pub urgent: bool,
    /// How long it waits for the first token, if the request does not set a deadline.
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

/// The parameters of the planner's decisions.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// The goodput in tokens that a role change must gain, beyond the goodput lost while it lasts.
    pub role_change_cost_tokens: u64,
    /// How far ahead the planner estimates the gain of a role change.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "horizon_ms")]
    pub horizon: Duration,
    /// The minimum time that an engine keeps a role.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "dwell_ms")]
    pub dwell: Duration,
    /// How long an engine is out of service during a role change.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "role_change_ms")]
    pub role_change: Duration,
    /// The number of engines of a pool that may change their role at the same time.
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

    /// Validates the spec by the rules of its kind. All readers of the log use this method, so that
    /// they accept the same changes.
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
    /// Validates the values, also against each other.
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
    // Tokens are compared by their digest in lower case, which upper case would never match.
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
