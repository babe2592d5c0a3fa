//! Runs the rows' limits: asks the homes for shares, and grants shares of
//! the rows whose home this node is.

use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::members::Members;
use crate::peers::{PeerCall, PeerClient};
use latchwheel_core::identity::{stable_hash, NodeId};
use latchwheel_core::limits::{LimitHolder, LimitHome, ShareDemand};
use latchwheel_core::ownership::home_of;
use latchwheel_core::table::Row;
use latchwheel_protocol::v1::{LimitRequest, LimitShare};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

const INTERVAL: Duration = Duration::from_millis(250);
const CALL_TIME: Duration = Duration::from_secs(1);

/// The running limits.
#[derive(Debug)]
pub(crate) struct Limits {
    holder: Mutex<LimitHolder>,
    home: Mutex<LimitHome>,
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

    /// Takes one request of the row.
    ///
    /// # Errors
    /// The time after which the row has room again.
    pub(crate) fn admit(&self, row: &Row) -> Result<(), Duration> {
        let rate = self.region_rate(row);
        if rate <= 0.0 {
            return Ok(());
        }
        let nodes = self.members.view().live_in_region().count();
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

    /// Grants a share of a row whose home this node is.
    pub(crate) fn grant(&self, request: &LimitRequest) -> LimitShare {
        let table = self.configuration.table();
        let rate = table.rows.get(&request.row).map_or(0.0, |row| self.region_rate(row));
        let mut home = self.home.lock().unwrap_or_else(PoisonError::into_inner);
        let node = NodeId(request.node);
        let granted = home.grant(self.clock.now(), &request.row, rate, node, request.demand_per_second);
        LimitShare { row: request.row.clone(), rate_per_second: granted, ..LimitShare::default() }
    }

    /// Asks for shares for ever.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            tokio::time::sleep(INTERVAL).await;
            let demands = self.holder.lock().unwrap_or_else(PoisonError::into_inner).demands(self.clock.now());
            for demand in demands {
                tokio::spawn(self.clone().ask(demand));
            }
        }
    }

    async fn ask(self: Arc<Self>, demand: ShareDemand) {
        let view = self.members.view();
        let nodes = view.live_in_region().map(|record| NodeId(record.node));
        let Some(home) = home_of(stable_hash(demand.row.as_bytes()), nodes) else { return };
        let request =
            LimitRequest { node: view.me.node, row: demand.row.clone(), demand_per_second: demand.per_second };
        let asked_at = self.clock.now();
        let share = if home.0 == view.me.node {
            self.grant(&request)
        } else {
            let Some(address) = view.address_of(home) else { return };
            // Without an answer the last share stands until it lapses.
            match self.peers.call(&address, PeerCall::Limit, &request, CALL_TIME).await {
                Ok(share) => share,
                Err(_) => return,
            }
        };
        let mut holder = self.holder.lock().unwrap_or_else(PoisonError::into_inner);
        holder.granted(self.clock.now(), asked_at, &demand.row, share.rate_per_second);
    }
}
