//! What the interfaces need of a node.

use crate::online::OnlineRequest;
use hyper::Response;
use latchwheel_core::code::ResultCode;
use latchwheel_core::configuration::{EditOutcome, Record};
use latchwheel_core::table::{Edit, Table};
use latchwheel_http::Body;
use latchwheel_protocol::v1::{Command, Outcome, ReadAnswer, ReadRequest};
use serde::Serialize;
use std::future::Future;
use std::sync::Arc;

/// What became of an operator's edit.
pub type EditResult = EditOutcome;

/// A node as another one sees it.
#[derive(Clone, Debug, Serialize)]
pub struct NodeView {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Status in the membership.
    pub status: String,
    /// Address for other nodes.
    pub address: String,
    /// Table revision in force there, as last heard.
    pub revision: u64,
    /// Whether it is a store replica.
    pub has_disk: bool,
}

/// A server of the answering node.
#[derive(Clone, Debug, Serialize)]
pub struct ServerReport {
    /// Name.
    pub name: String,
    /// Service.
    pub service: String,
    /// Online requests that run.
    pub online: u32,
    /// Batch items that run.
    pub batch: u32,
    /// Batch items that may run.
    pub batch_limit: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A tenant's key, told once when it is made.
#[derive(Clone, Debug, Serialize)]
pub struct TenantKey {
    /// The tenant.
    pub tenant: String,
    /// The key; only its hash is kept.
    pub key: String,
}

/// The node behind the interfaces.
pub trait Backend: Clone + Send + Sync + 'static {
    /// Whether the node has a configuration and serves.
    fn is_ready(&self) -> bool;

    /// Whether the node is leaving.
    fn is_leaving(&self) -> bool;

    /// Completes when the node is leaving.
    fn left(&self) -> impl Future<Output = ()> + Send;

    /// Completes when everything in progress has to be answered because the process ends.
    fn answers_due(&self) -> impl Future<Output = ()> + Send;

    /// The table in force.
    fn table(&self) -> Arc<Table>;

    /// Recent revisions, the oldest first.
    fn history(&self) -> Vec<Record>;

    /// Makes an edit.
    fn edit(&self, edit: Edit, based_on: Option<u64>) -> impl Future<Output = EditResult> + Send;

    /// Serves an online request.
    fn online(&self, request: OnlineRequest) -> impl Future<Output = Response<Body>> + Send;

    /// Commits a command in the tenant's store group.
    fn propose(&self, tenant: &str, command: Command) -> impl Future<Output = Result<Outcome, ResultCode>> + Send;

    /// Reads from the tenant's store group.
    fn read(&self, request: ReadRequest) -> impl Future<Output = Result<ReadAnswer, ResultCode>> + Send;

    /// The nodes.
    fn nodes(&self) -> Vec<NodeView>;

    /// The servers that this node owns.
    fn servers(&self) -> Vec<ServerReport>;

    /// The metrics as text.
    fn metrics(&self) -> String;
}
