//! Metrics, mostly counted from the events.
//!
//! The number of series is bounded: label values beyond the limit share one series.

use crate::event::Event;
use crate::tenant_metrics::{SlotOutcome, TenantMetrics};
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;
use std::collections::HashSet;
use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Duration;

/// Most distinct label values.
const MAX_LABEL_VALUES: usize = 100;
/// Label of the series that counts all second attempts.
const SECOND_STARTED: &str = "begun";
/// Label value beyond the limit.
const OTHER_LABEL: &str = "other";
/// Upper bound of the first histogram bucket; each further bound doubles.
const FIRST_BUCKET_SECONDS: f64 = 0.002;
const BUCKET_COUNT: u16 = 15;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct NameLabel {
    name: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct AnswerLabels {
    route: String,
    status: u16,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct RefusalLabels {
    route: String,
    code: u32,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct StoreCallLabels {
    kind: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct KnownRecordsLabels {
    name: String,
    origin: &'static str,
}

fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}

type ByName<T> = Family<NameLabel, T>;
type DurationByName = Family<NameLabel, Histogram, fn() -> Histogram>;

struct Metrics {
    registry: Registry,
    labels: Mutex<HashSet<String>>,
    events: ByName<Counter>,
    answers: Family<AnswerLabels, Counter>,
    refusals: Family<RefusalLabels, Counter>,
    attempt_failures: ByName<Counter>,
    first_piece: DurationByName,
    answer: DurationByName,
    attempts: Histogram,
    second_attempts: ByName<Counter>,
    job_acceptance: Histogram,
    item: Histogram,
    dependency_up: ByName<Gauge>,
    server_load: ByName<Gauge<f64, AtomicU64>>,
    server_time_factor: ByName<Gauge<f64, AtomicU64>>,
    machine_room: ByName<Gauge>,
    clients_held: ByName<Gauge>,
    clients_limited: ByName<Counter>,
    table_version: Gauge,
    store_calls: Family<StoreCallLabels, Counter>,
    records_age: DurationByName,
    known_records_age: Family<KnownRecordsLabels, Gauge<f64, AtomicU64>>,
    lines_dropped: Counter,
    tenants: TenantMetrics,
}

static METRICS: OnceLock<Metrics> = OnceLock::new();

fn metrics() -> &'static Metrics {
    METRICS.get_or_init(Metrics::new)
}

impl Metrics {
    fn new() -> Self {
        let mut registry = Registry::with_prefix("latchwheel");
        let events = ByName::default();
        registry.register("events", "Events by name, whether logged or not", events.clone());
        let answers = Family::default();
        registry.register("answers", "Answers passed on, by route and status", answers.clone());
        let refusals = Family::default();
        registry.register("refusals", "Requests refused or given up, by route and result code", refusals.clone());
        let attempt_failures = ByName::default();
        registry.register("attempt_failures", "Attempts at servers that failed, by reason", attempt_failures.clone());
        let first_piece = DurationByName::new_with_constructor(duration_histogram);
        registry.register("first_piece_seconds", "Time to the first piece of an answer", first_piece.clone());
        let answer = DurationByName::new_with_constructor(duration_histogram);
        registry.register("answer_seconds", "Time to the end of an answer", answer.clone());
        let attempts = Histogram::new([1.0, 2.0, 3.0, 4.0]);
        registry.register("attempts", "Attempts of answered requests", attempts.clone());
        let second_attempts = ByName::default();
        registry.register("second_attempts", "Second attempts: begun, and won by either", second_attempts.clone());
        let job_acceptance = duration_histogram();
        registry.register("job_acceptance_seconds", "Time to keep a batch job", job_acceptance.clone());
        let item = duration_histogram();
        registry.register("item_seconds", "Time from taking a job to the end of an item", item.clone());
        let dependency_up = ByName::default();
        registry.register("dependency_up", "Whether a dependency answers", dependency_up.clone());
        let server_load = ByName::default();
        registry.register("server_load", "Requests believed to run or wait at a server", server_load.clone());
        let server_time_factor = ByName::default();
        let help = "Time that work is believed to take at a server, in parts of the usual";
        registry.register("server_time_factor", help, server_time_factor.clone());
        let machine_room = ByName::default();
        let help = "Percent that is left of a limit of this machine, by limit; 100 where it is not known";
        registry.register("machine_room", help, machine_room.clone());
        let clients_held = ByName::default();
        let help = "Bytes and connections that clients make the process keep, and their limits";
        registry.register("clients_held", help, clients_held.clone());
        let clients_limited = ByName::default();
        let help = "Connections and requests of clients that were refused or dropped, by limit";
        registry.register("clients_limited", help, clients_limited.clone());
        let table_version = Gauge::default();
        registry.register("table_version", "Version of the routing table in force", table_version.clone());
        let store_calls = Family::default();
        registry.register("store_calls", "Calls to the record store, by kind and outcome", store_calls.clone());
        let records_age = DurationByName::new_with_constructor(duration_histogram);
        registry.register(
            "records_age_seconds",
            "How old what is known of followed records had become when it was renewed, by prefix",
            records_age.clone(),
        );
        let known_records_age = Family::default();
        registry.register(
            "known_records_age_seconds",
            "Time since the store confirmed the records that are used, by prefix and by who told them",
            known_records_age.clone(),
        );
        let lines_dropped = Counter::default();
        registry.register("lines_dropped", "Lines of the log that were dropped", lines_dropped.clone());
        let tenants = TenantMetrics::default();
        tenants.register(&mut registry);
        Self {
            registry,
            labels: Mutex::default(),
            events,
            answers,
            refusals,
            attempt_failures,
            first_piece,
            answer,
            attempts,
            second_attempts,
            job_acceptance,
            item,
            dependency_up,
            server_load,
            server_time_factor,
            machine_room,
            clients_held,
            clients_limited,
            table_version,
            store_calls,
            records_age,
            known_records_age,
            lines_dropped,
            tenants,
        }
    }

    /// The label itself, or the common label beyond the limit.
    fn bounded_label(&self, label: &str) -> String {
        let mut labels = self.labels.lock().unwrap_or_else(PoisonError::into_inner);
        if labels.contains(label) {
            return label.to_owned();
        }
        if labels.len() >= MAX_LABEL_VALUES {
            return OTHER_LABEL.to_owned();
        }
        labels.insert(label.to_owned());
        label.to_owned()
    }

    fn name_label(&self, label: &str) -> NameLabel {
        NameLabel { name: self.bounded_label(label) }
    }
}

/// Updates the metrics for an event.
pub(crate) fn count(event: &Event<'_>) {
    let metrics = metrics();
    let name = event.kind().1.to_owned();
    metrics.events.get_or_create(&NameLabel { name }).inc();
    match *event {
        Event::RequestAnswered { route, status, total_ms, first_piece_ms, attempts, .. } => {
            let label = metrics.name_label(route);
            metrics.answers.get_or_create(&AnswerLabels { route: label.name.clone(), status }).inc();
            metrics.first_piece.get_or_create(&label).observe(first_piece_ms as f64 / 1000.0);
            metrics.answer.get_or_create(&label).observe(total_ms as f64 / 1000.0);
            metrics.attempts.observe(f64::from(attempts));
        }
        Event::RequestRefused { route, code, .. } => {
            metrics.refusals.get_or_create(&RefusalLabels { route: metrics.bounded_label(route), code }).inc();
        }
        Event::AttemptFailed { reason, .. } | Event::ItemAttemptFailed { reason, .. } => {
            metrics.attempt_failures.get_or_create(&metrics.name_label(reason)).inc();
        }
        Event::SecondAttempt { won, .. } => {
            metrics.second_attempts.get_or_create(&NameLabel { name: SECOND_STARTED.to_owned() }).inc();
            metrics.second_attempts.get_or_create(&NameLabel { name: won.to_owned() }).inc();
        }
        Event::ClientsLimited {
            refused_connections,
            closed_connections,
            dropped_bodies,
            refused_requests,
            oversized_heads,
            slow_heads,
            ..
        } => {
            let counts = [
                ("refused_connection", refused_connections),
                ("closed_connection", closed_connections),
                ("dropped_body", dropped_bodies),
                ("refused_request", refused_requests),
                ("oversized_head", oversized_heads),
                ("slow_head", slow_heads),
            ];
            for (name, count) in counts {
                metrics.clients_limited.get_or_create(&NameLabel { name: name.to_owned() }).inc_by(count);
            }
        }
        Event::JobAccepted { after_ms, .. } => metrics.job_acceptance.observe(after_ms as f64 / 1000.0),
        Event::ItemEnded { after_ms, .. } => metrics.item.observe(after_ms as f64 / 1000.0),
        Event::DependencyLost { dependency, .. } => {
            metrics.dependency_up.get_or_create(&metrics.name_label(dependency)).set(0);
        }
        Event::DependencyRegained { dependency, .. } => {
            metrics.dependency_up.get_or_create(&metrics.name_label(dependency)).set(1);
        }
        Event::TableInForce { version, .. } => {
            metrics.table_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        }
        _ => {}
    }
}

/// Counts a call to the record store, sent or held back.
pub fn count_store_call(kind: &'static str, outcome: &'static str) {
    metrics().store_calls.get_or_create(&StoreCallLabels { kind, outcome }).inc();
}

/// Records the age that the records under a prefix had when they were confirmed again.
pub fn observe_records_age(prefix: &str, age: Duration) {
    let metrics = metrics();
    metrics.records_age.get_or_create(&metrics.name_label(prefix)).observe(age.as_secs_f64());
}

/// Replaces the ages of the records in use, by prefix and origin: the time since the store
/// confirmed them, infinite if unknown.
pub fn set_known_record_ages<'a>(known: impl Iterator<Item = (&'a str, &'static str, Option<Duration>)>) {
    let metrics = metrics();
    metrics.known_records_age.clear();
    for (prefix, origin, age) in known.take(MAX_LABEL_VALUES) {
        let label = KnownRecordsLabels { name: prefix.to_owned(), origin };
        let age = age.map_or(f64::INFINITY, |age| age.as_secs_f64());
        metrics.known_records_age.get_or_create(&label).set(age);
    }
}

/// Counts a finished claim on a slot; `work` is in prompt tokens.
pub fn count_claim(precedence: u32, tenant: &str, outcome: SlotOutcome, work: u64) {
    metrics().tenants.add_claim(precedence, tenant, outcome, work);
}

/// Counts dropped log lines.
pub(crate) fn count_dropped(lines: u64) {
    metrics().lines_dropped.inc_by(lines);
}

/// Replaces the estimated loads of the servers.
pub fn set_server_loads<'a>(loads: impl Iterator<Item = (&'a str, f64)>) {
    let metrics = metrics();
    metrics.server_load.clear();
    for (server, load) in loads.take(MAX_LABEL_VALUES) {
        metrics.server_load.get_or_create(&NameLabel { name: server.to_owned() }).set(load);
    }
}

/// Replaces the estimated times of work at the servers, relative to the usual time.
pub fn set_server_time_factors<'a>(factors: impl Iterator<Item = (&'a str, f64)>) {
    let metrics = metrics();
    metrics.server_time_factor.clear();
    for (server, factor) in factors.take(MAX_LABEL_VALUES) {
        metrics.server_time_factor.get_or_create(&NameLabel { name: server.to_owned() }).set(factor);
    }
}

/// Sets the percentage left of each resource limit of this machine.
pub fn set_machine_room<'a>(rooms: impl IntoIterator<Item = (&'a str, u8)>) {
    let metrics = metrics();
    for (limit, percent) in rooms {
        metrics.machine_room.get_or_create(&NameLabel { name: limit.to_owned() }).set(percent.into());
    }
}

/// Sets what clients make the process keep.
pub fn set_clients_held<'a>(held: impl IntoIterator<Item = (&'a str, usize)>) {
    let metrics = metrics();
    for (name, value) in held {
        metrics.clients_held.get_or_create(&NameLabel { name: name.to_owned() }).set(value as i64);
    }
}

/// Returns all metrics in the Prometheus text format.
pub fn text() -> String {
    let mut text = String::new();
    metrics().tenants.update_series();
    // Writing to a string can't fail.
    let _ = encode(&mut text, &metrics().registry);
    text
}
