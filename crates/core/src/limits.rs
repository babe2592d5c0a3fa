//! Limits of rows across nodes: a home node leases out shares of the rate.
//!
//! A node asks the row's home only while it has demand, so nothing is sent
//! for idle rows. A node whose home is away keeps its last share for its
//! validity, then falls back to a safe floor.

use crate::identity::NodeId;
use crate::time::Instant;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Validity of a share.
pub const SHARE_VALIDITY: Duration = Duration::from_secs(5);
/// A node asks again this long before its share lapses.
pub const SHARE_RENEWAL: Duration = Duration::from_secs(1);
/// Requests may come in bursts of this many seconds of the rate.
const BURST_SECONDS: f64 = 1.0;

/// A token bucket.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    /// A full bucket with a rate a second.
    pub fn new(now: Instant, rate: f64) -> Self {
        Self { rate, tokens: Self::capacity(rate), at: now }
    }

    fn capacity(rate: f64) -> f64 {
        (rate * BURST_SECONDS).max(1.0)
    }

    /// Changes the rate; what is saved up stays, up to the new capacity.
    pub fn set_rate(&mut self, now: Instant, rate: f64) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(Self::capacity(rate));
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.since(self.at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(Self::capacity(self.rate));
        self.at = self.at.max(now);
    }

    /// Takes one token.
    ///
    /// # Errors
    /// The time after which a token will be there.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.tokens;
        Err(Duration::from_secs_f64((missing / self.rate.max(0.001)).min(60.0)))
    }
}

/// The share of one row that a node holds.
#[derive(Clone, Debug)]
struct HeldShare {
    bucket: Bucket,
    demand: u64,
    demand_since: Instant,
    valid_until: Instant,
    asked: bool,
}

/// The limits as a node that serves requests sees them.
#[derive(Debug, Default)]
pub struct LimitHolder {
    shares: HashMap<String, HeldShare>,
}

/// A share to be asked for at the row's home.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareDemand {
    /// The row.
    pub row: String,
    /// Requests a second that the node had.
    pub per_second: f64,
}

impl LimitHolder {
    /// Takes one request of the row from the node's share of `row_rate`.
    /// Until the first share comes, and after a lapse, the share is the
    /// floor: the row's rate over the number of nodes.
    ///
    /// # Errors
    /// The time after which the row has room again.
    pub fn admit(&mut self, now: Instant, row: &str, row_rate: f64, nodes: usize) -> Result<(), Duration> {
        if row_rate <= 0.0 {
            return Ok(());
        }
        let floor = row_rate / nodes.max(1) as f64;
        if !self.shares.contains_key(row) {
            let share = HeldShare {
                bucket: Bucket::new(now, floor),
                demand: 0,
                demand_since: now,
                valid_until: now,
                asked: false,
            };
            self.shares.insert(row.to_owned(), share);
        }
        let Some(share) = self.shares.get_mut(row) else { return Ok(()) };
        share.demand += 1;
        if now > share.valid_until && share.bucket.rate != floor {
            share.bucket.set_rate(now, floor);
        }
        share.bucket.take(now)
    }

    /// Shares that should be asked for now; idle rows are dropped.
    pub fn demands(&mut self, now: Instant) -> Vec<ShareDemand> {
        self.shares.retain(|_, share| share.demand > 0 || now < share.valid_until);
        let mut demands = Vec::new();
        for (row, share) in &mut self.shares {
            let due = now + SHARE_RENEWAL >= share.valid_until;
            if due && share.demand > 0 {
                let seconds = now.since(share.demand_since).as_secs_f64().max(0.1);
                demands.push(ShareDemand { row: row.clone(), per_second: share.demand as f64 / seconds });
                share.demand = 0;
                share.demand_since = now;
                share.asked = true;
            }
        }
        demands
    }

    /// Takes the home's answer; `asked_at` is when the request was sent, since
    /// a lease counts from before it was asked for.
    pub fn granted(&mut self, now: Instant, asked_at: Instant, row: &str, rate: f64) {
        if let Some(share) = self.shares.get_mut(row) {
            share.bucket.set_rate(now, rate);
            share.valid_until = asked_at + SHARE_VALIDITY;
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    demand: f64,
    granted: f64,
    until: Instant,
}

/// The limits as the home of rows sees them.
#[derive(Debug, Default)]
pub struct LimitHome {
    claims: HashMap<String, BTreeMap<NodeId, Claim>>,
}

impl LimitHome {
    /// Grants a node's share of the row's rate, in proportion to demand. The
    /// sum of grants that are still valid never exceeds the rate.
    pub fn grant(&mut self, now: Instant, row: &str, rate: f64, node: NodeId, demand: f64) -> f64 {
        let claims = self.claims.entry(row.to_owned()).or_default();
        claims.retain(|_, claim| now < claim.until);
        let others: f64 = claims.iter().filter(|(id, _)| **id != node).map(|(_, claim)| claim.granted).sum();
        let wanted: f64 = claims.iter().filter(|(id, _)| **id != node).map(|(_, claim)| claim.demand).sum();
        let total = (wanted + demand).max(f64::MIN_POSITIVE);
        let fair = rate * demand / total;
        let granted = fair.min(rate - others).max(0.0);
        claims.insert(node, Claim { demand, granted, until: now + SHARE_VALIDITY });
        granted
    }

    /// Number of rows with claims.
    pub fn rows(&self) -> usize {
        self.claims.len()
    }
}
