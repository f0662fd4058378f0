//! The groups of a service's engines, and which entries coordinate them, as this entry sees it.

use crate::config::route::ServiceName;
use crate::targets::target::Target;
use policy::Hash;
use policy::groups::{self, Engine, Entry, Settings};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// An entry that lives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Member {
    /// The hash of its name.
    pub key: Hash,
    /// Where it hears the other entries; none for this entry itself.
    pub address: Option<SocketAddr>,
    /// The rate of its VM's link in bytes a second.
    pub link: f64,
}

/// Engines that are coordinated together.
#[derive(Debug, Clone)]
pub struct Group {
    /// Its name.
    pub key: Hash,
    /// Its engines.
    pub engines: Vec<Arc<Target>>,
    /// Who coordinates it: the first, unless it is silent.
    pub coordinators: Vec<Member>,
}

/// The groups of one service.
pub type Groups = Arc<[Group]>;

/// The groups of all services, computed when engines or entries change.
#[derive(Debug, Default)]
pub struct Cache(Mutex<HashMap<ServiceName, Known>>);

#[derive(Debug, Clone)]
struct Known {
    engines: Arc<[Arc<Target>]>,
    members: Arc<[Member]>,
    groups: Groups,
}

impl Cache {
    /// The groups of a service with these engines, coordinated by these entries.
    pub fn groups(
        &self,
        service: &ServiceName,
        engines: &Arc<[Arc<Target>]>,
        members: &Arc<[Member]>,
    ) -> Groups {
        let mut map = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let known = map.get(service).filter(|known| {
            Arc::ptr_eq(&known.engines, engines) && Arc::ptr_eq(&known.members, members)
        });
        if let Some(known) = known {
            return known.groups.clone();
        }
        let groups = divide(engines, members);
        let (engines, members) = (engines.clone(), members.clone());
        map.insert(service.clone(), Known { engines, members, groups: groups.clone() });
        groups
    }
}

/// The group of a target.
pub fn group_of<'a>(groups: &'a [Group], target: &Target) -> Option<&'a Group> {
    groups.iter().find(|group| group.engines.iter().any(|other| other.key == target.key))
}

fn divide(engines: &[Arc<Target>], members: &[Member]) -> Groups {
    let keys = engines.iter().map(|engine| Engine { key: engine.key, domain: engine.domain_key });
    let entries = members.iter().map(|member| Entry { key: member.key, weight: member.link });
    let (keys, entries): (Vec<_>, Vec<_>) = (keys.collect(), entries.collect());
    let groups = groups::divide(&Settings::default(), &keys).into_iter().map(|group| Group {
        key: group.key,
        engines: group.engines.iter().map(|&at| engines[at].clone()).collect(),
        coordinators: groups::coordinators(group.key, &entries)
            .into_iter()
            .map(|at| members[at])
            .collect(),
    });
    groups.collect()
}
