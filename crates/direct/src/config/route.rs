//! What operators configured: routes, services and limits, as one immutable table a version.

use crate::config::customers::{self, Caller, Credential, Customers};
use compact_str::CompactString;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// The version of a configuration; newer ones are larger.
pub type Version = u64;

/// The name of a service.
pub type ServiceName = CompactString;

/// The name of a route.
pub type RouteName = CompactString;

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Any number of times.
    Idempotent,
    /// Once at most for each sending by a caller.
    Once,
    /// A stream that another target can go on with after the last event delivered.
    Resumable,
}

/// What part of a generation an engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Stage {
    /// It reads prompts for others.
    Prefill,
    /// It writes output, and can read prompts for itself at half the rate.
    Decode,
}

/// A service that takes a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// Its name.
    pub service: ServiceName,
    /// Its weight among the route's portions.
    pub weight: f64,
}

/// A route: requests of one host whose path begins with one prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// The host, in lower case.
    pub host: CompactString,
    /// The prefix; begins and ends with a slash.
    pub prefix: CompactString,
    /// The services that share its requests; never empty.
    pub services: Vec<WeightedService>,
    /// How often a request may run.
    pub retry_policy: RetryPolicy,
    /// How long a request may take in all.
    pub timeout: Duration,
    /// Within which time an answer, or its first event, earns its full worth.
    pub objective: Duration,
    /// How long a stream may pause between pieces to count as in time, if operators say so.
    pub max_gap: Option<Duration>,
    /// Its rank: 0 is the most urgent.
    pub priority: u8,
    /// Targets that one request may be sent to.
    pub max_attempts: u32,
    /// Whether it needs no customer's key.
    pub public: bool,
}

/// What all engines of a service have in common.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Tokens that fit in the memory of one.
    pub kv_capacity: u64,
    /// Streams that one writes at once.
    pub max_streams: u32,
    /// Tokens in a piece of output, if it is known.
    pub piece_tokens: Option<u32>,
    /// How long one is out of service to change its stage.
    pub stage_change_time: Duration,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one target takes from all processes together.
    pub max_connections: u32,
    /// Its engines' figures, if it serves models.
    pub engine: Option<EngineSpec>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Table {
    /// The version.
    pub version: Version,
    /// Bounds on what callers send.
    pub limits: Limits,
    services: HashMap<ServiceName, Arc<Service>>,
    hosts: HashMap<CompactString, HashMap<CompactString, Arc<Route>>>,
    /// The shortest pause between pieces that any route of a service allows.
    pauses: HashMap<ServiceName, Duration>,
    /// `None` if requests need no key.
    customers: Option<Customers>,
}

impl Table {
    /// Puts a table together.
    pub fn new(
        version: Version,
        limits: Limits,
        routes: impl IntoIterator<Item = Route>,
        services: impl IntoIterator<Item = Service>,
    ) -> Self {
        let mut hosts: HashMap<CompactString, HashMap<CompactString, Arc<Route>>> = HashMap::new();
        let mut pauses: HashMap<ServiceName, Duration> = HashMap::new();
        for route in routes {
            for portion in route.services.iter().filter(|_| route.max_gap.is_some()) {
                let pause = route.max_gap.unwrap_or_default();
                let shortest = pauses.entry(portion.service.clone()).or_insert(pause);
                *shortest = pause.min(*shortest);
            }
            let routes = hosts.entry(route.host.clone()).or_default();
            routes.insert(route.prefix.clone(), Arc::new(route));
        }
        let services = services.into_iter();
        let services = services.map(|service| (service.name.clone(), Arc::new(service))).collect();
        Self { version, limits, services, hosts, pauses, customers: None }
    }

    /// The same table for these customers only.
    #[must_use]
    pub fn with_customers(self, customers: Customers) -> Self {
        Self { customers: Some(customers), ..self }
    }

    /// Whose a request on `route` is.
    pub fn caller(&self, route: &Route, credential: Credential) -> customers::Result<Caller> {
        match &self.customers {
            Some(customers) => customers.caller(credential, route.public),
            None => Ok(Caller::Unchecked),
        }
    }

    /// How many keys of customers there are, if requests need one.
    pub fn key_count(&self) -> Option<usize> {
        self.customers.as_ref().map(Customers::key_count)
    }

    /// The route with the longest prefix that begins `path`, among those of `host`.
    ///
    /// Prefixes end with a slash, so it tries the path up to each slash from the last: as many
    /// lookups as the path has parts, however many routes there are.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        let slashes = path.rmatch_indices('/').map(|(at, _)| at);
        slashes.map(|at| &path[..=at]).find_map(|prefix| routes.get(prefix))
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// The shortest pause between pieces that any route of a service allows.
    pub fn pause(&self, service: &str) -> Option<Duration> {
        self.pauses.get(service).copied()
    }

    /// How many routes there are.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}

impl Route {
    /// The service for a request that drew `at`, from 0 up to 1.
    pub fn pick_service(&self, at: f64) -> &ServiceName {
        let total: f64 = self.services.iter().map(|portion| portion.weight).sum();
        let mut left = at * total;
        for portion in &self.services {
            left -= portion.weight;
            if left < 0.0 {
                return &portion.service;
            }
        }
        // Rounding can leave a hair over; a route has one portion at least.
        &self.services[self.services.len() - 1].service
    }
}
