//! The node's metrics. `docs/OPERATIONS.md` tells what to look at.

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;
use std::time::Duration;

const FIRST_BUCKET_SECONDS: f64 = 0.001;
const BUCKETS: u16 = 16;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct AnswerLabels {
    row: String,
    code: u32,
}

/// Gauges that are read when the metrics are asked for.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Readings {
    pub(crate) revision: u64,
    pub(crate) members: usize,
    pub(crate) online_in_progress: usize,
    pub(crate) batch_held: usize,
    pub(crate) membership_sent_bytes: u64,
    pub(crate) membership_received_bytes: u64,
    pub(crate) groups_led: usize,
}

/// The metrics of one node.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    answers: Family<AnswerLabels, Counter>,
    first_token: Histogram,
    forwards: Counter,
    batch_items: Counter,
    preemptions: Counter,
    revision: Gauge,
    members: Gauge,
    online_in_progress: Gauge,
    batch_held: Gauge,
    sent_bytes: Gauge,
    received_bytes: Gauge,
    groups_led: Gauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("latchwheel"),
            answers: Family::default(),
            first_token: Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKETS)),
            forwards: Counter::default(),
            batch_items: Counter::default(),
            preemptions: Counter::default(),
            revision: Gauge::default(),
            members: Gauge::default(),
            online_in_progress: Gauge::default(),
            batch_held: Gauge::default(),
            sent_bytes: Gauge::default(),
            received_bytes: Gauge::default(),
            groups_led: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("answers", "Answers by row and result code; 0 is success", self.answers.clone());
        registry.register(
            "first_token_seconds",
            "Time from sending to an engine to its first token",
            self.first_token.clone(),
        );
        registry.register("forwards", "Online requests sent to another owner", self.forwards.clone());
        registry.register("batch_items", "Batch items that ended here", self.batch_items.clone());
        registry.register("preemptions", "Batch items that gave way to online work", self.preemptions.clone());
        registry.register("table_revision", "Table revision in force", self.revision.clone());
        registry.register("members", "Other nodes that are alive or suspected", self.members.clone());
        registry.register(
            "online_in_progress",
            "Online requests that run or wait here",
            self.online_in_progress.clone(),
        );
        registry.register("batch_held", "Batch items held here", self.batch_held.clone());
        registry.register("membership_sent_bytes", "Bytes of membership sent", self.sent_bytes.clone());
        registry.register("membership_received_bytes", "Bytes of membership received", self.received_bytes.clone());
        registry.register("store_groups_led", "Store groups that this node leads", self.groups_led.clone());
    }

    pub(crate) fn note_answer(&self, row: &str, code: u32) {
        self.answers.get_or_create(&AnswerLabels { row: row.to_owned(), code }).inc();
    }

    pub(crate) fn note_first_token(&self, time: Duration) {
        self.first_token.observe(time.as_secs_f64());
    }

    pub(crate) fn note_forward(&self) {
        self.forwards.inc();
    }

    pub(crate) fn note_batch_item(&self) {
        self.batch_items.inc();
    }

    pub(crate) fn note_preemption(&self) {
        self.preemptions.inc();
    }

    /// The metrics as text.
    pub(crate) fn text(&self, readings: Readings) -> String {
        self.revision.set(readings.revision as i64);
        self.members.set(readings.members as i64);
        self.online_in_progress.set(readings.online_in_progress as i64);
        self.batch_held.set(readings.batch_held as i64);
        self.sent_bytes.set(readings.membership_sent_bytes as i64);
        self.received_bytes.set(readings.membership_received_bytes as i64);
        self.groups_led.set(readings.groups_led as i64);
        let mut text = String::new();
        // Writing into a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
