//! One replica of a store group, on a thread of its own.
//!
//! The thread takes whatever requests have arrived, feeds them to the state
//! machines, and carries the actions of all of them out together: one sync
//! to disk serves them all.

mod looks;
mod runner;
mod upkeep;
mod whole_state;

use crate::disk::{DiskFault, StateView};
use crate::folder::DataFolder;
use crate::lease_desk::LeaseReply;
pub use crate::lease_desk::{RowFact, RowFacts};
use crate::proposals::ProposalResult;
use latchwheel_core::code::ResultCode;
use latchwheel_core::replication::Settings;
use latchwheel_protocol::v1::{
    Command, CompleteAnswer, CompleteRequest, FileRecord, JobRecord, LeaseAnswer, LeaseRequest, Members, Replica,
    ReplicationMessage, RequestRecord, StatePage, StatePull,
};
use runner::Runner;
use std::collections::BTreeSet;
use std::future::Future;
use std::path::PathBuf;
use std::pin::Pin;
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::oneshot;

/// Way to the other replicas, provided by the node.
pub trait Transport: Send + Sync + 'static {
    /// Sends a message to the replica that it names; it may be lost.
    fn send(&self, message: ReplicationMessage);

    /// Pulls one page of a replica's state.
    fn pull(&self, replica: u64, pull: StatePull) -> Pin<Box<dyn Future<Output = Option<StatePage>> + Send>>;
}

/// How a replica is started.
pub struct GroupSettings {
    /// Number of the group.
    pub group: u64,
    /// Voters that the group should have.
    pub wanted: usize,
    /// Timing and rules of the replication.
    pub replication: Settings,
    /// Members at the group's beginning; empty for a replica that joins.
    pub first_members: Members,
}

/// What other nodes are alive, as membership sees it.
#[derive(Clone, Debug, Default)]
pub struct PresentNodes {
    /// Nodes that are not held for dead.
    pub nodes: BTreeSet<u64>,
    /// Replicas on nodes that are alive and not leaving.
    pub replicas: Vec<Replica>,
}

/// State of a replica, for reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupStatus {
    /// Whether it leads.
    pub leads: bool,
    /// Node of the known leader; zero for none.
    pub leader_node: u64,
    /// Present term.
    pub term: u64,
    /// Index up to which entries are committed.
    pub commit: u64,
    /// Replicas of the group.
    pub replicas: usize,
    /// Items held under leases, at the leader.
    pub held_items: usize,
}

/// A consistent look at the state, after a quorum confirmed the leader.
#[derive(Debug)]
pub struct Look {
    /// The jobs that were asked for.
    pub jobs: Vec<JobRecord>,
    /// The file that was asked for.
    pub file: Option<FileRecord>,
    /// The registered request that was asked for.
    pub request: Option<RequestRecord>,
    /// View of the stored items and results.
    pub view: StateView,
}

/// What to look at.
#[derive(Clone, Debug, Default)]
pub struct LookAt {
    /// A job.
    pub job: Option<String>,
    /// A file.
    pub file: Option<String>,
    /// A registered request.
    pub request: Option<String>,
    /// Jobs of a tenant behind a name, up to a number.
    pub jobs_of: Option<(String, String, usize)>,
}

type LookReply = oneshot::Sender<Result<Look, ResultCode>>;

enum Request {
    Replication(ReplicationMessage),
    Propose(Command, oneshot::Sender<ProposalResult>),
    Lease(LeaseRequest, LeaseReply),
    Complete(CompleteRequest, oneshot::Sender<CompleteAnswer>),
    Look(LookAt, LookReply),
    Pull(StatePull, oneshot::Sender<StatePage>),
    Installed(Option<PathBuf>),
    Present(PresentNodes),
    Rows(RowFacts),
    HandOver,
    Stop,
}

/// A running replica.
#[derive(Clone)]
pub struct Group {
    requests: Sender<Request>,
    status: Arc<Mutex<GroupStatus>>,
}

impl std::fmt::Debug for Group {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Group").field("status", &self.status()).finish()
    }
}

impl Group {
    /// Opens the replica's data and starts its thread.
    ///
    /// # Errors
    /// [`DiskFault`] where the data can't be read; the rest of the group goes
    /// on without this replica.
    pub fn start(
        folder: &DataFolder,
        settings: GroupSettings,
        transport: Arc<dyn Transport>,
    ) -> Result<Self, DiskFault> {
        let (requests, inbox) = channel();
        let status = Arc::new(Mutex::new(GroupStatus::default()));
        let runner = Runner::open(folder, settings, transport, requests.clone(), status.clone())?;
        let name = format!("store-group-{}", runner.group);
        std::thread::Builder::new().name(name).spawn(move || runner.run(&inbox))?;
        Ok(Self { requests, status })
    }

    /// State of the replica.
    pub fn status(&self) -> GroupStatus {
        self.status.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Hands a message of another replica in.
    pub fn receive(&self, message: ReplicationMessage) {
        self.post(Request::Replication(message));
    }

    /// Proposes a command and waits for its commit.
    ///
    /// # Errors
    /// `NotLeader` if the command was not taken, `NoQuorum` if it can't be
    /// told whether it will be committed.
    pub async fn propose(&self, command: Command) -> ProposalResult {
        let (reply, answer) = oneshot::channel();
        self.post(Request::Propose(command, reply));
        answer.await.unwrap_or(Err(ResultCode::NoQuorum))
    }

    /// Renews and grants leases.
    pub async fn lease(&self, request: LeaseRequest) -> LeaseAnswer {
        let (reply, answer) = oneshot::channel();
        self.post(Request::Lease(request, reply));
        let lost = LeaseAnswer { code: ResultCode::NoQuorum.number(), ..LeaseAnswer::default() };
        answer.await.unwrap_or(lost)
    }

    /// Commits completions and takes items back.
    pub async fn complete(&self, request: CompleteRequest) -> CompleteAnswer {
        let (reply, answer) = oneshot::channel();
        self.post(Request::Complete(request, reply));
        let lost = CompleteAnswer { code: ResultCode::NoQuorum.number(), leader_node: 0 };
        answer.await.unwrap_or(lost)
    }

    /// Looks at the state as of now.
    ///
    /// # Errors
    /// `NotLeader`, or a fault of the disk.
    pub async fn look(&self, at: LookAt) -> Result<Look, ResultCode> {
        let (reply, answer) = oneshot::channel();
        self.post(Request::Look(at, reply));
        answer.await.unwrap_or(Err(ResultCode::NotLeader))
    }

    /// Serves one page of the state to a new replica.
    pub async fn pull(&self, pull: StatePull) -> StatePage {
        let (reply, answer) = oneshot::channel();
        self.post(Request::Pull(pull, reply));
        answer.await.unwrap_or(StatePage { code: ResultCode::NotFound.number(), ..StatePage::default() })
    }

    /// Tells which nodes are alive.
    pub fn note_present(&self, present: PresentNodes) {
        self.post(Request::Present(present));
    }

    /// Tells the batch rows of the table.
    pub fn note_rows(&self, rows: RowFacts) {
        self.post(Request::Rows(rows));
    }

    /// Asks a leading replica to hand over.
    pub fn hand_over(&self) {
        self.post(Request::HandOver);
    }

    /// Stops the replica.
    pub fn stop(&self) {
        self.post(Request::Stop);
    }

    fn post(&self, request: Request) {
        // A replica that has stopped drops the reply, which answers.
        let _ = self.requests.send(request);
    }
}
