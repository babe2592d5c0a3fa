//! Telling other nodes of the own requests at the servers, by datagrams.
//!
//! A few nodes tell each other directly. Where there are many, each tells the
//! aggregators only, and one of these answers with the sum over all nodes. A
//! lost datagram is made good by the next one; an aggregator that does not
//! answer is left for the next one. Where none of the aggregators hears enough of the
//! others, deputies are told as well.

mod crash_news;
mod duties;
mod known;
mod messages;
mod origins;
mod sums;

pub use known::{Peer, Peers};

use crate::crashes::CrashWatch;
use crate::dialect::Dialect;
use crate::permits::Permits;
use crate::shared::Shared;
use crate::waiting::sleep_or_never;
use known::Candidate;
use latchwheel_core::byte_budget::ByteBudget;
use latchwheel_core::dispatch::{NodeShares, ServerKey, REPORT_REPEAT_INTERVAL, REPORT_TTL};
use latchwheel_core::identity::NodeId;
use latchwheel_protocol::{v1, Message};
use messages::{coverage_of, hearing_number, message_of, queue_message_of, queue_of, share_of};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use sums::PreparedSum;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// Least time between two reports.
const TELL_EVERY: Duration = Duration::from_millis(100);
/// The same where aggregators are told.
const TELL_AGGREGATORS_EVERY: Duration = Duration::from_millis(150);
/// Keepers are told of requests that have ended after this time, so that several
/// come together.
const TELL_CHANGES_AFTER: Duration = Duration::from_millis(4);
/// Most bytes of reports that a node sends in a second.
const BYTES_PER_SECOND: usize = 16 << 10;
/// Bytes of a datagram beside its content.
const DATAGRAM_BYTES: usize = 48;
/// Up to so many peers are told directly, all of them each time.
const DIRECT_LIMIT: usize = 24;
/// An aggregator that has not answered for this time is left.
const AGGREGATOR_SILENCE: Duration = Duration::from_millis(700);
/// Where there are many nodes, one that others must be able to hear tells them
/// this often that it lives.
const HELLO_EVERY: Duration = Duration::from_millis(1000);
/// Least time between two looks at permits without news.
const LEAST_PERMIT_PAUSE: Duration = Duration::from_millis(5);
/// Most servers in one datagram; its size bounds it.
const SHARE_LIMIT: usize = 60;
const DATAGRAM_LIMIT: usize = 1500;

/// What a node does for others beside telling them of its requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerDuties {
    /// Others must be able to hear it, however many there are.
    pub sends_heartbeat: bool,
    /// It sums up what all nodes tell.
    pub aggregates: bool,
    /// Most bytes of sums that it sends in a second; beyond it some nodes hear
    /// of the others later.
    pub sum_bytes_per_second: f64,
}

/// Tells peers of the own requests and hears of theirs, for ever.
pub async fn exchange_shares<D: Dialect>(
    shared: Arc<Shared<D>>,
    socket: UdpSocket,
    name: &str,
    duties: PeerDuties,
    peers: Peers,
) {
    let mut exchange = PeerExchange::new(shared, socket, name, duties);
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    let mut next = Instant::now() + TELL_EVERY;
    let mut room_asked = exchange.shared.room_asked.take_receiver();
    let mut keeper_calls = exchange.shared.placements.calls.take_receiver();
    let mut claim_answers = exchange.shared.keeper_claims.answers.take_receiver();
    let mut withdrawals = exchange.shared.placements.withdrawals.take_receiver();
    let mut new_records = exchange.shared.stream_origins.new_records.take_receiver();
    let mut origin_queries = exchange.shared.stream_origins.queries.take_receiver();
    let mut changes_due: Option<Instant> = None;
    loop {
        let until_changes = changes_due.map(|due| due.saturating_duration_since(Instant::now()));
        tokio::select! {
            Some(call) = next_of(&mut keeper_calls) => exchange.call_keeper(call),
            Some(answer) = next_of(&mut claim_answers) => exchange.answer_claim(answer, &peers),
            Some(withdrawal) = next_of(&mut withdrawals) => exchange.withdraw_claim(withdrawal),
            Some(record) = next_of(&mut new_records) => {
                exchange.send_new_records(record, new_records.as_mut(), &peers);
            }
            Some(query) = next_of(&mut origin_queries) => exchange.send_origin_query(query, &peers),
            () = sleep_or_never(exchange.claims_due()) => exchange.renew_claims(&peers),
            () = exchange.shared.load_changed.notified(), if changes_due.is_none() => {
                changes_due = Some(Instant::now() + TELL_CHANGES_AFTER);
            }
            () = sleep_or_never(until_changes) => {
                changes_due = None;
                exchange.tell_changes();
                exchange.grant_claims(&peers);
            }
            Some(server) = next_of(&mut room_asked) => {
                exchange.ask_for_room(server, &peers.holders(server)).await;
            }
            received = exchange.socket.recv_from(&mut buffer) => {
                if let Ok((length, from)) = received {
                    exchange.take(&buffer[..length], from, &peers);
                }
            }
            () = permits_due(&exchange.shared.permits) => exchange.ask_for_permits(&peers),
            () = crash_news_due(&exchange.shared.crashes) => exchange.tell_crash_news(&peers),
            () = tokio::time::sleep_until(next) => {
                exchange.look_at_room(next.elapsed());
                exchange.look_around(&peers);
                exchange.update_members(&peers);
                exchange.tell_deciding_rank();
                let many = peers.count() > DIRECT_LIMIT;
                let sent = if many { exchange.tell_some(&peers) } else { exchange.tell_directly(&peers.all()) };
                next = Instant::now() + pause_after(sent).max(if many { TELL_AGGREGATORS_EVERY } else { TELL_EVERY });
            }
        }
    }
}

/// Completes when calls for permits may have to be made.
async fn permits_due(permits: &Permits) {
    let due = permits.next_due().map(|due| due.max(LEAST_PERMIT_PAUSE));
    tokio::select! {
        () = permits.wanted.notified() => {}
        () = sleep_or_never(due) => {}
    }
}

/// Completes when there is something to decide or to tell of servers that ended.
async fn crash_news_due(crashes: &CrashWatch) {
    tokio::select! {
        () = crashes.changed.notified() => {}
        () = sleep_or_never(crashes.next_due()) => {}
    }
}

/// The next value of a queue; never, if there is no queue.
async fn next_of<T>(queue: &mut Option<tokio::sync::mpsc::Receiver<T>>) -> Option<T> {
    match queue {
        Some(queue) => queue.recv().await,
        None => std::future::pending().await,
    }
}

/// The pause that keeps the rate within its bound.
fn pause_after(bytes: usize) -> Duration {
    let bounded = Duration::from_secs_f64(bytes as f64 / BYTES_PER_SECOND as f64);
    bounded.max(TELL_EVERY).min(REPORT_TTL)
}

/// Starts above the numbers of an earlier start of this node.
fn first_sequence() -> u64 {
    let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    time.as_millis() as u64
}

/// Sends the reports and calls of this node to the others, and handles theirs.
struct PeerExchange<D: Dialect> {
    shared: Arc<Shared<D>>,
    socket: UdpSocket,
    name: String,
    own: NodeId,
    duties: PeerDuties,
    /// Nodes that may sum up what all tell, this one maybe among them.
    candidates: Vec<Candidate>,
    /// Version of the nodes for which these were named.
    candidates_version: Option<u64>,
    /// Addresses of all other nodes, and the number of changes to which they are current.
    members: HashMap<NodeId, SocketAddr>,
    members_version: Option<u64>,
    /// When another one of them was heard last.
    candidate_heard_at: Option<Instant>,
    /// Whether deputies are told too: no other candidate is known to hear enough.
    deputies_needed: bool,
    /// Nodes that keep servers, as the last sum told.
    told_keepers: Vec<NodeId>,
    sequence: u64,
    told: NodeShares,
    told_at: Instant,
    said_again_at: Instant,
    hello_at: Instant,
    /// Number of the aggregator that is asked for the sum.
    aggregator: usize,
    sum_at: Instant,
    /// Nodes that keep servers, as this one believes.
    keepers: Vec<NodeId>,
    /// When nodes were last told which of their claims wait here.
    claims_renewed_at: Instant,
    /// Bytes of sums that may be sent.
    sum_budget: ByteBudget,
    /// The last sum that was sent.
    sum: PreparedSum,
}

impl<D: Dialect> PeerExchange<D> {
    fn new(shared: Arc<Shared<D>>, socket: UdpSocket, name: &str, duties: PeerDuties) -> Self {
        let now = Instant::now();
        let own = NodeId::of_name(name);
        let sum_budget = ByteBudget::new(duties.sum_bytes_per_second, shared.clock.now());
        Self {
            shared,
            socket,
            name: name.to_owned(),
            own,
            duties,
            candidates: Vec::new(),
            candidates_version: None,
            members: HashMap::new(),
            members_version: None,
            candidate_heard_at: None,
            deputies_needed: false,
            told_keepers: Vec::new(),
            sequence: first_sequence(),
            told: NodeShares::default(),
            told_at: now,
            said_again_at: now,
            hello_at: now,
            aggregator: own.0 as usize,
            sum_at: now,
            keepers: Vec::new(),
            claims_renewed_at: now,
            sum_budget,
            sum: PreparedSum::default(),
        }
    }

    /// Takes a datagram of another node.
    fn take(&mut self, bytes: &[u8], from: SocketAddr, peers: &Peers) {
        let Ok(message) = v1::ServerShares::decode(bytes) else { return };
        if message.from == self.own.0 {
            return;
        }
        if self.candidates.iter().any(|candidate| candidate.home.node.0 == message.from) {
            self.candidate_heard_at = Some(Instant::now());
        }
        self.shared.keeper_claims.note_heard(self.shared.clock.now(), NodeId(message.from));
        if self.take_call(&message, from, peers) {
            return;
        }
        self.shared.note_table_elsewhere(message.newest_table);
        if self.is_candidate() {
            self.shared.permits.note_heard(NodeId(message.from), peers.count());
        }
        if message.changes_only {
            self.take_changes(&message);
            self.grant_claims(peers);
        } else if !message.room_ordered.is_empty() {
            message.room_ordered.iter().for_each(|server| self.shared.room_ordered.put(ServerKey(*server)));
        } else if !message.room_wanted.is_empty() {
            message.room_wanted.iter().for_each(|server| self.shared.room_wanted.put(ServerKey(*server)));
        } else {
            self.take_report(&message, from);
            self.grant_claims(peers);
        }
    }

    /// Takes a message that tells nothing of the sender's load; `false` if it is none.
    fn take_call(&mut self, message: &v1::ServerShares, from: SocketAddr, peers: &Peers) -> bool {
        if !message.permit_requests.is_empty() {
            self.grant_permits(&message.permit_requests, from);
        } else if !message.permit_grants.is_empty() {
            self.shared.permits.take_grants(&message.permit_grants);
        } else if let Some(request) = &message.placement_request {
            self.reserve_server(NodeId(message.from), request.clone(), from, peers);
        } else if let Some(advice) = &message.placement_advice {
            self.shared.placements.take_advice(*advice);
        } else if !message.queued_claims.is_empty() {
            self.shared.placements.take_renewals(&message.queued_claims);
        } else if !message.withdrawn_claims.is_empty() {
            self.shared.keeper_claims.withdraw(NodeId(message.from), &message.withdrawn_claims);
        } else if let Some(news) = &message.quarantine {
            self.shared.crashes.take_news(news);
        } else if !message.stream_origins.is_empty() {
            self.shared.stream_origins.take_records(self.shared.clock.now(), &message.stream_origins);
        } else if let Some(query) = &message.stream_origin_query {
            self.reply_origin(query, from);
        } else if let Some(reply) = &message.stream_origin_reply {
            self.shared.stream_origins.take_reply(NodeId(message.from), reply);
        } else {
            return false;
        }
        true
    }

    /// Another node told what changed at its servers since its last report.
    fn take_changes(&self, message: &v1::ServerShares) {
        let changed = message.shares.iter().map(share_of).collect();
        let (now, node) = (self.shared.clock.now(), NodeId(message.from));
        self.shared.dispatcher().note_peer_changes(now, node, message.sequence, changed);
    }

    /// Another node reported its load, or the sum over all nodes.
    fn take_report(&mut self, report: &v1::ServerShares, from: SocketAddr) {
        self.compare_verdicts(report.quarantine_digest, from);
        let shares = NodeShares {
            servers: report.shares.iter().map(share_of).collect(),
            overloaded: report.pressed.clone(),
            waiting: report.waiting,
            queues: report.queues.iter().map(queue_of).collect(),
            coverage: coverage_of(report.hearing),
        };
        if report.sum_parts > 0 {
            self.take_sum(report, shares);
            return;
        }
        let now = self.shared.clock.now();
        if let Some(room) = &report.machine_room {
            self.shared.machine_room.note_told(now, NodeId(report.from), room);
        }
        self.shared.dispatcher().note_peer(now, NodeId(report.from), report.sequence, shares);
        if report.wants_sum {
            self.send_sum(from);
        }
    }

    /// Asks the nodes whose deferrable work runs at a server to give way there.
    /// Unlike a report, such a message is not made good by the next one: it
    /// waits until the socket can send.
    async fn ask_for_room(&mut self, server: ServerKey, holders: &[SocketAddr]) {
        let request = v1::ServerShares { from: self.own.0, room_wanted: vec![server.0], ..v1::ServerShares::default() };
        let bytes = request.encode_to_vec();
        for holder in holders {
            let _ = self.socket.send_to(&bytes, *holder).await;
        }
    }

    /// Tells the few nodes that have to hear this one, of many; gives back the bytes.
    fn tell_some(&mut self, peers: &Peers) -> usize {
        let hello = self.say_hello(peers);
        hello + self.tell_aggregators(&self.told_candidates())
    }

    /// Tells all other nodes if there is something to say; gives back the bytes.
    fn tell_directly(&mut self, peers: &[Peer]) -> usize {
        let shares = self.own_shares();
        let repeats = shares == self.told && self.told_at.elapsed() < REPORT_REPEAT_INTERVAL;
        if repeats {
            return self.say_again();
        }
        let report = self.next_report(shares);
        peers.iter().map(|peer| self.send(&report, peer.address)).sum()
    }

    /// Homes of limited tenants must hear nodes more often than there is news.
    fn say_again(&mut self) -> usize {
        let limited = !self.shared.table().tenants.is_empty();
        if !limited || self.said_again_at.elapsed() < TELL_AGGREGATORS_EVERY {
            return 0;
        }
        self.said_again_at = Instant::now();
        let report = self.report(&self.told);
        self.told_candidates().into_iter().map(|candidate| self.send(&report, candidate)).sum()
    }

    /// Candidates that are told of this node's requests. Deputies come first where
    /// they are needed: one that hears enough is found sooner.
    fn told_candidates(&self) -> Vec<SocketAddr> {
        let told = self.candidates.iter().filter(|candidate| !candidate.home.fallback || self.deputies_needed);
        let mut told: Vec<&Candidate> = told.collect();
        told.sort_by_key(|candidate| self.deputies_needed && !candidate.home.fallback);
        told.into_iter().filter_map(|candidate| candidate.address).collect()
    }

    /// Every aggregator is told, one of them is asked for the sum; an
    /// aggregator itself hears all.
    fn tell_aggregators(&mut self, aggregators: &[SocketAddr]) -> usize {
        if aggregators.is_empty() {
            return 0;
        }
        let shares = self.own_shares();
        let mut report = self.next_report(shares);
        if self.duties.aggregates || self.keeps_servers() {
            return aggregators.iter().map(|aggregator| self.send(&report, *aggregator)).sum();
        }
        if self.sum_at.elapsed() > AGGREGATOR_SILENCE {
            self.aggregator = self.aggregator.wrapping_add(1);
            self.sum_at = Instant::now();
        }
        let asked = self.aggregator % aggregators.len();
        let mut bytes = 0;
        for (number, aggregator) in aggregators.iter().enumerate() {
            report.wants_sum = number == asked;
            bytes += self.send(&report, *aggregator);
        }
        bytes
    }

    fn say_hello(&mut self, peers: &Peers) -> usize {
        if !self.duties.sends_heartbeat || self.hello_at.elapsed() < HELLO_EVERY {
            return 0;
        }
        self.hello_at = Instant::now();
        // What it does at servers is in the sum.
        let hello = self.report(&NodeShares {
            waiting: self.told.waiting,
            queues: self.told.queues.clone(),
            ..NodeShares::default()
        });
        peers.hearers_of(self.own).into_iter().map(|hearer| self.send(&hello, hearer)).sum()
    }

    fn own_shares(&self) -> NodeShares {
        let mut shares = self.shared.dispatcher().shares(self.shared.clock.now());
        shares.servers.sort_by_key(|share| (!share.suspect, std::cmp::Reverse(share.requests), share.server));
        shares.servers.truncate(SHARE_LIMIT);
        shares
    }

    fn next_report(&mut self, shares: NodeShares) -> v1::ServerShares {
        self.sequence += 1;
        self.told_at = Instant::now();
        self.told = shares;
        self.report(&self.told)
    }

    fn report(&self, shares: &NodeShares) -> v1::ServerShares {
        v1::ServerShares {
            from: self.own.0,
            sequence: self.sequence,
            shares: shares.servers.iter().map(message_of).collect(),
            pressed: shares.overloaded.clone(),
            waiting: shares.waiting,
            queues: shares.queues.iter().map(queue_message_of).collect(),
            newest_table: self.shared.newest_table(),
            hearing: hearing_number(shares.coverage),
            quarantine_digest: self.shared.crashes.digest(),
            machine_room: self.shared.machine_room.message(),
            ..v1::ServerShares::default()
        }
    }

    /// Sends a datagram; one that can't be sent now is made good by the next.
    fn send(&self, report: &v1::ServerShares, to: SocketAddr) -> usize {
        self.send_bytes(&report.encode_to_vec(), to)
    }

    fn send_bytes(&self, datagram: &[u8], to: SocketAddr) -> usize {
        let _ = self.socket.try_send_to(datagram, to);
        datagram.len() + DATAGRAM_BYTES
    }
}
