//! The ports of a node that clients reach, each group within a budget of its own: callers and
//! operators do not take what the other nodes need.

use crate::settings::Settings;
use latchwheel_clock::process;
use latchwheel_core::client_budget::BudgetLimits;
use latchwheel_core::code::ResultCode;
use latchwheel_core::routes::ClientLimits;
use latchwheel_gateway::refuse;
use latchwheel_http::{ClientGuard, ClientPort};
use std::time::Duration;
use tokio::sync::watch;

/// Time between looks at what was refused.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Memory of a machine that tells none.
const DEFAULT_MEMORY_BYTES: u64 = 1 << 30;
/// Descriptors of a process that tells none.
const DEFAULT_DESCRIPTORS: u64 = 1024;

/// The ports of a node.
#[derive(Clone, Debug)]
pub(crate) struct ClientPorts {
    /// For callers and operators.
    pub(crate) callers: ClientPort,
    /// For other nodes.
    pub(crate) peers: ClientPort,
}

impl ClientPorts {
    pub(crate) fn new(settings: &Settings) -> Self {
        let limits = budget(settings.client_budget);
        // Half of the descriptors that callers leave stays free for servers and the store.
        let peers = BudgetLimits { connections: (limits.connections / 2).max(1), ..limits };
        Self {
            callers: port("callers", limits, settings.client_limits),
            peers: port("nodes", peers, settings.client_limits),
        }
    }
}

fn port(name: &'static str, budget: BudgetLimits, limits: ClientLimits) -> ClientPort {
    let guard = ClientGuard::new(budget);
    tokio::spawn(report(name, guard.clone()));
    ClientPort { guard, limits: watch::channel(limits).1, no_room: || refuse(ResultCode::NoMemory, "") }
}

/// The limits of the settings, with parts of the machine's for those that are zero.
fn budget(told: BudgetLimits) -> BudgetLimits {
    let memory = process::machine_memory_bytes().unwrap_or(DEFAULT_MEMORY_BYTES);
    let descriptors = process::descriptor_limit().unwrap_or(DEFAULT_DESCRIPTORS);
    let machine = BudgetLimits::of_machine(memory as usize, descriptors as usize);
    let told_or = |told: usize, part: usize| if told > 0 { told } else { part };
    BudgetLimits {
        bytes: told_or(told.bytes, machine.bytes),
        connections: told_or(told.connections, machine.connections),
    }
}

/// Logs what was refused, in one line for each interval in which something was.
async fn report(port: &'static str, guard: ClientGuard) {
    let mut interval = tokio::time::interval(REPORT_INTERVAL);
    loop {
        interval.tick().await;
        let counts = guard.take_counts();
        if !counts.is_empty() {
            let (limits, used) = (guard.limits(), guard.used_bytes());
            log::warn!(
                target: "E1003",
                "clients of the port for {port} were refused: {counts:?}; {used} of {} bytes, {} of {} connections",
                limits.bytes, guard.connections(), limits.connections
            );
        }
    }
}
