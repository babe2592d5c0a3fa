//! The node as the HTTP interfaces see it.

use crate::batch::BatchRunner;
use crate::configuration::Configuration;
use crate::forward::Router;
use crate::limits::Limits;
use crate::members::Members;
use crate::metrics::{Metrics, Readings};
use crate::register::Registrar;
use crate::store_calls::StoreCalls;
use crate::stores::Stores;
use hyper::Response;
use latchwheel_clock::planned_stop::PlannedStop;
use latchwheel_core::code::ResultCode;
use latchwheel_core::configuration::Record;
use latchwheel_core::table::{Edit, Table};
use latchwheel_gateway::{
    refuse, refuse_after, Backend, EditResult, NodeView, OnlineRequest, ServerReport, CODE_HEADER,
};
use latchwheel_http::Body;
use latchwheel_protocol::v1::{Command, MemberRecord, MemberStatus, Outcome, ReadAnswer, ReadRequest};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::oneshot;

/// All parts of a node that the interfaces reach.
#[derive(Clone, Debug)]
pub(crate) struct NodeBackend {
    pub(crate) members: Arc<Members>,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) limits: Arc<Limits>,
    pub(crate) router: Router,
    pub(crate) registrar: Registrar,
    pub(crate) store: Arc<StoreCalls>,
    pub(crate) stores: Arc<Stores>,
    pub(crate) batches: Arc<Vec<Arc<BatchRunner>>>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) stop: Arc<PlannedStop>,
}

impl NodeBackend {
    fn view_of(record: &MemberRecord, revision: u64) -> NodeView {
        let status = match record.status() {
            MemberStatus::Alive => "alive",
            MemberStatus::Suspect => "suspect",
            MemberStatus::Leaving => "leaving",
            MemberStatus::Dead => "dead",
        };
        NodeView {
            name: record.name.clone(),
            zone: record.zone.clone(),
            region: record.region.clone(),
            status: status.into(),
            address: record.address.clone(),
            revision,
            has_disk: record.replica != 0,
        }
    }
}

impl Backend for NodeBackend {
    fn is_ready(&self) -> bool {
        self.configuration.is_ready()
    }

    fn is_leaving(&self) -> bool {
        self.stop.has_begun() || self.members.view().me.status() == MemberStatus::Leaving
    }

    async fn left(&self) {
        self.stop.begun().await;
    }

    async fn answers_due(&self) {
        self.stop.answers_due().await;
    }

    fn table(&self) -> Arc<Table> {
        self.configuration.table()
    }

    fn history(&self) -> Vec<Record> {
        self.configuration.history()
    }

    async fn edit(&self, edit: Edit, based_on: Option<u64>) -> EditResult {
        self.configuration.edit(edit, based_on).await
    }

    async fn online(&self, request: OnlineRequest) -> Response<Body> {
        let row = request.row.clone();
        if let Err(after) = self.limits.admit(&row).await {
            self.metrics.note_answer(&row.name, ResultCode::RateLimited.number());
            return refuse_after(ResultCode::RateLimited, "", after);
        }
        // The stop may have begun while its body arrived.
        if self.is_leaving() {
            self.metrics.note_answer(&row.name, ResultCode::Leaving.number());
            return refuse(ResultCode::Leaving, "");
        }
        let response = match request.idempotency_key.clone() {
            Some(key) => self.registrar.serve(request, &key).await,
            None => {
                let (ended, _) = oneshot::channel();
                self.router.route(&request, ended).await
            }
        };
        let header = response.headers().get(CODE_HEADER).and_then(|value| value.to_str().ok());
        let code = header.and_then(|text| text.parse().ok()).unwrap_or(0);
        self.metrics.note_answer(&row.name, code);
        response
    }

    async fn propose(&self, tenant: &str, command: Command) -> Result<Outcome, ResultCode> {
        self.store.propose(tenant, command).await
    }

    async fn read(&self, request: ReadRequest) -> Result<ReadAnswer, ResultCode> {
        self.store.read(request).await
    }

    fn nodes(&self) -> Vec<NodeView> {
        let view = self.members.view();
        let revisions: HashMap<u64, u64> =
            self.members.summaries().iter().map(|summary| (summary.node, summary.revision)).collect();
        let own = Self::view_of(&view.me, self.configuration.table().revision);
        let others =
            view.others.values().map(|record| Self::view_of(record, revisions.get(&record.node).copied().unwrap_or(0)));
        [own].into_iter().chain(others).collect()
    }

    fn servers(&self) -> Vec<ServerReport> {
        let report = |view: latchwheel_core::scheduler::ServerView| ServerReport {
            name: view.name.to_string(),
            service: view.service.to_string(),
            online: view.online,
            batch: view.batch,
            batch_limit: view.batch_limit,
            leaving: view.leaving,
        };
        self.router.online.owner.views().into_iter().map(|(_, view)| report(view)).collect()
    }

    fn metrics(&self) -> String {
        let (sent, received) = self.members.traffic();
        self.metrics.text(Readings {
            revision: self.configuration.table().revision,
            members: self.members.view().live().count(),
            online_in_progress: self.router.online.owner.online_in_progress(),
            batch_held: self.batches.iter().map(|runner| runner.held()).sum(),
            membership_sent_bytes: sent,
            membership_received_bytes: received,
            groups_led: self.stores.groups_led(),
        })
    }
}
