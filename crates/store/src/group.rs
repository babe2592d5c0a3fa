//! One replica of a store group, on a thread of its own.
//!
//! The thread takes whatever requests have arrived, feeds them to the state
//! machines, and carries the actions of all of them out together: one sync
//! to disk serves them all.

use crate::disk::{base_of_message, DiskFault, GroupDisk, LogChange, StateView};
use crate::folder::DataFolder;
use crate::lease_desk::{unknown_results, LeaseDesk, LeaseReply};
use crate::proposals::{ProposalResult, Proposals, Waiter};
use crate::session::PullSessions;
use bytes::Bytes;
use latchwheel_core::code::ResultCode;
use latchwheel_core::identity::NodeId;
use latchwheel_core::jobs::{Effect, JobState};
use latchwheel_core::replication::replacement::{next_members, Situation};
use latchwheel_core::replication::{Action, Event, HardState, LogBase, Replication, Role, Settings};
use latchwheel_core::time::Instant;
use latchwheel_protocol::v1::command::Body;
use latchwheel_protocol::v1::{
    Batch, Command, CompleteAnswer, CompleteItems, CompleteRequest, Entry, EntryKind, FileRecord, JobRecord,
    LeaseAnswer, LeaseRequest, Members, RemoveJob, Replica, ReplicationMessage, RequestRecord, StatePage, StatePull,
};
use latchwheel_protocol::Message;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::future::Future;
use std::path::PathBuf;
use std::pin::Pin;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

const TICK: Duration = Duration::from_millis(20);
/// Time between two rounds of the leader's upkeep.
const UPKEEP: Duration = Duration::from_millis(500);
/// Requests taken together, so that one sync serves them.
const REQUESTS_TOGETHER: usize = 512;
/// The log is compacted once it holds so many payload bytes.
const LOG_BYTES: usize = 8 << 20;
/// Entries that stay behind a compaction, for replicas that lag a little.
const LOG_TAIL: u64 = 64;
/// A member that was away for so long is replaced.
const REPLACE_AFTER: Duration = Duration::from_secs(10);

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
    Retention(HashMap<String, u64>),
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

    /// Tells the rows' retention, in seconds.
    pub fn note_retention(&self, retention: HashMap<String, u64>) {
        self.post(Request::Retention(retention));
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

struct PendingLook {
    at: LookAt,
    reply: LookReply,
    /// Index that must be applied first, once a quorum has confirmed.
    index: Option<u64>,
}

struct Runner {
    group: u64,
    me: u64,
    wanted: usize,
    folder: DataFolder,
    disk: Option<GroupDisk>,
    core: Replication,
    state: JobState,
    proposals: Proposals,
    desk: Option<LeaseDesk>,
    looks: BTreeMap<u64, PendingLook>,
    next_look: u64,
    sessions: PullSessions,
    present: PresentNodes,
    lost_since: BTreeMap<u64, Instant>,
    retention: HashMap<String, u64>,
    transport: Arc<dyn Transport>,
    requests: Sender<Request>,
    status: Arc<Mutex<GroupStatus>>,
    origin: std::time::Instant,
    runtime: tokio::runtime::Handle,
    next_tick: Instant,
    next_upkeep: Instant,
}

impl Runner {
    fn open(
        folder: &DataFolder,
        settings: GroupSettings,
        transport: Arc<dyn Transport>,
        requests: Sender<Request>,
        status: Arc<Mutex<GroupStatus>>,
    ) -> Result<Self, DiskFault> {
        let disk = GroupDisk::open(&folder.group_path(settings.group))?;
        if disk.is_new()? {
            let base = LogBase { members: settings.first_members, ..LogBase::default() };
            disk.write_base(HardState::default(), &base)?;
        }
        let restored = disk.restore()?;
        let state = disk.load_state()?;
        let me = folder.replica();
        let now = Instant::default();
        let core = Replication::new(settings.group, me, settings.replication, restored, now, rand::random());
        Ok(Self {
            group: settings.group,
            me,
            wanted: settings.wanted,
            folder: folder.clone(),
            disk: Some(disk),
            core,
            state,
            proposals: Proposals::default(),
            desk: None,
            looks: BTreeMap::new(),
            next_look: 0,
            sessions: PullSessions::default(),
            present: PresentNodes::default(),
            lost_since: BTreeMap::new(),
            retention: HashMap::new(),
            transport,
            requests,
            status,
            origin: std::time::Instant::now(),
            runtime: tokio::runtime::Handle::current(),
            next_tick: now,
            next_upkeep: now,
        })
    }

    fn now(&self) -> Instant {
        Instant::from_micros(self.origin.elapsed().as_micros() as u64)
    }

    fn run(mut self, inbox: &Receiver<Request>) {
        loop {
            let mut requests = match inbox.recv_timeout(TICK) {
                Ok(request) => vec![request],
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            while requests.len() < REQUESTS_TOGETHER {
                let Ok(request) = inbox.try_recv() else { break };
                requests.push(request);
            }
            if requests.iter().any(|request| matches!(request, Request::Stop)) {
                return;
            }
            if let Err(fault) = self.turn(requests) {
                // Without its disk the replica must neither vote nor
                // acknowledge; the rest of the group goes on.
                log::error!(target: "E6002", "store group {}: {fault}; this replica stops", self.group);
                self.proposals.give_up();
                self.set_status(GroupStatus::default());
                return;
            }
        }
    }

    fn turn(&mut self, requests: Vec<Request>) -> Result<(), DiskFault> {
        let now = self.now();
        let mut actions = Vec::new();
        for request in requests {
            self.take(now, request, &mut actions)?;
        }
        if now >= self.next_tick {
            self.next_tick = now + TICK;
            actions.extend(self.core.handle(now, Event::Tick));
        }
        if now >= self.next_upkeep {
            self.next_upkeep = now + UPKEEP;
            self.upkeep(now, &mut actions)?;
        }
        while !actions.is_empty() {
            let batch = std::mem::take(&mut actions);
            self.perform(now, batch, &mut actions)?;
        }
        self.serve_looks()?;
        self.report();
        Ok(())
    }

    fn take(&mut self, now: Instant, request: Request, actions: &mut Vec<Action>) -> Result<(), DiskFault> {
        match request {
            Request::Replication(message) => actions.extend(self.core.handle(now, Event::Received(message))),
            Request::Propose(command, reply) => self.propose(now, &command, Waiter::Caller(reply), actions),
            Request::Lease(request, reply) => self.lease(now, &request, reply, actions)?,
            Request::Complete(request, reply) => self.complete(now, request, reply, actions),
            Request::Look(at, reply) => {
                self.next_look += 1;
                self.looks.insert(self.next_look, PendingLook { at, reply, index: None });
                actions.extend(self.core.handle(now, Event::Read(self.next_look)));
            }
            Request::Pull(pull, reply) => {
                let disk = self.disk.as_ref().ok_or_else(no_disk)?;
                let _ = reply.send(self.sessions.serve(&pull, || disk.view())?);
            }
            Request::Installed(Some(path)) => self.install(now, &path, actions)?,
            Request::Installed(None) => self.core.state_pull_failed(),
            Request::Present(present) => self.note_present(now, present),
            Request::Retention(retention) => self.retention = retention,
            Request::HandOver => actions.extend(self.core.handle(now, Event::HandOver)),
            Request::Stop => {}
        }
        Ok(())
    }

    fn propose(&mut self, now: Instant, command: &Command, waiter: Waiter, actions: &mut Vec<Action>) {
        let identity = self.proposals.add(waiter);
        let payload = Bytes::from(command.encode_to_vec());
        actions.extend(self.core.handle(now, Event::Propose(identity, payload)));
    }

    fn lease(
        &mut self,
        now: Instant,
        request: &LeaseRequest,
        reply: LeaseReply,
        actions: &mut Vec<Action>,
    ) -> Result<(), DiskFault> {
        let view = self.disk.as_ref().ok_or_else(no_disk)?.view()?;
        let leader_node = self.leader_node();
        let Some(desk) = self.desk.as_mut() else {
            let code = ResultCode::NotLeader.number();
            let _ = reply.send(LeaseAnswer { code, leader_node, ..LeaseAnswer::default() });
            return Ok(());
        };
        if let Some(held) = desk.serve(now, request, reply, &self.state, &view)? {
            self.propose(now, &held.command, Waiter::Grant(held.identity), actions);
        }
        Ok(())
    }

    fn complete(
        &mut self,
        now: Instant,
        request: CompleteRequest,
        reply: oneshot::Sender<CompleteAnswer>,
        actions: &mut Vec<Action>,
    ) {
        let leader_node = self.leader_node();
        let Some(desk) = self.desk.as_mut() else {
            let _ = reply.send(CompleteAnswer { code: ResultCode::NotLeader.number(), leader_node });
            return;
        };
        for returned in &request.returned {
            if let Some(job) = self.state.job(&returned.job) {
                desk.leasing.returned(NodeId(request.node), returned, job);
            }
        }
        let at_seconds = wall_seconds();
        let complete = |completion: CompleteItems| Command {
            body: Some(Body::CompleteItems(CompleteItems { at_seconds, ..completion })),
        };
        let commands: Vec<Command> = request.completions.into_iter().map(complete).collect();
        if commands.is_empty() {
            let _ = reply.send(CompleteAnswer { code: ResultCode::Done.number(), leader_node });
            return;
        }
        let (proposal_reply, outcome) = oneshot::channel();
        let command = Command { body: Some(Body::Batch(Batch { commands })) };
        self.propose(now, &command, Waiter::Caller(proposal_reply), actions);
        self.runtime.spawn(async move {
            let code = match outcome.await {
                Ok(Ok(_)) => ResultCode::Done,
                Ok(Err(code)) => code,
                Err(_) => ResultCode::NoQuorum,
            };
            let _ = reply.send(CompleteAnswer { code: code.number(), leader_node });
        });
    }

    /// Carries actions out: what may be sent before the sync, the sync of all
    /// of them, then the rest in order.
    fn perform(&mut self, now: Instant, actions: Vec<Action>, next: &mut Vec<Action>) -> Result<(), DiskFault> {
        let first_persist = actions.iter().position(|action| matches!(action, Action::Persist(..)));
        let mut actions = actions.into_iter();
        for action in actions.by_ref().take(first_persist.unwrap_or(usize::MAX)) {
            self.perform_one(now, action)?;
        }
        let mut rest = Vec::new();
        let mut changes = Vec::new();
        let mut hard = None;
        for action in actions {
            match action {
                Action::Persist(state, truncate_from, entries) => {
                    hard = Some(state);
                    if truncate_from.is_some() || !entries.is_empty() {
                        changes.push(LogChange { truncate_from, entries });
                    }
                }
                other => rest.push(other),
            }
        }
        if let Some(hard) = hard {
            self.disk.as_ref().ok_or_else(no_disk)?.persist(hard, &changes)?;
            let last = changes.iter().rev().find_map(|change| change.entries.last());
            if let Some((term, index)) = last.map(|entry| (entry.term, entry.index)) {
                next.extend(self.core.handle(now, Event::Persisted(term, index)));
            }
        }
        self.perform_rest(now, rest)
    }

    /// Applies all committed entries in one transaction, then does the rest.
    fn perform_rest(&mut self, now: Instant, actions: Vec<Action>) -> Result<(), DiskFault> {
        let mut entries = Vec::new();
        let mut others = Vec::new();
        let mut acknowledged = None;
        for action in actions {
            match action {
                Action::Apply(committed) => entries.extend(committed),
                // Entries are acknowledged once they are applied.
                Action::Acknowledged(index) => acknowledged = acknowledged.max(Some(index)),
                // An election begins with the state as applied so far.
                other => others.push(other),
            }
        }
        for action in others {
            self.perform_one(now, action)?;
        }
        self.apply(entries)?;
        if let Some(index) = acknowledged {
            self.acknowledge(index);
        }
        Ok(())
    }

    fn perform_one(&mut self, now: Instant, action: Action) -> Result<(), DiskFault> {
        match action {
            Action::Persist(hard, truncate_from, entries) => {
                let change = LogChange { truncate_from, entries };
                self.disk.as_ref().ok_or_else(no_disk)?.persist(hard, &[change])?;
            }
            Action::Send(message) => self.transport.send(message),
            Action::Apply(entries) => self.apply(entries)?,
            Action::Proposed(identity, index, term) => self.proposals.proposed(identity, index, term),
            Action::Rejected(identity) => self.proposals.rejected(identity),
            Action::Acknowledged(index) => self.acknowledge(index),
            Action::ReadReady(identity, index) => {
                if let Some(look) = self.looks.get_mut(&identity) {
                    look.index = Some(index);
                }
            }
            Action::ReadRejected(identity) => {
                if let Some(look) = self.looks.remove(&identity) {
                    let _ = look.reply.send(Err(ResultCode::NotLeader));
                }
            }
            Action::PullState(from) => self.start_pull(from),
            Action::Elected(term) => {
                log::info!(target: "E6100", "store group {}: this replica leads term {term}", self.group);
                self.desk = Some(LeaseDesk::new(now, term, &self.state));
                self.lost_since.clear();
            }
            Action::Deposed => {
                log::info!(target: "E6101", "store group {}: this replica leads no more", self.group);
                self.desk = None;
                self.proposals.give_up();
            }
        }
        Ok(())
    }

    fn apply(&mut self, entries: Vec<Entry>) -> Result<(), DiskFault> {
        if entries.is_empty() {
            return Ok(());
        }
        let mut effects: Vec<Effect> = Vec::new();
        for entry in entries {
            if entry.kind() != EntryKind::Command {
                continue;
            }
            let command = Command::decode(entry.payload.clone())
                .map_err(|_| DiskFault::Damaged(format!("command {}", entry.index)))?;
            let applied = self.state.apply(command.clone());
            effects.extend(applied.effects);
            if let Some(desk) = self.desk.as_mut() {
                desk.note_applied(&command, &self.state);
            }
            self.proposals.applied(entry.index, entry.term, applied.outcome);
        }
        let base = self.core.base_at_applied();
        self.disk.as_ref().ok_or_else(no_disk)?.apply(&base, &effects)?;
        self.compact(base)
    }

    /// Answers whoever waits for entries up to an index.
    fn acknowledge(&mut self, index: u64) {
        for (waiter, outcome) in self.proposals.acknowledged(index) {
            match waiter {
                Waiter::Caller(reply) => drop(reply.send(Ok(outcome))),
                Waiter::Grant(identity) => {
                    if let Some(desk) = self.desk.as_mut() {
                        desk.release(identity);
                    }
                }
                Waiter::Nobody => {}
            }
        }
    }

    fn compact(&mut self, mut base: LogBase) -> Result<(), DiskFault> {
        let (entries, bytes) = self.core.log_size();
        if bytes < LOG_BYTES || (entries as u64) <= LOG_TAIL {
            return Ok(());
        }
        base = self.core.base_before(base.index.saturating_sub(LOG_TAIL)).unwrap_or(base);
        self.disk.as_ref().ok_or_else(no_disk)?.compact(&base)?;
        let done = self.core.handle(self.now(), Event::Compact(base.index));
        debug_assert!(done.is_empty());
        Ok(())
    }

    // ---- Upkeep ----

    fn note_present(&mut self, now: Instant, present: PresentNodes) {
        let alive: BTreeSet<u64> = present.replicas.iter().map(|replica| replica.replica).collect();
        for replica in &self.core.members().replicas {
            if alive.contains(&replica.replica) || replica.replica == self.me {
                self.lost_since.remove(&replica.replica);
            } else {
                self.lost_since.entry(replica.replica).or_insert(now);
            }
        }
        self.present = present;
    }

    fn upkeep(&mut self, now: Instant, actions: &mut Vec<Action>) -> Result<(), DiskFault> {
        for grant in self.proposals.expire() {
            if let Some(desk) = self.desk.as_mut() {
                desk.drop_held(grant);
            }
        }
        if self.core.role() != Role::Leader {
            return Ok(());
        }
        let nodes = &self.present.nodes;
        if let Some(desk) = self.desk.as_mut() {
            let is_present = |node: NodeId| nodes.is_empty() || nodes.contains(&node.0);
            let lapsed = desk.leasing.expire(now, &self.state, is_present);
            for (job, positions) in lapsed.unknown {
                let command = unknown_results(job, &positions, wall_seconds());
                self.propose(now, &command, Waiter::Nobody, actions);
            }
        }
        self.remove_old_jobs(now, actions);
        self.replace_lost(now, actions);
        Ok(())
    }

    fn remove_old_jobs(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let seconds = wall_seconds();
        let is_over = |record: &JobRecord| {
            let retention = self.retention.get(&record.row).copied().unwrap_or(0);
            retention > 0 && record.ended_seconds > 0 && record.ended_seconds + retention < seconds
        };
        let old = self.state.jobs().find(|job| job.has_ended() && is_over(&job.record));
        if let Some(job) = old.map(|job| job.record.job.clone()) {
            let command = Command { body: Some(Body::RemoveJob(RemoveJob { job })) };
            self.propose(now, &command, Waiter::Nobody, actions);
        }
    }

    fn replace_lost(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let lost: BTreeSet<u64> = self
            .lost_since
            .iter()
            .filter(|(_, since)| now.since(**since) >= REPLACE_AFTER)
            .map(|(replica, _)| *replica)
            .collect();
        let caught_up = self.core.caught_up_learners();
        let situation = Situation {
            members: self.core.members(),
            present: &self.present.replicas,
            lost: &lost,
            caught_up: &caught_up,
            wanted: self.wanted,
            leader: self.me,
        };
        if let Some(members) = next_members(situation) {
            log::info!(target: "E6102", "store group {}: members become {:?}", self.group, members.replicas);
            actions.extend(self.core.handle(now, Event::ProposeMembers(members)));
        }
    }

    // ---- Looks ----

    fn serve_looks(&mut self) -> Result<(), DiskFault> {
        let applied = self.core.applied_index();
        let ready: Vec<u64> = self
            .looks
            .iter()
            .filter(|(_, look)| look.index.is_some_and(|index| index <= applied))
            .map(|(identity, _)| *identity)
            .collect();
        for identity in ready {
            let Some(look) = self.looks.remove(&identity) else { continue };
            let answer = self.look(&look.at)?;
            let _ = look.reply.send(Ok(answer));
        }
        self.looks.retain(|_, look| !look.reply.is_closed());
        Ok(())
    }

    fn look(&self, at: &LookAt) -> Result<Look, DiskFault> {
        let job = at.job.as_ref().and_then(|job| self.state.job(job)).map(|job| job.record.clone());
        let mut jobs: Vec<JobRecord> = job.into_iter().collect();
        if let Some((tenant, after, most)) = &at.jobs_of {
            let of_tenant = |record: &&JobRecord| record.tenant == *tenant && record.job > *after;
            let records = self.state.jobs().map(|job| &job.record);
            jobs.extend(records.filter(of_tenant).take(*most).cloned());
        }
        Ok(Look {
            jobs,
            file: at.file.as_ref().and_then(|file| self.state.file(file)).cloned(),
            request: at.request.as_ref().and_then(|key| self.state.request(key)).cloned(),
            view: self.disk.as_ref().ok_or_else(no_disk)?.view()?,
        })
    }

    // ---- Whole state from another replica ----

    fn start_pull(&self, from: u64) {
        log::info!(target: "E6103", "store group {}: pulls the whole state", self.group);
        let path = self.folder.incoming_path(self.group);
        let (group, transport, requests) = (self.group, self.transport.clone(), self.requests.clone());
        self.runtime.spawn(async move {
            let installed = pull_state(group, from, path, transport).await;
            let _ = requests.send(Request::Installed(installed));
        });
    }

    /// Puts the pulled database in the place of the own one. The hard state
    /// goes over first: a vote must not be forgotten.
    fn install(&mut self, now: Instant, path: &std::path::Path, actions: &mut Vec<Action>) -> Result<(), DiskFault> {
        let own = self.disk.as_ref().ok_or_else(no_disk)?.restore()?;
        let incoming = GroupDisk::open(path)?;
        let base = incoming.view()?.base()?;
        incoming.write_base(own.hard, &base)?;
        drop(incoming);
        self.disk = None;
        let target = self.folder.group_path(self.group);
        std::fs::rename(path, &target)?;
        let disk = GroupDisk::open(&target)?;
        self.state = disk.load_state()?;
        self.disk = Some(disk);
        actions.extend(self.core.handle(now, Event::StateInstalled(base)));
        Ok(())
    }

    // ---- Reports ----

    fn leader_node(&self) -> u64 {
        let leader = self.core.leader();
        let replica = self.core.members().replicas.iter().find(|replica| replica.replica == leader);
        replica.map_or(0, |replica| replica.node)
    }

    fn report(&self) {
        self.set_status(GroupStatus {
            leads: self.core.role() == Role::Leader,
            leader_node: self.leader_node(),
            term: self.core.term(),
            commit: self.core.commit_index(),
            replicas: self.core.members().replicas.len(),
            held_items: self.desk.as_ref().map_or(0, |desk| desk.leasing.held_items()),
        });
    }

    fn set_status(&self, status: GroupStatus) {
        *self.status.lock().unwrap_or_else(PoisonError::into_inner) = status;
    }
}

/// Pulls the whole state page by page into a new database.
async fn pull_state(group: u64, from: u64, path: PathBuf, transport: Arc<dyn Transport>) -> Option<PathBuf> {
    let session = rand::random();
    let mut pull = StatePull { group, session, first: true, ..StatePull::default() };
    let _ = std::fs::remove_file(&path);
    let disk = Arc::new(GroupDisk::open(&path).ok()?);
    loop {
        let page = transport.pull(from, pull.clone()).await?;
        if page.code != ResultCode::Done.number() {
            return None;
        }
        if page.last {
            let base = base_of_message(page.base?);
            disk.write_base(HardState::default(), &base).ok()?;
            return Some(path);
        }
        let end = page.records.last()?;
        pull.after_table = end.table;
        pull.after_key = end.key.clone();
        pull.first = false;
        let writer = disk.clone();
        let written = tokio::task::spawn_blocking(move || writer.write_records(&page.records)).await;
        written.ok()?.ok()?;
    }
}

fn no_disk() -> DiskFault {
    DiskFault::Io("the database is closed".into())
}

fn wall_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs())
}
