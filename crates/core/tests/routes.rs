//! Tests of the routing table and weighted round robin.

use latchwheel_core::dispatch::RouteKey;
use latchwheel_core::routes::{
    ClientLimits, RequestKind, Route, RoutingTable, ServiceDefinition, WeightedRoundRobin, WeightedService,
};
use latchwheel_core::tenants::{RateLimit, Tenant, TenantKey, Tenants};
use proptest::prelude::*;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

fn route(name: &str, host: &str, prefix: &str, targets: &[(&str, f64)]) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(4),
        latency_target: Duration::from_millis(300),
        precedence: 0,
        public: false,
        targets: targets
            .iter()
            .map(|(service, weight)| WeightedService { service: (*service).into(), weight: *weight })
            .collect(),
        max_attempts: 2,
        gap_target: None,
        caller_timeout: None,
        due: Duration::from_secs(20),
        retention: Duration::from_secs(60),
        queued_token_limit: 0,
    }
}

fn table(routes: Vec<Route>) -> RoutingTable {
    RoutingTable::new(
        1,
        ClientLimits::default(),
        HashMap::<Arc<str>, ServiceDefinition>::new(),
        Tenants::default(),
        routes,
    )
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table(vec![
        route("short", "a.example", "/x/", &[("s", 1.0)]),
        route("long", "a.example", "/x/y/", &[("s", 1.0)]),
        route("other", "b.example", "/x/y/z/", &[("s", 1.0)]),
    ]);
    let name = |host, path| table.find(host, path).map(|route| route.name.to_string());
    assert_eq!(name("a.example", "/x/y/z/1"), Some("long".into()));
    assert_eq!(name("a.example", "/x/1"), Some("short".into()));
    assert_eq!(name("a.example", "/x"), None);
    assert_eq!(name("b.example", "/x/1"), None);
    assert_eq!(name("c.example", "/x/1"), None);
}

#[test]
fn changed_weights_apply_at_once() {
    let mut round_robin = WeightedRoundRobin::default();
    let before = route("r", "a.example", "/", &[("s", 90.0), ("t", 10.0)]);
    (0..7).for_each(|_| drop(round_robin.next(&before)));
    let after = route("r", "a.example", "/", &[("s", 0.0), ("t", 10.0)]);
    assert!((0..20).all(|_| round_robin.next(&after).as_deref() == Some("t")));
}

proptest! {
    /// After any number of requests each service is within its share, up to one request per
    /// service of the route.
    #[test]
    fn shares_follow_weights(weights in prop::collection::vec(1_u32..100, 1..6), requests in 1_usize..500) {
        let names: Vec<String> = (0..weights.len()).map(|number| format!("s{number}")).collect();
        let targets: Vec<(&str, f64)> =
            names.iter().zip(&weights).map(|(name, weight)| (name.as_str(), f64::from(*weight))).collect();
        let route = route("r", "a.example", "/", &targets);
        let mut round_robin = WeightedRoundRobin::default();
        let mut counts: HashMap<Arc<str>, usize> = HashMap::new();
        for _ in 0..requests {
            *counts.entry(round_robin.next(&route).unwrap()).or_default() += 1;
        }
        let total: u32 = weights.iter().sum();
        for (name, weight) in names.iter().zip(&weights) {
            let share = requests as f64 * f64::from(*weight) / f64::from(total);
            let count = counts.get(name.as_str()).copied().unwrap_or(0) as f64;
            prop_assert!((count - share).abs() <= weights.len() as f64, "{count} of {share}");
        }
    }
}

fn tenant(name: &str, precedence: Option<u32>) -> (Tenant, Vec<String>) {
    let tenant = Tenant { name: name.into(), key: TenantKey::of(name), precedence, limit: RateLimit::default() };
    (tenant, Vec::new())
}

#[test]
fn requests_are_ordered_only_with_tenants_or_mixed_precedence() {
    let route_with = |name: &str, service: &str, precedence| Route {
        precedence,
        ..route(name, "a", &format!("/{name}/"), &[(service, 1.0)])
    };
    let batch = Route { kind: RequestKind::Batch, ..route_with("jobs", "even", 9) };
    let routes = vec![route_with("x", "mixed", 0), route_with("y", "mixed", 1), route_with("z", "even", 1), batch];
    let without_tenants = table(routes.clone());
    assert!(without_tenants.orders_requests("mixed"));
    assert!(!without_tenants.orders_requests("even"), "batch jobs are always preempted");
    let tenants = Tenants::new([tenant("t", Some(3)), tenant("u", None)]);
    let table = RoutingTable::new(1, ClientLimits::default(), HashMap::new(), tenants, routes);
    assert!(table.orders_requests("even"));
    let precedence = |tenant, route| table.precedence(TenantKey::of(tenant), RouteKey::of(route));
    assert_eq!(precedence("t", "y"), Some(3));
    assert_eq!(precedence("u", "y"), Some(1));
    assert_eq!(precedence("gone", "gone"), None);
}
