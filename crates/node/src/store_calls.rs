//! Calls to the leader of a store group, wherever it is.

use crate::members::Members;
use crate::peers::{PeerCall, PeerClient};
use crate::stores::Stores;
use bytes::Bytes;
use latchwheel_core::code::ResultCode;
use latchwheel_core::identity::{stable_hash, NodeId};
use latchwheel_core::jobs::{position_of_key, StateKey, StateTable};
use latchwheel_core::leasing::LEASE_CALL_TIMEOUT;
use latchwheel_http::CallFault;
use latchwheel_protocol::v1::{
    Command, CompleteAnswer, CompleteRequest, Item, ItemResult, LeaseAnswer, LeaseRequest, Outcome, ProposeAnswer,
    ProposeRequest, ReadAnswer, ReadRequest, RequestRecord, ResultLine,
};
use latchwheel_protocol::Message;
use latchwheel_store::disk::DiskFault;
use latchwheel_store::group::{Group, Look, LookAt};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Time in which a node must answer a call for which nothing shorter is needed.
const CALL_TIME: Duration = Duration::from_secs(6);
/// Time for which a leader is looked for.
const SEARCH_TIME: Duration = Duration::from_secs(6);
const SEARCH_PAUSE: Duration = Duration::from_millis(40);
/// Time in which the group of a request that a caller waits for must answer;
/// otherwise the request is refused. A group that lost its leader has another one
/// within twice its election timeout (1.2 s), or after two such times where votes were
/// split; a caller must outlast that.
const WAITING_CALLER_TIME: Duration = Duration::from_millis(2500);

/// Calls to store groups.
#[derive(Debug)]
pub(crate) struct StoreCalls {
    stores: Arc<Stores>,
    members: Arc<Members>,
    peers: PeerClient,
    leaders: Mutex<HashMap<u64, u64>>,
}

/// A call whose answer tells whether the asked node leads.
trait GroupCall: Message + Clone {
    type Answer: Message + Default;
    const CALL: PeerCall;
    /// Time in which a node must answer it.
    const TIME: Duration = CALL_TIME;

    fn group(&self) -> u64;
    fn code(answer: &Self::Answer) -> u32;
    fn leader_node(answer: &Self::Answer) -> u64;
    /// A try of it got no answer and may have arrived.
    fn note_lost_try(&mut self) {}
    fn serve(self, group: Group) -> impl std::future::Future<Output = Self::Answer> + Send;
}

impl GroupCall for ProposeRequest {
    type Answer = ProposeAnswer;
    const CALL: PeerCall = PeerCall::Propose;

    fn group(&self) -> u64 {
        self.group
    }

    fn code(answer: &ProposeAnswer) -> u32 {
        answer.code
    }

    fn leader_node(answer: &ProposeAnswer) -> u64 {
        answer.leader_node
    }

    async fn serve(self, group: Group) -> ProposeAnswer {
        let leader_node = group.status().leader_node;
        match group.propose(self.command.unwrap_or_default()).await {
            Ok(outcome) => ProposeAnswer { code: ResultCode::Done.number(), outcome: Some(outcome), leader_node },
            Err(code) => ProposeAnswer { code: code.number(), outcome: None, leader_node },
        }
    }
}

impl GroupCall for ReadRequest {
    type Answer = ReadAnswer;
    const CALL: PeerCall = PeerCall::Read;

    fn group(&self) -> u64 {
        self.group
    }

    fn code(answer: &ReadAnswer) -> u32 {
        answer.code
    }

    fn leader_node(answer: &ReadAnswer) -> u64 {
        answer.leader_node
    }

    async fn serve(self, group: Group) -> ReadAnswer {
        let leader_node = group.status().leader_node;
        match group.look(look_at(&self)).await {
            Ok(look) => {
                let read = tokio::task::spawn_blocking(move || read_answer(&self, look)).await;
                match read {
                    Ok(Ok(answer)) => answer,
                    _ => ReadAnswer { code: ResultCode::Damaged.number(), leader_node, ..ReadAnswer::default() },
                }
            }
            Err(code) => ReadAnswer { code: code.number(), leader_node, ..ReadAnswer::default() },
        }
    }
}

impl GroupCall for LeaseRequest {
    type Answer = LeaseAnswer;
    const CALL: PeerCall = PeerCall::Lease;
    const TIME: Duration = LEASE_CALL_TIMEOUT;

    fn group(&self) -> u64 {
        self.group
    }

    fn code(answer: &LeaseAnswer) -> u32 {
        answer.code
    }

    fn leader_node(answer: &LeaseAnswer) -> u64 {
        answer.leader_node
    }

    fn note_lost_try(&mut self) {
        self.unanswered.push(self.request);
        self.request = new_request();
    }

    async fn serve(self, group: Group) -> LeaseAnswer {
        group.lease(self).await
    }
}

impl GroupCall for CompleteRequest {
    type Answer = CompleteAnswer;
    const CALL: PeerCall = PeerCall::Complete;

    fn group(&self) -> u64 {
        self.group
    }

    fn code(answer: &CompleteAnswer) -> u32 {
        answer.code
    }

    fn leader_node(answer: &CompleteAnswer) -> u64 {
        answer.leader_node
    }

    async fn serve(self, group: Group) -> CompleteAnswer {
        group.complete(self).await
    }
}

impl StoreCalls {
    pub(crate) fn new(stores: Arc<Stores>, members: Arc<Members>, peers: PeerClient) -> Arc<Self> {
        Arc::new(Self { stores, members, peers, leaders: Mutex::default() })
    }

    /// Group of a tenant: all of a tenant's files and jobs are in one, so
    /// that a resend reaches what was sent before.
    pub(crate) fn group_of(&self, tenant: &str) -> u64 {
        stable_hash(tenant.as_bytes()) % self.stores.group_count()
    }

    /// Commits a command in the tenant's group. Commands can be sent twice:
    /// each takes effect once.
    pub(crate) async fn propose(&self, tenant: &str, command: Command) -> Result<Outcome, ResultCode> {
        let request = ProposeRequest { group: self.group_of(tenant), command: Some(command) };
        let answer = self.call(request).await?;
        answer.outcome.ok_or(ResultCode::NoQuorum)
    }

    /// Commits a command that a caller waits for, or gives up soon.
    pub(crate) async fn propose_soon(&self, tenant: &str, command: Command) -> Result<Outcome, ResultCode> {
        let proposal = self.propose(tenant, command);
        // A proposal that was sent may be committed yet.
        tokio::time::timeout(WAITING_CALLER_TIME, proposal).await.unwrap_or(Err(ResultCode::NoQuorum))
    }

    /// Reads from the tenant's group.
    pub(crate) async fn read(&self, request: ReadRequest) -> Result<ReadAnswer, ResultCode> {
        let group = self.group_of(&request.tenant);
        self.call(ReadRequest { group, ..request }).await
    }

    /// One round over the nodes that may lead. Tries whose answer is not taken are
    /// added to the request's `unanswered`, also where another node answered.
    pub(crate) async fn lease(&self, request: &mut LeaseRequest) -> Result<LeaseAnswer, ResultCode> {
        request.request = new_request();
        self.call_once(request).await
    }

    pub(crate) async fn complete(&self, request: CompleteRequest) -> Result<CompleteAnswer, ResultCode> {
        self.call(request).await
    }

    /// Serves a call of another node at this node's replica.
    pub(crate) async fn serve(&self, call: PeerCall, body: Bytes) -> Option<Bytes> {
        match call {
            PeerCall::Propose => self.serve_at_replica(ProposeRequest::decode(body).ok()?).await,
            PeerCall::Read => self.serve_at_replica(ReadRequest::decode(body).ok()?).await,
            PeerCall::Lease => self.serve_at_replica(LeaseRequest::decode(body).ok()?).await,
            PeerCall::Complete => self.serve_at_replica(CompleteRequest::decode(body).ok()?).await,
            _ => None,
        }
    }

    async fn serve_at_replica<C: GroupCall>(&self, call: C) -> Option<Bytes> {
        let group = self.stores.group(call.group())?;
        Some(call.serve(group).await.encode_to_vec().into())
    }

    /// Calls the leader, looking for it for a bounded time. A call that may
    /// have arrived is sent again, which every call allows.
    async fn call<C: GroupCall>(&self, call: C) -> Result<C::Answer, ResultCode> {
        let begun = Instant::now();
        let mut code = ResultCode::NotLeader;
        while begun.elapsed() < SEARCH_TIME {
            match self.call_once(&mut call.clone()).await {
                Ok(answer) => return Ok(answer),
                Err(ResultCode::NotLeader) => {}
                // Once a try may have taken effect, that can't be told any more.
                Err(ResultCode::NoQuorum) => code = ResultCode::NoQuorum,
                Err(other) => return Err(other),
            }
            tokio::time::sleep(SEARCH_PAUSE).await;
        }
        Err(code)
    }

    /// One round over the nodes that may lead.
    async fn call_once<C: GroupCall>(&self, call: &mut C) -> Result<C::Answer, ResultCode> {
        let group = call.group();
        let mut hints = self.candidates(group);
        let mut asked = Vec::new();
        let mut last = ResultCode::NotLeader;
        while let Some(node) = hints.pop() {
            if asked.contains(&node) {
                continue;
            }
            asked.push(node);
            let answer = match self.call_node(node, call.clone()).await {
                Ok(answer) => answer,
                Err(CallFault::NotSent | CallFault::BadAnswer(503, _)) => continue,
                Err(_) => {
                    call.note_lost_try();
                    last = ResultCode::NoQuorum;
                    continue;
                }
            };
            let code = ResultCode::from_number(C::code(&answer));
            match code {
                Some(ResultCode::Done) => {
                    self.leaders.lock().unwrap_or_else(PoisonError::into_inner).insert(group, node);
                    return Ok(answer);
                }
                Some(ResultCode::NotLeader) => {
                    let leader = C::leader_node(&answer);
                    if leader != 0 {
                        hints.push(leader);
                    }
                }
                Some(code) => {
                    call.note_lost_try();
                    last = code;
                }
                None => call.note_lost_try(),
            }
        }
        self.leaders.lock().unwrap_or_else(PoisonError::into_inner).remove(&group);
        Err(last)
    }

    async fn call_node<C: GroupCall>(&self, node: u64, call: C) -> Result<C::Answer, CallFault> {
        if node == self.members.view().me.node {
            let group = self.stores.group(call.group()).ok_or(CallFault::NotSent)?;
            // The own replica may lead and be unable to commit: it is waited for no
            // longer than another one.
            return tokio::time::timeout(C::TIME, call.serve(group)).await.map_err(|_| CallFault::MaybeSent);
        }
        let address = self.members.view().address_of(NodeId(node)).ok_or(CallFault::NotSent)?;
        self.peers.call(&address, C::CALL, &call, C::TIME).await
    }

    /// Nodes that may lead a group, the likeliest last.
    fn candidates(&self, group: u64) -> Vec<u64> {
        let view = self.members.view();
        // A member that is known from the machine list alone hasn't told its
        // replica yet: it is asked last, rather than not at all.
        let (known, untold): (Vec<_>, Vec<_>) = view.live().partition(|record| record.replica != 0);
        let mut nodes: Vec<u64> = untold.into_iter().chain(known).map(|record| record.node).collect();
        if let Some(own) = self.stores.group(group) {
            let status = own.status();
            nodes.push(view.me.node);
            if status.leader_node != 0 {
                nodes.push(status.leader_node);
            }
        }
        nodes.extend(self.leaders.lock().unwrap_or_else(PoisonError::into_inner).get(&group));
        nodes
    }
}

/// Identity of a lease request, at random: a holder that starts anew must not speak for
/// what was granted to it before.
fn new_request() -> u64 {
    rand::random::<u64>().max(1)
}

fn look_at(request: &ReadRequest) -> LookAt {
    let given = |text: &String| (!text.is_empty()).then(|| text.clone());
    let jobs_of = request.jobs.then(|| (request.tenant.clone(), request.after_name.clone(), request.most as usize));
    LookAt { job: given(&request.job), file: given(&request.file), request: given(&request.request), jobs_of }
}

/// Reads the lines that were asked for from a consistent view.
fn read_answer(request: &ReadRequest, look: Look) -> Result<ReadAnswer, DiskFault> {
    let mut answer = ReadAnswer { code: ResultCode::Done.number(), last: true, ..ReadAnswer::default() };
    let most = request.most as usize;
    if request.results {
        if let Some(record) = look.jobs.first() {
            let prefix = StateKey::item_prefix(&record.job);
            let from = StateKey::item(&record.job, request.after);
            let values = look.view.values(StateTable::Result, &prefix, &from, most)?;
            answer.last = values.len() < most;
            for (key, value) in values {
                answer.lines.push(result_line(&look, &record.file, &key, value)?);
            }
        }
    }
    if request.items {
        if let Some(file) = &look.file {
            let prefix = StateKey::item_prefix(&file.file);
            let from = StateKey::item(&file.file, request.after);
            let values = look.view.values(StateTable::Item, &prefix, &from, most)?;
            answer.last = values.len() < most;
            for (_, value) in values {
                let item = Item::decode(value).map_err(|_| DiskFault::Damaged("an item".into()))?;
                let (position, custom_id, body) = (item.position, item.custom_id, item.body);
                answer.lines.push(ResultLine { position, custom_id, body, ..ResultLine::default() });
            }
        }
    }
    if let Some(record) = &look.request {
        let value = look.view.value(StateTable::Request, record.key.as_bytes())?;
        answer.request = value.and_then(|value| RequestRecord::decode(value).ok());
    }
    answer.jobs = look.jobs;
    answer.file = look.file;
    Ok(answer)
}

fn result_line(look: &Look, file: &str, key: &[u8], value: Bytes) -> Result<ResultLine, DiskFault> {
    let damaged = || DiskFault::Damaged("a result".into());
    let position = position_of_key(key).ok_or_else(damaged)?;
    let result = ItemResult::decode(value).map_err(|_| damaged())?;
    let item = look.view.value(StateTable::Item, &StateKey::item(file, position))?;
    let custom_id = item.and_then(|item| Item::decode(item).ok()).map(|item| item.custom_id).unwrap_or_default();
    Ok(ResultLine { position, custom_id, code: result.code, status: result.status, body: result.body })
}
