//! Routes, services and limits as operators configured them: one immutable table for each version.

use crate::config::customers::{self, Caller, Credential, CustomerName, Customers};
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

/// Whether a request may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// The request is idempotent: it may run any number of times.
    Idempotent,
    /// The request may run once at most for each attempt by the caller.
    Once,
    /// The response is a stream that another target can resume after the last event delivered.
    Resumable,
}

/// The part of a generation that an engine performs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Stage {
    /// It prefills prompts for other engines.
    Prefill,
    /// It decodes output, and can prefill prompts for itself at half the rate.
    Decode,
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// Its name.
    pub service: ServiceName,
    /// Its weight among the route's services.
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
    /// Whether a request may be sent again.
    pub retry_policy: RetryPolicy,
    /// How long a request may take in total.
    pub timeout: Duration,
    /// The time within which a response, or its first event, counts in full.
    pub objective: Duration,
    /// The longest gap between pieces of a stream that still counts as in time, if operators set
    /// one.
    pub max_gap: Option<Duration>,
    /// Its priority: 0 is the most urgent.
    pub priority: u8,
    /// The number of targets that one request may be sent to.
    pub max_attempts: u32,
    /// Whether its requests need no customer's key.
    pub public: bool,
}

/// What all engines of a service have in common.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// KV cache that fits in the memory of one engine, in tokens.
    pub kv_capacity: u64,
    /// Streams that one engine decodes concurrently.
    pub max_streams: u32,
    /// Tokens in a piece of output, if configured.
    pub piece_tokens: Option<u32>,
    /// How long an engine is out of service to change its stage.
    pub stage_change_time: Duration,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one target accepts from all processes together.
    pub max_connections: u32,
    /// The properties of its engines, if it serves models.
    pub engine: Option<EngineSpec>,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Size of a request's body, in bytes.
    pub body_bytes: usize,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Table {
    /// The version.
    pub version: Version,
    /// Limits on what callers send.
    pub limits: Limits,
    services: HashMap<ServiceName, Arc<Service>>,
    hosts: HashMap<CompactString, HashMap<CompactString, Arc<Route>>>,
    /// The shortest gap between pieces that any route of a service allows.
    max_gaps: HashMap<ServiceName, Duration>,
    /// The shortest objective of a route; `None` without routes.
    objective: Option<Duration>,
    /// `None` if requests need no key.
    customers: Option<Customers>,
}

impl Table {
    /// Builds a table.
    pub fn new(
        version: Version,
        limits: Limits,
        routes: impl IntoIterator<Item = Route>,
        services: impl IntoIterator<Item = Service>,
    ) -> Self {
        let mut hosts: HashMap<CompactString, HashMap<CompactString, Arc<Route>>> = HashMap::new();
        let mut max_gaps: HashMap<ServiceName, Duration> = HashMap::new();
        let mut objective: Option<Duration> = None;
        for route in routes {
            objective = Some(objective.map_or(route.objective, |known| known.min(route.objective)));
            for weighted in route.services.iter().filter(|_| route.max_gap.is_some()) {
                let max_gap = route.max_gap.unwrap_or_default();
                let shortest = max_gaps.entry(weighted.service.clone()).or_insert(max_gap);
                *shortest = max_gap.min(*shortest);
            }
            let routes = hosts.entry(route.host.clone()).or_default();
            routes.insert(route.prefix.clone(), Arc::new(route));
        }
        let services = services.into_iter();
        let services = services.map(|service| (service.name.clone(), Arc::new(service))).collect();
        Self { version, limits, services, hosts, max_gaps, objective, customers: None }
    }

    /// The shortest latency objective of a route; `None` without routes.
    pub fn objective(&self) -> Option<Duration> {
        self.objective
    }

    /// The same table, restricted to these customers.
    #[must_use]
    pub fn with_customers(self, customers: Customers) -> Self {
        Self { customers: Some(customers), ..self }
    }

    /// Identifies the caller of a request on `route`.
    pub fn caller(&self, route: &Route, credential: Credential) -> customers::Result<Caller> {
        match &self.customers {
            Some(customers) => customers.caller(credential, route.public),
            None => Ok(Caller::Unchecked),
        }
    }

    /// The number of customers' keys, if requests need one.
    pub fn key_count(&self) -> Option<usize> {
        self.customers.as_ref().map(Customers::key_count)
    }

    /// The customers with a limit for which operators set a rate and no burst.
    pub fn without_burst(&self) -> &[CustomerName] {
        self.customers.as_ref().map_or(&[], Customers::without_burst)
    }

    /// Whether any customer has a limit.
    pub fn any_limit(&self) -> bool {
        self.customers.as_ref().is_some_and(Customers::any_limit)
    }

    /// The route of `host` with the longest prefix that `path` begins with.
    ///
    /// Prefixes end with a slash, so it tries the path up to each slash from the last: as many
    /// lookups as the path has segments, however many routes there are.
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

    /// The shortest gap between pieces that any route of a service allows.
    pub fn max_gap(&self, service: &str) -> Option<Duration> {
        self.max_gaps.get(service).copied()
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }
}

impl Route {
    /// Picks a service by weight for a request that drew the random number `at`, from 0 up to 1.
    pub fn pick_service(&self, at: f64) -> &ServiceName {
        let total: f64 = self.services.iter().map(|weighted| weighted.weight).sum();
        let mut left = at * total;
        for weighted in &self.services {
            left -= weighted.weight;
            if left < 0.0 {
                return &weighted.service;
            }
        }
        // Rounding can leave a small remainder. A route has at least one service.
        &self.services[self.services.len() - 1].service
    }
}
