//! Chooses the owner of an online request and sends it there.

use crate::members::Members;
use crate::metrics::Metrics;
use crate::online::OnlineServer;
use crate::peers::{PeerCall, PeerClient};
use crate::settings::RoutingPolicy;
use crate::stream::StreamEnd;
use hyper::Response;
use latchwheel_core::code::ResultCode;
use latchwheel_core::identity::{stable_hash, NodeId};
use latchwheel_core::routing::{choose_owner, Affinity, OwnerLoad};
use latchwheel_core::table::Table;
use latchwheel_gateway::{refuse, refuse_after, OnlineRequest, CODE_HEADER, RAN_HEADER};
use latchwheel_http::{boxed, full, read_bounded, Body, CallFault};
use latchwheel_protocol::v1::{ForwardRequest, ServiceLoad, Summary};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// Owners that are tried for one request.
const OWNER_ATTEMPTS: usize = 3;
const WHOLE_ANSWER_LIMIT: usize = 16 << 20;
const DEFAULT_TIME: Duration = Duration::from_secs(600);
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
const PASSED_HEADERS: [&str; 5] = ["content-type", "retry-after", "retry-after-ms", CODE_HEADER, RAN_HEADER];

/// Sends online requests to their owners.
#[derive(Clone, Debug)]
pub(crate) struct Router {
    pub(crate) online: OnlineServer,
    pub(crate) members: Arc<Members>,
    pub(crate) peers: PeerClient,
    pub(crate) policy: RoutingPolicy,
    pub(crate) affinity: Arc<Mutex<Affinity>>,
    pub(crate) turn: Arc<AtomicUsize>,
    pub(crate) metrics: Arc<Metrics>,
}

/// Number of a service in the summaries.
pub(crate) fn service_number(service: &str) -> u32 {
    stable_hash(service.as_bytes()) as u32
}

/// What a forwarded request came to.
enum Forwarded {
    Answer(Response<Body>),
    /// The owner did not run it; another may.
    NotRun(ResultCode),
    /// It can't be told whether the owner ran it.
    Unknown,
}

impl Router {
    /// Serves a request from the best owner.
    pub(crate) async fn route(&self, request: &OnlineRequest, ended: oneshot::Sender<StreamEnd>) -> Response<Body> {
        let mut ended = Some(ended);
        let mut tried = BTreeSet::new();
        let mut last = ResultCode::NoServer;
        let mut may_have_run = false;
        for _ in 0..OWNER_ATTEMPTS {
            let Some(owner) = self.choose(request, &tried) else { break };
            self.note_affinity(request, owner);
            if owner.0 == self.members.view().me.node {
                let Some(ended) = ended.take() else { return refuse(ResultCode::OutcomeUnknown, "") };
                let response = self.online.serve(request, ended).await;
                if code_of(&response) != Some(ResultCode::Leaving) {
                    return response;
                }
                // It was not started here: another owner may take it.
                tried.insert(owner);
                if !may_have_run {
                    last = ResultCode::Leaving;
                }
                continue;
            }
            let forwarded = tokio::select! {
                biased;
                forwarded = self.forward(request, owner) => forwarded,
                () = self.online.stop.answers_due() => return refuse(ResultCode::OutcomeUnknown, ""),
            };
            match forwarded {
                Forwarded::Answer(response) => return response,
                Forwarded::NotRun(code) if !may_have_run => last = code,
                Forwarded::NotRun(_) => {}
                Forwarded::Unknown if !request.repeatable => return refuse(ResultCode::OutcomeUnknown, ""),
                Forwarded::Unknown => (last, may_have_run) = (ResultCode::StreamCut, true),
            }
            tried.insert(owner);
        }
        refuse_after(last, "", DEFAULT_RETRY_AFTER)
    }

    fn choose(&self, request: &OnlineRequest, tried: &BTreeSet<NodeId>) -> Option<NodeId> {
        let me = NodeId(self.members.view().me.node);
        let service = request.row.service.as_str();
        let has_service = self.online.owner.services().iter().any(|name| **name == *service);
        let (free, queued) = self.online.owner.online_load(service);
        let own = (has_service && !tried.contains(&me)).then_some(OwnerLoad { node: me, free, queued });
        let others = self.others(service, tried);
        if self.policy == RoutingPolicy::RoundRobin {
            let mut all: Vec<NodeId> = own.iter().chain(&others).map(|room| room.node).collect();
            all.sort_unstable();
            let turn = self.turn.fetch_add(1, Ordering::Relaxed);
            return (!all.is_empty()).then(|| all[turn % all.len()]);
        }
        let affinity = self.affinity.lock().unwrap_or_else(PoisonError::into_inner).longest(&request.blocks);
        choose_owner(own, &others, affinity, &mut rand::rng())
    }

    fn others(&self, service: &str, tried: &BTreeSet<NodeId>) -> Vec<OwnerLoad> {
        let number = service_number(service);
        let view = self.members.view();
        let live: BTreeSet<u64> = view.live().map(|record| record.node).collect();
        self.members
            .summaries()
            .iter()
            .filter(|summary| live.contains(&summary.node) && !tried.contains(&NodeId(summary.node)))
            .filter_map(|summary| {
                let load = summary.loads.iter().find(|load| load.service == number)?;
                Some(OwnerLoad { node: NodeId(summary.node), free: load.free, queued: load.queued })
            })
            .collect()
    }

    fn note_affinity(&self, request: &OnlineRequest, owner: NodeId) {
        self.affinity.lock().unwrap_or_else(PoisonError::into_inner).note(&request.blocks, owner);
    }

    async fn forward(&self, request: &OnlineRequest, owner: NodeId) -> Forwarded {
        let Some(address) = self.members.view().address_of(owner) else {
            return Forwarded::NotRun(ResultCode::NoServer);
        };
        self.metrics.note_forward();
        let stop = &self.online.stop;
        let time = stop.time_left(request.deadline.unwrap_or(DEFAULT_TIME));
        if time.is_zero() {
            return Forwarded::NotRun(ResultCode::Leaving);
        }
        let message = forward_message(request, time, self.members.view().me.node);
        let opened = tokio::time::timeout(time, self.peers.open(&address, PeerCall::Forward, &message)).await;
        let response = match opened {
            Ok(Ok(response)) => response,
            Ok(Err(CallFault::NotSent)) => return Forwarded::NotRun(ResultCode::NoServer),
            Ok(Err(_)) | Err(_) => return Forwarded::Unknown,
        };
        let code = code_of(&response);
        if let Some(code @ (ResultCode::Leaving | ResultCode::NoServer | ResultCode::NotReady)) = code {
            return Forwarded::NotRun(code);
        }
        if code == Some(ResultCode::OutcomeUnknown) {
            return Forwarded::Unknown;
        }
        let (head, body) = response.into_parts();
        let body = if request.streamed && code.is_none() {
            boxed(body)
        } else {
            match read_bounded(body, WHOLE_ANSWER_LIMIT, time).await {
                Ok(bytes) => full(bytes),
                Err(_) => return Forwarded::Unknown,
            }
        };
        let mut answer = Response::new(body);
        *answer.status_mut() = head.status;
        for name in PASSED_HEADERS {
            if let Some(value) = head.headers.get(name) {
                answer.headers_mut().insert(name, value.clone());
            }
        }
        Forwarded::Answer(answer)
    }

    /// Serves a request that another node forwarded; it goes no further.
    pub(crate) async fn serve_forwarded(&self, message: ForwardRequest, table: &Table) -> Response<Body> {
        let Some(row) = table.rows.get(&message.row) else { return refuse(ResultCode::NoRow, &message.row) };
        let request = OnlineRequest {
            identity: message.identity,
            tenant: message.tenant,
            row: row.clone(),
            path: message.path,
            body: message.body,
            streamed: message.streamed,
            repeatable: message.repeatable,
            idempotency_key: None,
            request_hash: 0,
            deadline: Some(Duration::from_millis(message.deadline_milliseconds)),
            cost: message.cost_tokens,
            blocks: message.prefix.into(),
        };
        let (ended, _) = oneshot::channel();
        self.online.serve(&request, ended).await
    }

    /// This node's load, for the other nodes.
    pub(crate) fn own_summary(&self, revision: u64) -> Summary {
        let owner = &self.online.owner;
        let loads = owner
            .services()
            .iter()
            .map(|service| {
                let (free, queued) = owner.online_load(service);
                ServiceLoad { service: service_number(service), free, queued }
            })
            .collect();
        Summary { node: self.members.view().me.node, revision, loads }
    }
}

/// Result code that an answer tells.
fn code_of<T>(response: &Response<T>) -> Option<ResultCode> {
    let header = response.headers().get(CODE_HEADER)?.to_str().ok()?;
    ResultCode::from_number(header.parse().ok()?)
}

fn forward_message(request: &OnlineRequest, time: Duration, origin: u64) -> ForwardRequest {
    ForwardRequest {
        identity: request.identity.clone(),
        tenant: request.tenant.clone(),
        row: request.row.name.clone(),
        path: request.path.clone(),
        body: request.body.clone(),
        repeatable: request.repeatable,
        streamed: request.streamed,
        deadline_milliseconds: time.as_millis() as u64,
        origin,
        cost_tokens: request.cost,
        prefix: request.blocks.to_vec(),
    }
}
