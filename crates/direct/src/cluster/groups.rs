//! The groups of a service's engines and their coordinators, as this entry computes them.

use crate::config::route::ServiceName;
use crate::targets::target::Target;
use policy::Hash;
use policy::distance::{Distance, Topology};
use policy::groups::{self, Engine, Entry, Settings};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// A live entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Member {
    /// The hash of the entry's name.
    pub key: Hash,
    /// The hash of its failure domain.
    pub domain: Hash,
    /// Where it receives datagrams of other entries; none for this entry itself.
    pub address: Option<SocketAddr>,
    /// The rate of its VM's link in bytes per second.
    pub link_rate: f64,
}

/// Engines that are coordinated together.
#[derive(Debug, Clone)]
pub struct Group {
    /// The identity of the group.
    pub key: Hash,
    /// The hash of the failure domain of its engines.
    pub domain: Hash,
    /// The engines.
    pub engines: Vec<Arc<Target>>,
    /// The coordinator, followed by its standby, which is asked when the coordinator doesn't
    /// respond.
    pub coordinators: Vec<Member>,
}

/// The groups of one service.
pub type Groups = Arc<[Group]>;

/// The groups of all services, recomputed when engines or entries change.
#[derive(Debug, Default)]
pub struct Cache {
    topology: Topology,
    services: Mutex<HashMap<ServiceName, Computed>>,
}

#[derive(Debug, Clone)]
struct Computed {
    engines: Arc<[Arc<Target>]>,
    members: Arc<[Member]>,
    groups: Groups,
}

impl Cache {
    /// Creates a cache of groups of engines in these regions.
    pub fn new(topology: Topology) -> Self {
        Self { topology, services: Mutex::default() }
    }

    /// Returns the groups of a service with these engines, coordinated by these entries.
    pub fn groups(
        &self,
        service: &ServiceName,
        engines: &Arc<[Arc<Target>]>,
        members: &Arc<[Member]>,
    ) -> Groups {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let cached = services.get(service).filter(|cached| {
            Arc::ptr_eq(&cached.engines, engines) && Arc::ptr_eq(&cached.members, members)
        });
        if let Some(cached) = cached {
            return cached.groups.clone();
        }
        let groups = divide(engines, members, &self.topology);
        let (engines, members) = (engines.clone(), members.clone());
        services.insert(service.clone(), Computed { engines, members, groups: groups.clone() });
        groups
    }
}

/// Returns the group that contains a target.
pub fn group_of<'a>(groups: &'a [Group], target: &Target) -> Option<&'a Group> {
    groups.iter().find(|group| group.engines.iter().any(|other| other.key == target.key))
}

fn divide(engines: &[Arc<Target>], members: &[Member], topology: &Topology) -> Groups {
    let keys = engines.iter().map(|engine| Engine { key: engine.key, domain: engine.domain_key });
    let entries = members.iter().map(|member| Entry { key: member.key, weight: member.link_rate });
    let (keys, entries): (Vec<_>, Vec<_>) = (keys.collect(), entries.collect());
    let groups = groups::divide(&Settings::default(), &keys).into_iter().map(|group| {
        let engines: Vec<Arc<Target>> =
            group.engines.iter().map(|&at| engines[at].clone()).collect();
        // All engines of a group are in the same failure domain.
        let domain = engines.first().map_or(0, |engine| engine.domain_key);
        let is_near =
            |at: usize| topology.distance(members[at].domain, domain) < Distance::OtherRegion;
        let coordinators = groups::coordinators_near(group.key, &entries, is_near)
            .into_iter()
            .map(|at| members[at])
            .collect();
        Group { key: group.key, domain, engines, coordinators }
    });
    groups.collect()
}
