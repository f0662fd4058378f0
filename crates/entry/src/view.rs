//! Indexes the configuration for requests; rebuilt after each change.
//!
//! Without it, every request would search 4,500 callers and 700 targets.

use crate::peer::Peer;
use crate::peers::Peers;
use conf::resource::{Caller, Phase, Spec, Target};
use conf::{Kind, Name};
use plat::Offset;
use state::Config;
use std::collections::HashMap;
use std::sync::Arc;

/// SHA-256 of a bearer token.
pub(crate) type Digest = [u8; 32];

/// The configuration at one offset, indexed for requests.
#[derive(Default)]
pub(crate) struct ConfigView {
    /// The offset of the first record that is not applied.
    pub(crate) end: Offset,
    callers: HashMap<Digest, Arc<ConfiguredCaller>>,
    anonymous: Option<Arc<ConfiguredCaller>>,
    models: HashMap<Name, Model>,
    services: HashMap<Name, Service>,
    targets: HashMap<Name, Arc<ConfiguredTarget>>,
}

/// A configured caller.
pub(crate) struct ConfiguredCaller {
    pub(crate) name: Name,
    pub(crate) spec: Caller,
    pub(crate) digest: Option<Digest>,
}

/// A model and the targets that may serve it.
#[derive(Default)]
pub(crate) struct Model {
    pub(crate) version: Name,
    pub(crate) targets: Vec<Arc<ConfiguredTarget>>,
}

/// A plain service and its targets.
pub(crate) struct Service {
    /// Whether all its targets declare that a call may be executed more than once.
    pub(crate) repeatable: bool,
    pub(crate) targets: Vec<Arc<ConfiguredTarget>>,
}

/// A configured target and its agent.
pub(crate) struct ConfiguredTarget {
    pub(crate) name: Name,
    pub(crate) spec: Target,
    pub(crate) peer: Arc<Peer>,
}

impl ConfigView {
    /// Builds the index of a configuration.
    pub(crate) fn new(config: &Config, peers: &Peers) -> Self {
        let mut view = Self { end: config.end(), ..Self::default() };
        for (name, caller) in config.callers() {
            view.add_caller(name, caller);
        }
        for entry in config.list(Kind::Model) {
            if let Spec::Model(model) = &entry.spec {
                let model = Model { version: model.version.clone(), targets: Vec::new() };
                view.models.insert(entry.resource.name.clone(), model);
            }
        }
        for (name, target) in config.targets() {
            let peer = peers.get(&target.agent);
            view.add_target(Arc::new(ConfiguredTarget {
                name: name.clone(),
                spec: target.clone(),
                peer,
            }));
        }
        view
    }

    /// Returns the caller whose token has this digest, or the caller without a token.
    pub(crate) fn caller(&self, digest: Option<&Digest>) -> Option<&Arc<ConfiguredCaller>> {
        match digest {
            Some(digest) => self.callers.get(digest),
            None => self.anonymous.as_ref(),
        }
    }

    /// Returns a configured model.
    pub(crate) fn model(&self, name: &str) -> Option<&Model> {
        self.models.get(name)
    }

    /// Returns the names of all models, sorted.
    pub(crate) fn models(&self) -> Vec<&Name> {
        let mut names: Vec<_> = self.models.keys().collect();
        names.sort();
        names
    }

    /// Returns a plain service that has at least one configured target.
    pub(crate) fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns a configured target.
    pub(crate) fn target(&self, name: &str) -> Option<&Arc<ConfiguredTarget>> {
        self.targets.get(name)
    }

    /// Returns all configured targets.
    pub(crate) fn targets(&self) -> impl Iterator<Item = &Arc<ConfiguredTarget>> {
        self.targets.values()
    }

    fn add_caller(&mut self, name: &Name, spec: &Caller) {
        let digest = parse_digest(&spec.token_sha256);
        let caller = ConfiguredCaller { name: name.clone(), spec: spec.clone(), digest };
        let caller = Arc::new(caller);
        match digest {
            Some(digest) => {
                self.callers.entry(digest).or_insert(caller);
            }
            None if spec.token_sha256.is_empty() => {
                self.anonymous.get_or_insert(caller);
            }
            // Validation of the configuration admits no other digests.
            None => {}
        }
    }

    fn add_target(&mut self, target: Arc<ConfiguredTarget>) {
        for model in &target.spec.models {
            if let Some(model) = self.models.get_mut(model) {
                model.targets.push(target.clone());
            }
        }
        if !target.spec.is_engine() {
            let new_service = || Service { repeatable: true, targets: Vec::new() };
            let service =
                self.services.entry(target.spec.service.clone()).or_insert_with(new_service);
            service.repeatable &= target.spec.repeatable;
            service.targets.push(target.clone());
        }
        self.targets.insert(target.name.clone(), target);
    }
}

impl ConfiguredTarget {
    /// Returns whether the configuration allows new work for this target.
    pub(crate) fn is_active(&self) -> bool {
        match self.spec.phase {
            Phase::Active => true,
            Phase::Joining | Phase::Leaving => false,
        }
    }
}

fn parse_digest(hex: &str) -> Option<Digest> {
    let mut digest = Digest::default();
    if hex.len() != 2 * digest.len() || !hex.is_ascii() {
        return None;
    }
    for (byte, at) in digest.iter_mut().zip((0..hex.len()).step_by(2)) {
        *byte = u8::from_str_radix(&hex[at..at + 2], 16).ok()?;
    }
    Some(digest)
}
