//! Routing table: maps the host and path of a request to a route and its services.
//!
//! The operator publishes the table as one versioned document. A table is replaced only
//! by one with a higher version, so a request never uses an outdated configuration.

use crate::dispatch::RouteKey;
use crate::tenants::{Tenant, TenantKey, Tenants, UnknownKey};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Maximum attempts of a route that sets no limit.
pub const DEFAULT_MAX_ATTEMPTS: u32 = 2;

/// Kind of a request; decides whether it may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    AtMostOnce,
    /// Answered by a stream of events.
    Stream {
        /// Whether another server can continue after the last event.
        resumable: bool,
    },
    /// Submits batch jobs.
    Batch,
}

impl RequestKind {
    /// Whether a request that may have run can be sent again from the start.
    pub fn is_repeatable(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::Stream { resumable: true })
    }
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Service name.
    pub service: Arc<str>,
    /// Share relative to the other services of the route.
    pub weight: f64,
}

/// Rules for the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique in the table.
    pub name: Arc<str>,
    /// Host of the request.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Kind of the requests.
    pub kind: RequestKind,
    /// Maximum time to handle a request.
    pub timeout: Duration,
    /// Latency within which an answer counts as on time.
    pub latency_target: Duration,
    /// Precedence of the requests; zero is the highest. A tenant's precedence overrides it.
    pub precedence: u32,
    /// Whether callers may omit the key.
    pub public: bool,
    /// Services that handle the requests; at least one.
    pub targets: Vec<WeightedService>,
    /// Maximum number of servers to which one request is sent.
    pub max_attempts: u32,
    /// Gap between events within which a stream counts as on time.
    pub gap_target: Option<Duration>,
    /// Time without an event after which callers disconnect, if defined.
    pub caller_timeout: Option<Duration>,
    /// Time from the arrival of a job to its deadline.
    pub due: Duration,
    /// Time from the arrival of a job after which its items may be dropped.
    pub retention: Duration,
    /// Maximum tokens of unfinished items queued on all nodes; zero means no limit.
    pub queued_token_limit: u64,
}

/// Settings of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceDefinition {
    /// Path of the health check.
    pub health_path: String,
    /// Maximum connections to one server of the service, from all callers together.
    pub max_connections: u32,
}

/// Limits on client connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Time within which the request head must arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
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

/// Routes, services and tenants of one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingTable {
    /// Version; a newer table has a higher one.
    pub version: u64,
    /// Client limits.
    pub limits: ClientLimits,
    /// Services by name.
    pub services: HashMap<Arc<str>, ServiceDefinition>,
    /// Tenants and the keys of their callers.
    pub tenants: Tenants,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    precedences: HashMap<RouteKey, u32>,
    /// Services whose routes differ in precedence.
    mixed_precedence_services: HashSet<Arc<str>>,
    shortest_target: Duration,
}

impl RoutingTable {
    /// Creates a table with these routes.
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

    /// The route of the host with the longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        let routes = self.by_host.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix)).cloned()
    }

    /// The shortest latency target of all routes; zero without routes.
    pub fn shortest_target(&self) -> Duration {
        self.shortest_target
    }

    /// The route with this name.
    pub fn named(&self, name: &str) -> Option<Arc<Route>> {
        self.by_host.values().flatten().find(|route| &*route.name == name).cloned()
    }

    /// The tenant of the caller's key. `None` if the table has no tenants, or if `public`
    /// is set and no tenant has the key.
    ///
    /// # Errors
    /// [`UnknownKey`] if a key is required and no tenant has it.
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

    /// Whether the table orders the requests of a service: it has tenants, or the routes
    /// of the service differ in precedence.
    pub fn orders_requests(&self, service: &str) -> bool {
        !self.tenants.is_empty() || self.mixed_precedence_services.contains(service)
    }

    /// Precedence of a tenant's requests on a route. The tenant's precedence overrides the
    /// route's; `None` if the table has neither.
    pub fn precedence(&self, tenant: TenantKey, route: RouteKey) -> Option<u32> {
        let tenant_precedence = self.tenants.get(tenant).and_then(|tenant| tenant.precedence);
        tenant_precedence.or_else(|| self.precedences.get(&route).copied())
    }

    /// Whether batch jobs of a host may be submitted without a key.
    pub fn has_public_jobs(&self, host: &str) -> bool {
        let mut routes = self.by_host.get(host).into_iter().flatten();
        routes.any(|route| route.kind == RequestKind::Batch && route.public)
    }

    /// Whether batch jobs of a host may be submitted.
    pub fn has_jobs(&self, host: &str) -> bool {
        let mut routes = self.by_host.get(host).into_iter().flatten();
        routes.any(|route| route.kind == RequestKind::Batch)
    }

    /// Whether any route has this host.
    pub fn has_host(&self, host: &str) -> bool {
        self.by_host.contains_key(host)
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }
}

/// Services whose online routes differ in precedence. Batch routes are left out: every
/// online request preempts batch jobs.
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

/// Distributes the requests of a route over its services by weight (smooth weighted
/// round robin).
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
    /// Selects the service for the next request of the route; `None` without services.
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
