//! All keys of the settings. `docs/SETTINGS.md` holds the same table; a test
//! compares the two.

use std::net::SocketAddr;
use toml::Value;

/// What a field holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FieldKind {
    /// A name of letters, digits, '-', '_' and '.'.
    Name,
    /// Any text; may be empty.
    Text,
    /// An IP address with a port; may be empty where it has a default.
    Address,
    /// A whole number between two bounds.
    Number(i64, i64),
    /// True or false.
    Flag,
    /// One of some words.
    Choice(&'static [&'static str]),
}

/// One key of the settings.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Key, with its section.
    pub key: &'static str,
    /// What it holds.
    pub kind: FieldKind,
    /// Whether it must be given.
    pub required: bool,
    /// Default, as in the file.
    pub default: &'static str,
    /// What it means.
    pub text: &'static str,
}

const fn required(key: &'static str, kind: FieldKind, text: &'static str) -> Field {
    Field { key, kind, required: true, default: "", text }
}

const fn optional(key: &'static str, kind: FieldKind, default: &'static str, text: &'static str) -> Field {
    Field { key, kind, required: false, default, text }
}

/// All keys.
pub const FIELDS: &[Field] = &[
    required("node.name", FieldKind::Name, "Name, unique among the nodes"),
    required("node.region", FieldKind::Name, "Region"),
    required("node.zone", FieldKind::Name, "Zone"),
    optional("node.data_dir", FieldKind::Text, "", "Data folder; with one, the node is a store replica"),
    optional("node.drain_seconds", FieldKind::Number(0, 3600), "60", "Longest wait of a planned stop"),
    optional("listen.callers", FieldKind::Address, "127.0.0.1:8080", "Address for callers"),
    optional("listen.admin", FieldKind::Address, "127.0.0.1:8081", "Address for operators"),
    optional("listen.peers", FieldKind::Address, "127.0.0.1:8082", "Address for other nodes, TCP and UDP"),
    optional("listen.advertise", FieldKind::Address, "", "Address under which other nodes reach this one"),
    required("platform.key_value", FieldKind::Address, "Key-value service"),
    required("platform.machines", FieldKind::Address, "Machine list"),
    optional("platform.weights", FieldKind::Address, "", "Weight store"),
    optional("platform.announce", FieldKind::Flag, "false", "Enter this node into a stand-in's machine list"),
    optional("membership.period_milliseconds", FieldKind::Number(50, 60_000), "500", "Time between two probes"),
    optional(
        "membership.answer_timeout_milliseconds",
        FieldKind::Number(10, 30_000),
        "150",
        "Time for a direct answer to a probe",
    ),
    optional("store.groups", FieldKind::Number(1, 4096), "1", "Number of store groups, the same on all nodes"),
    optional("store.replicas", FieldKind::Number(1, 7), "3", "Voters of each store group"),
    optional(
        "store.acknowledge",
        FieldKind::Choice(&["quorum", "reachable"]),
        "quorum",
        "Copies before an acknowledgement: a quorum, or all replicas that answer",
    ),
    optional(
        "store.election_timeout_milliseconds",
        FieldKind::Number(50, 60_000),
        "600",
        "Least time without a leader before an election",
    ),
    optional(
        "store.heartbeat_milliseconds",
        FieldKind::Number(10, 10_000),
        "100",
        "Time between a leader's heartbeats",
    ),
    optional("callers.keys", FieldKind::Choice(&["required", "open"]), "required", "Whether callers need a key"),
    optional(
        "callers.body_limit_bytes",
        FieldKind::Number(1024, 1 << 30),
        "4194304",
        "Most bytes of an online request's body",
    ),
    optional("callers.body_seconds", FieldKind::Number(1, 600), "20", "Time in which a body must arrive"),
    optional(
        "callers.head_limit_bytes",
        FieldKind::Number(1024, 1 << 20),
        "16384",
        "Most bytes of a request's head; 431 beyond",
    ),
    optional("callers.head_seconds", FieldKind::Number(1, 600), "10", "Time in which a head must arrive"),
    optional("callers.idle_seconds", FieldKind::Number(1, 3600), "10", "Time after which an idle connection is closed"),
    optional(
        "callers.memory_bytes",
        FieldKind::Number(0, 1 << 40),
        "0",
        "Most memory that clients make the node keep; 503 beyond; 0: a third of the machine's",
    ),
    optional(
        "callers.connections",
        FieldKind::Number(0, 1_000_000),
        "0",
        "Most connections of callers and operators; 0: half of the descriptors",
    ),
    optional("admin.key_sha256", FieldKind::Text, "", "SHA-256 of the operators' key; empty: none is asked for"),
    optional("batch.enabled", FieldKind::Flag, "true", "Whether this node runs batch items"),
    optional(
        "batch.policy",
        FieldKind::Choice(&["yield", "keep"]),
        "yield",
        "Whether batch gives way; keep is a baseline",
    ),
    optional(
        "routing.policy",
        FieldKind::Choice(&["owner", "round-robin"]),
        "owner",
        "Choice of the owner; round-robin is a baseline",
    ),
    optional("routing.cache_aware", FieldKind::Flag, "true", "Whether cached prefixes count"),
    optional("log.level", FieldKind::Choice(&["error", "warn", "info", "debug"]), "info", "Level of the log"),
    optional("log.file", FieldKind::Text, "", "File of the log; empty: standard error"),
];

impl Field {
    /// What the field allows, in words.
    pub fn allowed(&self) -> String {
        match self.kind {
            FieldKind::Name => "letters, digits, '-', '_' and '.'".into(),
            FieldKind::Text => "text".into(),
            FieldKind::Address => "IP:PORT".into(),
            FieldKind::Number(least, most) => format!("{least} to {most}"),
            FieldKind::Flag => "true or false".into(),
            FieldKind::Choice(words) => words.join(", "),
        }
    }

    pub(super) fn check(&self, value: &Value) -> Result<(), String> {
        let fits = match self.kind {
            FieldKind::Name => value.as_str().is_some_and(is_name),
            FieldKind::Text => value.is_str(),
            FieldKind::Address => value
                .as_str()
                .is_some_and(|text| text.parse::<SocketAddr>().is_ok() || (text.is_empty() && !self.required)),
            FieldKind::Number(least, most) => value.as_integer().is_some_and(|number| (least..=most).contains(&number)),
            FieldKind::Flag => value.is_bool(),
            FieldKind::Choice(words) => value.as_str().is_some_and(|word| words.contains(&word)),
        };
        if fits {
            return Ok(());
        }
        Err(format!("{value} is not allowed; allowed: {}", self.allowed()))
    }

    pub(super) fn default_value(&self) -> Value {
        match self.kind {
            FieldKind::Number(..) => Value::Integer(self.default.parse().unwrap_or_default()),
            FieldKind::Flag => Value::Boolean(self.default == "true"),
            _ => Value::String(self.default.to_owned()),
        }
    }
}

fn is_name(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
}
