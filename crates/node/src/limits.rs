//! Runs the rows' limits: asks the homes for shares, and grants shares of
//! the rows whose home this node is.

use crate::configuration::Configuration;
use crate::members::Members;
use crate::peers::{PeerCall, PeerClient};
use latchwheel_clock::Clock;
use latchwheel_core::identity::{stable_hash, NodeId};
use latchwheel_core::limits::{ShareDemand, ShareHolder, ShareIssuer};
use latchwheel_core::ownership::rendezvous_first;
use latchwheel_core::table::Row;
use latchwheel_protocol::v1::{LimitDemand, LimitRequest, LimitShare, LimitShares};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

const INTERVAL: Duration = Duration::from_millis(250);
const CALL_TIME: Duration = Duration::from_secs(1);

/// The running limits.
#[derive(Debug)]
pub(crate) struct Limits {
    holder: Mutex<ShareHolder>,
    home: Mutex<ShareIssuer>,
    clock: Clock,
    members: Arc<Members>,
    configuration: Arc<Configuration>,
    peers: PeerClient,
}

impl Limits {
    pub(crate) fn new(
        clock: Clock,
        members: Arc<Members>,
        configuration: Arc<Configuration>,
        peers: PeerClient,
    ) -> Arc<Self> {
        Arc::new(Self { holder: Mutex::default(), home: Mutex::default(), clock, members, configuration, peers })
    }

    /// Takes one request of the row. Before a request is refused, the row's
    /// home is asked once.
    ///
    /// # Errors
    /// The time after which the row has room again.
    pub(crate) async fn admit(self: &Arc<Self>, row: &Row) -> Result<(), Duration> {
        let rate = self.region_rate(row);
        if rate <= 0.0 {
            return Ok(());
        }
        let nodes = self.members.view().live_in_region().count();
        let after = match self.take(row, rate, nodes) {
            Ok(()) => return Ok(()),
            Err(after) => after,
        };
        let demands =
            self.holder.lock().unwrap_or_else(PoisonError::into_inner).urgent_demands(self.clock.now(), &row.name);
        if demands.is_empty() {
            return Err(after);
        }
        for (home, demands) in self.by_home(demands) {
            self.clone().ask(home, demands).await;
        }
        self.take(row, rate, nodes)
    }

    fn take(&self, row: &Row, rate: f64, nodes: usize) -> Result<(), Duration> {
        let mut holder = self.holder.lock().unwrap_or_else(PoisonError::into_inner);
        holder.admit(self.clock.now(), &row.name, rate, nodes)
    }

    /// The region's part of a row's rate: regions share it evenly.
    fn region_rate(&self, row: &Row) -> f64 {
        if row.limits.requests_per_second <= 0.0 {
            return 0.0;
        }
        let view = self.members.view();
        let regions: BTreeSet<&str> =
            view.live().map(|record| record.region.as_str()).chain([view.me.region.as_str()]).collect();
        row.limits.requests_per_second / regions.len() as f64
    }

    /// Grants shares of rows whose home this node is.
    pub(crate) fn grant(&self, request: &LimitRequest) -> LimitShares {
        let table = self.configuration.table();
        let node = NodeId(request.node);
        let now = self.clock.now();
        let mut home = self.home.lock().unwrap_or_else(PoisonError::into_inner);
        let grant = |demand: &LimitDemand| {
            let rate = table.rows.get(&demand.row).map_or(0.0, |row| self.region_rate(row));
            let per_second = home.grant(now, &demand.row, rate, node, demand.per_second);
            LimitShare { row: demand.row.clone(), per_second }
        };
        LimitShares { shares: request.demands.iter().map(grant).collect() }
    }

    /// Asks for shares for ever.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            tokio::time::sleep(INTERVAL).await;
            let demands = self.holder.lock().unwrap_or_else(PoisonError::into_inner).demands(self.clock.now());
            for (home, demands) in self.by_home(demands) {
                tokio::spawn(self.clone().ask(home, demands));
            }
        }
    }

    /// One call a home serves all its rows.
    fn by_home(&self, demands: Vec<ShareDemand>) -> BTreeMap<NodeId, Vec<LimitDemand>> {
        let view = self.members.view();
        let mut by_home: BTreeMap<NodeId, Vec<LimitDemand>> = BTreeMap::new();
        for demand in demands {
            let nodes = view.live_in_region().map(|record| NodeId(record.node));
            if let Some(home) = rendezvous_first(stable_hash(demand.row.as_bytes()), nodes) {
                let asked = LimitDemand { row: demand.row, per_second: demand.per_second };
                by_home.entry(home).or_default().push(asked);
            }
        }
        by_home
    }

    async fn ask(self: Arc<Self>, home: NodeId, demands: Vec<LimitDemand>) {
        let view = self.members.view();
        let request = LimitRequest { node: view.me.node, demands };
        let asked_at = self.clock.now();
        let answer = if home.0 == view.me.node {
            self.grant(&request)
        } else {
            let Some(address) = view.address_of(home) else { return };
            // Without an answer the last share stands until it lapses.
            match self.peers.call(&address, PeerCall::Limit, &request, CALL_TIME).await {
                Ok(answer) => answer,
                Err(_) => return,
            }
        };
        let mut holder = self.holder.lock().unwrap_or_else(PoisonError::into_inner);
        for share in answer.shares {
            holder.apply_grant(self.clock.now(), asked_at, &share.row, share.per_second);
        }
    }
}
