//! Servers that crashed at the same moment.

use super::evidence::GROUP_LOSS_WINDOW;
use crate::dispatch::ServerKey;
use crate::time::Instant;
use std::collections::HashSet;

/// Crashes within [`GROUP_LOSS_WINDOW`] count against a part only if it was running at this
/// share of the servers: whatever crashed the others may have crashed all.
const GROUP_SHARE: f64 = 0.75;

/// A crash of a server.
pub(super) type CrashTime = (Instant, ServerKey);

/// Groups of two servers or more that crashed within [`GROUP_LOSS_WINDOW`].
#[derive(Debug)]
pub(super) struct CrashGroups(Vec<HashSet<ServerKey>>);

impl CrashGroups {
    /// Groups these crashes.
    pub(super) fn of(mut crashes: Vec<CrashTime>) -> Self {
        crashes.sort_unstable();
        let mut groups: Vec<HashSet<ServerKey>> = Vec::new();
        let mut start = None;
        for (at, server) in crashes {
            match groups.last_mut().filter(|_| start.is_some_and(|start| at.since(start) <= GROUP_LOSS_WINDOW)) {
                Some(group) => {
                    group.insert(server);
                }
                None => {
                    start = Some(at);
                    groups.push(HashSet::from([server]));
                }
            }
        }
        groups.retain(|group| group.len() > 1);
        Self(groups)
    }

    /// Keeps those crashes under a part that count against it.
    pub(super) fn retain_counting(&self, crashes: &mut Vec<CrashTime>) {
        for group in &self.0 {
            let running = crashes.iter().filter(|(_, server)| group.contains(server)).count();
            if (running as f64) < group.len() as f64 * GROUP_SHARE {
                crashes.retain(|(_, server)| !group.contains(server));
            }
        }
    }
}
