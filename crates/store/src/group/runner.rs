//! The thread of a replica: takes requests, feeds the state machines, and
//! carries their actions out.

use super::{GroupSettings, GroupStatus, LookAt, LookReply, PresentNodes, Request, Transport};
use crate::disk::{DiskFault, GroupDisk, LogChange};
use crate::folder::DataFolder;
use crate::keep_alive::{KeepAlive, KeepAliveRules, Outlet};
use crate::lease_desk::{LeaseDesk, LeaseReply, RowFacts};
use crate::proposals::{Proposals, Waiter};
use crate::session::PullSessions;
use bytes::Bytes;
use latchwheel_core::code::ResultCode;
use latchwheel_core::identity::NodeId;
use latchwheel_core::jobs::{Effect, JobState};
use latchwheel_core::replication::{keep_alive_limit, Action, Event, HardState, LogBase, Replication, Role};
use latchwheel_core::time::Instant;
use latchwheel_protocol::v1::command::Body;
use latchwheel_protocol::v1::replication_message::Body as MessageBody;
use latchwheel_protocol::v1::{
    Batch, Command, CompleteAnswer, CompleteItems, CompleteRequest, Entry, EntryKind, LeaseAnswer, LeaseRequest,
    ReplicationMessage,
};
use latchwheel_protocol::Message;
use std::collections::BTreeMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
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
/// A write to the disk that takes longer is told: half of the time without a heartbeat
/// after which the others elect a leader (600 ms), since none is sent meanwhile.
const SLOW_WRITE: Duration = Duration::from_millis(300);
/// Entries that stay behind a compaction, for replicas that lag a little.
const LOG_TAIL: u64 = 64;

pub(super) struct PendingLook {
    pub(super) at: LookAt,
    pub(super) reply: LookReply,
    /// Index that must be applied first, once a quorum has confirmed.
    pub(super) index: Option<u64>,
}

pub(super) struct Runner {
    pub(super) group: u64,
    pub(super) me: u64,
    pub(super) wanted: usize,
    pub(super) folder: DataFolder,
    pub(super) disk: Option<GroupDisk>,
    pub(super) core: Replication,
    pub(super) state: JobState,
    pub(super) proposals: Proposals,
    pub(super) desk: Option<LeaseDesk>,
    pub(super) looks: BTreeMap<u64, PendingLook>,
    pub(super) next_look: u64,
    pub(super) sessions: PullSessions,
    pub(super) present: PresentNodes,
    pub(super) lost_since: BTreeMap<u64, Instant>,
    pub(super) rows: RowFacts,
    pub(super) transport: Arc<dyn Transport>,
    keep_alive: KeepAlive,
    /// The answer that was sent last to the leader of the present term: true for good, and
    /// repeated while the disk is waited for.
    answered: Option<ReplicationMessage>,
    pub(super) requests: Sender<Request>,
    pub(super) status: Arc<Mutex<GroupStatus>>,
    pub(super) origin: std::time::Instant,
    pub(super) runtime: tokio::runtime::Handle,
    pub(super) next_tick: Instant,
    pub(super) next_upkeep: Instant,
}

impl Runner {
    pub(super) fn open(
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
        let rules = KeepAliveRules {
            pause: settings.replication.heartbeat,
            limit: keep_alive_limit(settings.replication.election_timeout),
        };
        let outlet = Arc::new(TransportOutlet(transport.clone()));
        let keep_alive = KeepAlive::start(&format!("store-group-{}", settings.group), outlet, rules)?;
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
            rows: RowFacts::new(),
            transport,
            keep_alive,
            answered: None,
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

    pub(super) fn run(mut self, inbox: &Receiver<Request>) {
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
            Request::Rows(rows) => self.rows = rows,
            Request::HandOver => actions.extend(self.core.handle(now, Event::TransferLeadership)),
            Request::Stop => {}
        }
        Ok(())
    }

    pub(super) fn propose(&mut self, now: Instant, command: &Command, waiter: Waiter, actions: &mut Vec<Action>) {
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
        if let Some(held) = desk.serve(now, request, reply, &self.rows, &self.state, &view)? {
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
                desk.leasing.return_items(NodeId(request.node), returned, job);
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
            let begun = self.now();
            self.write(|disk| disk.persist(hard, &changes))?;
            self.note_write(begun, "to persist entries");
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
                self.write(|disk| disk.persist(hard, &[change]))?;
            }
            Action::Send(message) => self.send(message),
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

    fn send(&mut self, message: ReplicationMessage) {
        if matches!(message.body, Some(MessageBody::AppendAnswer(_))) {
            self.answered = Some(message.clone());
        }
        self.transport.send(message);
    }

    /// Writes to the disk, and is heard by the others meanwhile.
    fn write(&self, write: impl FnOnce(&GroupDisk) -> Result<(), DiskFault>) -> Result<(), DiskFault> {
        let disk = self.disk.as_ref().ok_or_else(no_disk)?;
        let mut messages = self.core.heartbeats_to_repeat();
        let current = |answer: &&ReplicationMessage| answer.term == self.core.term() && answer.to == self.core.leader();
        messages.extend(self.answered.as_ref().filter(current).cloned());
        self.keep_alive.during(messages, || write(disk))
    }

    fn apply(&mut self, entries: Vec<Entry>) -> Result<(), DiskFault> {
        if entries.is_empty() {
            return Ok(());
        }
        let mut effects: Vec<Effect> = Vec::new();
        for entry in entries {
            if let Some(desk) = self.desk.as_mut() {
                desk.note_entry(entry.term);
            }
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
        let begun = self.now();
        self.write(|disk| disk.apply(&base, &effects))?;
        self.note_write(begun, "to apply entries");
        self.compact(base)
    }

    /// Tells of a write that took long: elections and refused requests follow from it.
    fn note_write(&self, begun: Instant, what: &str) {
        let took = self.now().since(begun);
        if took > SLOW_WRITE {
            log::warn!(target: "E6104", "store group {}: {what} took {} ms on the disk", self.group, took.as_millis());
        }
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
        self.write(|disk| disk.compact(&base))?;
        let done = self.core.handle(self.now(), Event::Compact(base.index));
        debug_assert!(done.is_empty());
        Ok(())
    }

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

struct TransportOutlet(Arc<dyn Transport>);

impl Outlet for TransportOutlet {
    fn send(&self, message: ReplicationMessage) {
        self.0.send(message);
    }
}

pub(super) fn no_disk() -> DiskFault {
    DiskFault::Io("the database is closed".into())
}

pub(super) fn wall_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs())
}
