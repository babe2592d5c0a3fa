//! Rate limits of rows across nodes: half of a row's rate is divided evenly among
//! the nodes, and one node leases out the other half by demand.
//!
//! A node whose demand stays within its even part sends no request for a lease. A
//! node that can't reach the issuer uses its lease until that expires, then only
//! its even part.

use crate::identity::NodeId;
use crate::time::Instant;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Validity of a leased share.
pub const SHARE_VALIDITY: Duration = Duration::from_secs(5);
/// Time before the end of a lease at which a node requests the next one.
pub const SHARE_RENEWAL_MARGIN: Duration = Duration::from_secs(1);
/// Least time over which demand is measured.
const DEMAND_WINDOW_SECONDS: f64 = 4.0;
/// The same after a refused request, and the least time between urgent demands.
const REFUSAL_WINDOW_SECONDS: f64 = 0.2;
/// Requests within the window below which no lease is requested, unless one was refused.
const MIN_DEMAND_REQUESTS: u64 = 4;
/// Part of a row's rate that is divided evenly.
pub const EVEN_PART: f64 = 0.5;
/// Capacity of a bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 1.0;
/// Least burst that a node admits, however small its part of the rate is; limited
/// to [`BURST_SECONDS`] of the row's whole rate.
const NODE_BURST_REQUESTS: f64 = 4.0;

/// A token bucket.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    /// Creates a full bucket with a rate in tokens per second.
    pub fn new(now: Instant, rate: f64) -> Self {
        Self::with_burst(now, rate, 1.0)
    }

    /// Creates a full bucket with a capacity of at least `burst` tokens.
    pub fn with_burst(now: Instant, rate: f64, burst: f64) -> Self {
        let mut bucket = Self { rate, burst, tokens: 0.0, at: now };
        bucket.tokens = bucket.capacity();
        bucket
    }

    fn capacity(&self) -> f64 {
        (self.rate * BURST_SECONDS).max(self.burst).max(1.0)
    }

    /// Changes the rate; saved tokens stay, up to the new capacity.
    pub fn set_rate(&mut self, now: Instant, rate: f64) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.capacity());
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.since(self.at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.capacity());
        self.at = self.at.max(now);
    }

    /// Takes one token.
    ///
    /// # Errors
    /// The time until a token is available.
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

/// A node's share of the rate of one row.
#[derive(Clone, Debug)]
struct HeldShare {
    bucket: Bucket,
    demand: u64,
    demand_since: Instant,
    refused: bool,
    /// When the last urgent demand was returned.
    urgent_demand_at: Option<Instant>,
    valid_until: Instant,
    even: f64,
    leased: f64,
}

impl HeldShare {
    fn rate(&self, now: Instant) -> f64 {
        if now <= self.valid_until {
            self.even + self.leased
        } else {
            self.even
        }
    }
}

/// The shares of a node that serves requests.
#[derive(Debug, Default)]
pub struct ShareHolder {
    shares: HashMap<String, HeldShare>,
}

/// A demand to send to the row's issuer.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareDemand {
    /// The row.
    pub row: String,
    /// Requests per second at the node.
    pub per_second: f64,
}

impl ShareHolder {
    /// Takes one request from the node's share of `row_rate`: its even part among
    /// `nodes`, and its lease. A rate of zero is no limit.
    ///
    /// # Errors
    /// The time after which to retry.
    pub fn admit(&mut self, now: Instant, row: &str, row_rate: f64, nodes: usize) -> Result<(), Duration> {
        if row_rate <= 0.0 {
            return Ok(());
        }
        let even = row_rate * EVEN_PART / nodes.max(1) as f64;
        if !self.shares.contains_key(row) {
            let share = HeldShare {
                bucket: Bucket::with_burst(now, even, (row_rate * BURST_SECONDS).min(NODE_BURST_REQUESTS)),
                demand: 0,
                demand_since: now,
                refused: false,
                urgent_demand_at: None,
                valid_until: now,
                even,
                leased: 0.0,
            };
            self.shares.insert(row.to_owned(), share);
        }
        let Some(share) = self.shares.get_mut(row) else { return Ok(()) };
        share.demand += 1;
        share.even = even;
        let rate = share.rate(now);
        if share.bucket.rate != rate {
            share.bucket.set_rate(now, rate);
        }
        let taken = share.bucket.take(now);
        share.refused |= taken.is_err();
        taken
    }

    /// Demands to send now: for rows that refused a request, and rows with demand
    /// above the even part. Idle rows are dropped.
    pub fn demands(&mut self, now: Instant) -> Vec<ShareDemand> {
        self.shares.retain(|_, share| share.demand > 0 || now < share.valid_until);
        let mut demands = Vec::new();
        for (row, share) in &mut self.shares {
            let seconds = now.since(share.demand_since).as_secs_f64();
            let window = if share.refused { REFUSAL_WINDOW_SECONDS } else { DEMAND_WINDOW_SECONDS };
            if now + SHARE_RENEWAL_MARGIN < share.valid_until || seconds < window {
                continue;
            }
            let per_second = share.demand as f64 / seconds;
            if share.refused || (share.demand >= MIN_DEMAND_REQUESTS && per_second > share.even) {
                demands.push(ShareDemand { row: row.clone(), per_second });
            }
            share.demand = 0;
            share.demand_since = now;
            share.refused = false;
        }
        demands
    }

    /// The demand for a row that has just refused a request, unless one was sent lately
    /// or a lease is valid.
    pub fn urgent_demands(&mut self, now: Instant, row: &str) -> Vec<ShareDemand> {
        let Some(share) = self.shares.get_mut(row) else { return Vec::new() };
        let sent_lately = share.urgent_demand_at.is_some_and(|at| now.since(at).as_secs_f64() < REFUSAL_WINDOW_SECONDS);
        if sent_lately || now + SHARE_RENEWAL_MARGIN < share.valid_until {
            return Vec::new();
        }
        share.urgent_demand_at = Some(now);
        let seconds = now.since(share.demand_since).as_secs_f64().max(REFUSAL_WINDOW_SECONDS);
        vec![ShareDemand { row: row.to_owned(), per_second: share.demand as f64 / seconds }]
    }

    /// Applies a lease of `rate` requests per second. It runs from `requested_at`,
    /// when the demand was sent, so that it ends here before it ends at the issuer.
    pub fn apply_grant(&mut self, now: Instant, requested_at: Instant, row: &str, rate: f64) {
        if let Some(share) = self.shares.get_mut(row) {
            share.leased = rate;
            share.valid_until = requested_at + SHARE_VALIDITY;
            let rate = share.rate(now);
            share.bucket.set_rate(now, rate);
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct IssuedShare {
    demand: f64,
    granted: f64,
    until: Instant,
}

/// The leases that a node has issued, by row.
#[derive(Debug, Default)]
pub struct ShareIssuer {
    issued: HashMap<String, BTreeMap<NodeId, IssuedShare>>,
}

impl ShareIssuer {
    /// Grants a node a share of the leased part of the row's rate, in proportion to
    /// demand. The sum of valid grants never exceeds that part.
    pub fn grant(&mut self, now: Instant, row: &str, row_rate: f64, node: NodeId, demand: f64) -> f64 {
        let rate = row_rate * (1.0 - EVEN_PART);
        let issued = self.issued.entry(row.to_owned()).or_default();
        issued.retain(|_, share| now < share.until);
        let others_granted: f64 = issued.iter().filter(|(id, _)| **id != node).map(|(_, share)| share.granted).sum();
        let others_demand: f64 = issued.iter().filter(|(id, _)| **id != node).map(|(_, share)| share.demand).sum();
        let total = (others_demand + demand).max(f64::MIN_POSITIVE);
        let proportional = rate * demand / total;
        let granted = proportional.min(rate - others_granted).max(0.0);
        issued.insert(node, IssuedShare { demand, granted, until: now + SHARE_VALIDITY });
        granted
    }
}
