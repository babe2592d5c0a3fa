//! The routing table: which route a request takes, and to which service.
//!
//! An operator writes the table as one document with a version. Versions only
//! rise: a table is never replaced by one that is not newer, so that no
//! request is handled by a configuration older than one already in force.

use crate::dispatch::RouteKey;
use crate::tenants::{Tenant, TenantKey, Tenants, UnknownKey};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Attempts of a route that names no limit.
pub const DEFAULT_MAX_ATTEMPTS: u32 = 2;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    AtMostOnce,
    /// Answered by events; `resumable` ones may go on at another server.
    Stream {
        /// Whether another server can go on after the last event.
        resumable: bool,
    },
    /// Hands in batch jobs.
    Batch,
}

impl RequestKind {
    /// Whether a request that may have run can be sent again from its start.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::Stream { resumable: true })
    }
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share relative to the other services of the route.
    pub weight: f64,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique in the table.
    pub name: Arc<str>,
    /// Host that the request names.
    pub host: String,
    /// Beginning of the path; starts and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time that a request may be held.
    pub timeout: Duration,
    /// Time within which an answer is in time.
    pub latency_target: Duration,
    /// Precedence of its requests; zero goes first. A tenant's own counts in its place.
    pub precedence: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Services that take the requests; at least one.
    pub targets: Vec<WeightedService>,
    /// Most servers to which one request may be sent.
    pub max_attempts: u32,
    /// Longest pause between events that is in time.
    pub gap_target: Option<Duration>,
    /// Time without an event after which callers leave, if that is known.
    pub caller_timeout: Option<Duration>,
    /// Time after a job's arrival at which its results are due.
    pub due: Duration,
    /// Time after a job's arrival at which its items may be given up.
    pub retention: Duration,
    /// Tokens of unfinished items that may wait over all nodes; zero is no limit.
    pub queued_token_limit: u64,
}

/// What the operator tells of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceDefinition {
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one of its servers takes from all callers together.
    pub max_connections: u32,
}

/// Bounds on what a client may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time in which a request's head must arrive.
    pub header_timeout: Duration,
    /// Time that a connection may rest.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

/// All routes and services of one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingTable {
    /// Version; a newer table has a higher one.
    pub version: u64,
    /// Bounds on clients.
    pub limits: ClientLimits,
    /// Services by name.
    pub services: HashMap<Arc<str>, ServiceDefinition>,
    /// Who may ask.
    pub tenants: Tenants,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    precedences: HashMap<RouteKey, u32>,
    /// Services with requests of different precedence by their routes alone.
    mixed_precedence_services: HashSet<Arc<str>>,
    shortest_target: Duration,
}

impl RoutingTable {
    /// A table of these routes.
    pub fn new(
        version: u64,
        limits: ClientLimits,
        services: HashMap<Arc<str>, ServiceDefinition>,
        tenants: Tenants,
        routes: impl IntoIterator<Item = Route>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        let routes: Vec<Route> = routes.into_iter().collect();
        let precedences = routes.iter().map(|route| (RouteKey::of(&route.name), route.precedence)).collect();
        let mixed_precedence_services = mixed_precedence_services(&routes);
        let shortest_target = routes.iter().map(|route| route.latency_target).min().unwrap_or_default();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { version, limits, services, tenants, by_host, precedences, mixed_precedence_services, shortest_target }
    }

    /// The route of a request: of those of its host, the one with the longest
    /// prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix)).cloned()
    }

    /// The shortest latency target of all routes; zero without routes.
    pub fn shortest_target(&self) -> Duration {
        self.shortest_target
    }

    /// The route of that name.
    pub fn named(&self, name: &str) -> Option<Arc<Route>> {
        self.by_host.values().flatten().find(|route| &*route.name == name).cloned()
    }

    /// The tenant that a caller with this key acts for: none where the table
    /// knows no tenants, or where the key is not needed and not known.
    ///
    /// # Errors
    /// [`UnknownKey`] if the key is needed and no tenant has it.
    pub fn authenticate(&self, key: Option<&str>, public: bool) -> Result<Option<Arc<Tenant>>, UnknownKey> {
        if self.tenants.is_empty() {
            return Ok(None);
        }
        match key.and_then(|key| self.tenants.of_caller(key)) {
            Some(tenant) => Ok(Some(tenant.clone())),
            None if public => Ok(None),
            None => Err(UnknownKey),
        }
    }

    /// Whether requests for a service get its slots in an order that the table gives:
    /// there are tenants, which share them, or its routes differ in precedence.
    pub fn orders_requests(&self, service: &str) -> bool {
        !self.tenants.is_empty() || self.mixed_precedence_services.contains(service)
    }

    /// Precedence of a tenant's requests on a route, the tenant's own before the route's;
    /// `None` if the table knows neither.
    pub fn precedence(&self, tenant: TenantKey, route: RouteKey) -> Option<u32> {
        let tenant_precedence = self.tenants.get(tenant).and_then(|tenant| tenant.precedence);
        tenant_precedence.or_else(|| self.precedences.get(&route).copied())
    }

    /// Whether batch jobs of a host need no key.
    pub fn has_public_jobs(&self, host: &str) -> bool {
        let mut routes = self.by_host.get(host).into_iter().flatten();
        routes.any(|route| route.kind == RequestKind::Batch && route.public)
    }

    /// Whether any route knows the host.
    pub fn has_host(&self, host: &str) -> bool {
        self.by_host.contains_key(host)
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }
}

/// Services whose requests differ in precedence. Batch jobs are no requests: they give way
/// to all of these.
fn mixed_precedence_services(routes: &[Route]) -> HashSet<Arc<str>> {
    let mut first: HashMap<&Arc<str>, u32> = HashMap::new();
    let mut mixed = HashSet::new();
    for route in routes.iter().filter(|route| route.kind != RequestKind::Batch) {
        for target in &route.targets {
            if *first.entry(&target.service).or_insert(route.precedence) != route.precedence {
                mixed.insert(target.service.clone());
            }
        }
    }
    mixed
}

/// Divides a route's requests among its services by their weights, evenly at
/// any moment (smooth weighted round robin).
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    routes: HashMap<Arc<str>, Vec<TargetCredit>>,
}

#[derive(Debug)]
struct TargetCredit {
    target: WeightedService,
    credit: f64,
}

impl WeightedRoundRobin {
    /// The service that takes the next request of the route.
    pub fn next(&mut self, route: &Route) -> Option<Arc<str>> {
        if let [only] = route.targets.as_slice() {
            return Some(only.service.clone());
        }
        let credits = self.routes.entry(route.name.clone()).or_default();
        let unchanged = credits.len() == route.targets.len()
            && credits.iter().zip(&route.targets).all(|(entry, target)| entry.target == *target);
        if !unchanged {
            *credits =
                route.targets.iter().map(|target| TargetCredit { target: target.clone(), credit: 0.0 }).collect();
        }
        let total: f64 = credits.iter().map(|entry| entry.target.weight).sum();
        for entry in credits.iter_mut() {
            entry.credit += entry.target.weight;
        }
        let chosen = credits.iter_mut().max_by(|first, second| first.credit.total_cmp(&second.credit))?;
        chosen.credit -= total;
        Some(chosen.target.service.clone())
    }
}
