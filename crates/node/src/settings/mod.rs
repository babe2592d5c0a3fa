//! Settings of a node: read from TOML, checked whole, with all faults
//! reported at once.

mod schema;

pub use schema::{Field, FieldKind, FIELDS};

use latchwheel_core::client_budget::BudgetLimits;
use latchwheel_core::membership;
use latchwheel_core::replication::{self, AckRule};
use latchwheel_core::routes::ClientLimits;
use latchwheel_core::scheduler::BatchPolicy;
use latchwheel_gateway::{GatewaySettings, KeyPolicy};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;
use toml::Value;

/// A fault of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// Key, with its section.
    pub key: String,
    /// What is wrong, and what is allowed.
    pub text: String,
}

impl std::fmt::Display for SettingsFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}: {}", self.key, self.text)
    }
}

/// How an owner is chosen for an online request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// By cached prefix and room.
    #[default]
    Owner,
    /// In turn; a baseline for experiments.
    RoundRobin,
}

/// Checked settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name, unique among the nodes.
    pub name: String,
    /// Region.
    pub region: String,
    /// Zone.
    pub zone: String,
    /// Data folder; none for a node without a disk.
    pub data_dir: Option<PathBuf>,
    /// Address for callers.
    pub callers: String,
    /// Address for operators.
    pub admin: String,
    /// Address for other nodes, TCP and UDP.
    pub peers: String,
    /// Address under which other nodes reach this one; empty means `peers`.
    pub advertise: String,
    /// Key-value service of the platform.
    pub key_value: String,
    /// Machine list of the platform.
    pub machines: String,
    /// Weight store of the platform.
    pub weights: String,
    /// Whether the node enters itself into a stand-in's machine list.
    pub announce: bool,
    /// Timing of the membership's probes.
    pub membership: membership::Settings,
    /// Number of store groups.
    pub groups: u64,
    /// Voters of each store group.
    pub replicas: usize,
    /// Timing and rules of the replication.
    pub replication: replication::Settings,
    /// The callers' and operators' interfaces.
    pub gateway: GatewaySettings,
    /// Limits on connections and requests of clients.
    pub client_limits: ClientLimits,
    /// Memory that clients may make the node keep, in bytes, and their connections; zero means
    /// a part of the machine's.
    pub client_budget: BudgetLimits,
    /// How batch work is treated.
    pub batch_policy: BatchPolicy,
    /// Whether batch items are run at all.
    pub batch_enabled: bool,
    /// How an owner is chosen.
    pub routing: RoutingPolicy,
    /// Whether cached prefixes count.
    pub cache_aware: bool,
    /// Longest time that a planned stop waits for work in progress.
    pub drain_time: Duration,
    /// Level of the log.
    pub log_level: log::LevelFilter,
    /// File of the log; empty means standard error.
    pub log_file: String,
}

impl Settings {
    /// Reads and checks settings.
    ///
    /// # Errors
    /// All faults at once.
    pub fn parse(text: &str) -> Result<Settings, Vec<SettingsFault>> {
        let table: toml::Table = text
            .parse()
            .map_err(|fault: toml::de::Error| vec![SettingsFault { key: "(file)".into(), text: fault.to_string() }])?;
        let values = Checked::check(&table)?;
        Ok(values.settings())
    }

    /// What is in force, as TOML with every key.
    ///
    /// # Errors
    /// All faults at once.
    pub fn in_force(text: &str) -> Result<String, Vec<SettingsFault>> {
        let table: toml::Table = text
            .parse()
            .map_err(|fault: toml::de::Error| vec![SettingsFault { key: "(file)".into(), text: fault.to_string() }])?;
        Ok(Checked::check(&table)?.text())
    }
}

/// Values of all fields, given or default.
struct Checked {
    values: BTreeMap<&'static str, Value>,
}

impl Checked {
    fn check(table: &toml::Table) -> Result<Self, Vec<SettingsFault>> {
        let mut faults = Vec::new();
        let mut given: BTreeMap<String, &Value> = BTreeMap::new();
        for (section, value) in table {
            match value {
                Value::Table(fields) => {
                    given.extend(fields.iter().map(|(name, value)| (format!("{section}.{name}"), value)));
                }
                _ => faults.push(SettingsFault { key: section.clone(), text: "is no section".into() }),
            }
        }
        let mut values = BTreeMap::new();
        for field in FIELDS {
            match given.remove(field.key) {
                Some(value) => match field.check(value) {
                    Ok(()) => drop(values.insert(field.key, value.clone())),
                    Err(text) => faults.push(SettingsFault { key: field.key.into(), text }),
                },
                None if field.required => {
                    let text = format!("is missing; allowed: {}", field.allowed());
                    faults.push(SettingsFault { key: field.key.into(), text });
                }
                None => drop(values.insert(field.key, field.default_value())),
            }
        }
        for key in given.into_keys() {
            let text = format!("is unknown; known here: {}", known_keys(&key));
            faults.push(SettingsFault { key, text });
        }
        if faults.is_empty() {
            Ok(Self { values })
        } else {
            Err(faults)
        }
    }

    fn text_of(&self, key: &str) -> String {
        self.values.get(key).and_then(Value::as_str).unwrap_or_default().to_owned()
    }

    fn number(&self, key: &str) -> u64 {
        self.values.get(key).and_then(Value::as_integer).unwrap_or_default() as u64
    }

    fn milliseconds(&self, key: &str) -> Duration {
        Duration::from_millis(self.number(key))
    }

    fn flag(&self, key: &str) -> bool {
        self.values.get(key).and_then(Value::as_bool).unwrap_or_default()
    }

    fn settings(&self) -> Settings {
        let optional = |key: &str| Some(self.text_of(key)).filter(|text| !text.is_empty());
        Settings {
            name: self.text_of("node.name"),
            region: self.text_of("node.region"),
            zone: self.text_of("node.zone"),
            data_dir: optional("node.data_dir").map(PathBuf::from),
            callers: self.text_of("listen.callers"),
            admin: self.text_of("listen.admin"),
            peers: self.text_of("listen.peers"),
            advertise: self.text_of("listen.advertise"),
            key_value: self.text_of("platform.key_value"),
            machines: self.text_of("platform.machines"),
            weights: self.text_of("platform.weights"),
            announce: self.flag("platform.announce"),
            membership: membership::Settings {
                period: self.milliseconds("membership.period_milliseconds"),
                answer_timeout: self.milliseconds("membership.answer_timeout_milliseconds"),
            },
            groups: self.number("store.groups"),
            replicas: self.number("store.replicas") as usize,
            replication: replication::Settings {
                election_timeout: self.milliseconds("store.election_timeout_milliseconds"),
                heartbeat: self.milliseconds("store.heartbeat_milliseconds"),
                ack_rule: match self.text_of("store.acknowledge").as_str() {
                    "reachable" => AckRule::Reachable,
                    _ => AckRule::Quorum,
                },
            },
            gateway: GatewaySettings {
                keys: match self.text_of("callers.keys").as_str() {
                    "open" => KeyPolicy::Open,
                    _ => KeyPolicy::Required,
                },
                body_limit: self.number("callers.body_limit_bytes") as usize,
                body_time: Duration::from_secs(self.number("callers.body_seconds")),
                admin_key_hash: optional("admin.key_sha256"),
            },
            client_limits: ClientLimits {
                header_bytes: self.number("callers.head_limit_bytes") as usize,
                body_bytes: self.number("callers.body_limit_bytes") as usize,
                header_timeout: Duration::from_secs(self.number("callers.head_seconds")),
                idle_timeout: Duration::from_secs(self.number("callers.idle_seconds")),
            },
            client_budget: BudgetLimits {
                bytes: self.number("callers.memory_bytes") as usize,
                connections: self.number("callers.connections") as usize,
            },
            batch_policy: match self.text_of("batch.policy").as_str() {
                "keep" => BatchPolicy::Keep,
                _ => BatchPolicy::Yield,
            },
            batch_enabled: self.flag("batch.enabled"),
            routing: match self.text_of("routing.policy").as_str() {
                "round-robin" => RoutingPolicy::RoundRobin,
                _ => RoutingPolicy::Owner,
            },
            cache_aware: self.flag("routing.cache_aware"),
            drain_time: Duration::from_secs(self.number("node.drain_seconds")),
            log_level: self.text_of("log.level").parse().unwrap_or(log::LevelFilter::Info),
            log_file: self.text_of("log.file"),
        }
    }

    fn text(&self) -> String {
        let mut sections: BTreeMap<&str, toml::Table> = BTreeMap::new();
        for (key, value) in &self.values {
            if let Some((section, name)) = key.split_once('.') {
                sections.entry(section).or_default().insert(name.to_owned(), value.clone());
            }
        }
        toml::to_string(&sections).unwrap_or_default()
    }
}

fn known_keys(key: &str) -> String {
    let section = key.split('.').next().unwrap_or_default();
    let in_section = |field: &&Field| field.key.split('.').next() == Some(section);
    let known: Vec<&str> = FIELDS.iter().filter(in_section).map(|field| field.key).collect();
    if known.is_empty() {
        let sections: std::collections::BTreeSet<&str> =
            FIELDS.iter().filter_map(|field| field.key.split('.').next()).collect();
        return sections.into_iter().map(|section| format!("[{section}]")).collect::<Vec<_>>().join(", ");
    }
    known.join(", ")
}
