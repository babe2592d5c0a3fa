//! A client that creates a job, resends each request until it is acknowledged,
//! and may cancel the job.

use super::world::{Destination, MachineNumber, Message, SimEvent, World};
use latchwheel_core::code::ResultCode;
use latchwheel_core::time::Instant;
use latchwheel_protocol::v1::command::Body;
use latchwheel_protocol::v1::{AddItems, CancelJob, Command, CreateFile, CreateJob, Item, SealFile};
use rand::Rng;
use std::time::Duration;

const TICK: (u64, u64) = (80, 300);

/// The job that a client creates.
#[derive(Clone, Debug)]
pub struct JobPlan {
    pub job: String,
    pub file: String,
    pub items: u64,
    pub repeatable: bool,
    pub cancel_at: Option<Instant>,
}

/// State of a client.
pub struct Client {
    pub plan: JobPlan,
    pub step: usize,
    pub request: u64,
    pub leader: Option<MachineNumber>,
    pub created_at: Option<Instant>,
    pub cancel_acknowledged: Option<Instant>,
    pub ended_before_cancel: bool,
}

impl Client {
    pub fn new(plan: JobPlan) -> Self {
        Self {
            plan,
            step: 0,
            request: 0,
            leader: None,
            created_at: None,
            cancel_acknowledged: None,
            ended_before_cancel: false,
        }
    }

    fn command(&self, now: Instant) -> Option<Command> {
        let plan = &self.plan;
        let body = match self.step {
            0 => Body::CreateFile(CreateFile { file: plan.file.clone(), tenant: "t".into(), ..Default::default() }),
            1 => {
                let item = |position| Item { position, ..Item::default() };
                Body::AddItems(AddItems {
                    file: plan.file.clone(),
                    items: (0..plan.items).map(item).collect(),
                    before: 0,
                    after: 9,
                })
            }
            2 => Body::SealFile(SealFile { file: plan.file.clone(), items: plan.items, size: 0, content: 9 }),
            3 => Body::CreateJob(CreateJob {
                job: plan.job.clone(),
                tenant: "t".into(),
                file: plan.file.clone(),
                row: "row".into(),
                repeatable: plan.repeatable,
                request_hash: 7,
                ..CreateJob::default()
            }),
            4 if plan.cancel_at.is_some_and(|at| at <= now) => {
                Body::CancelJob(CancelJob { job: plan.job.clone(), at_seconds: 1 })
            }
            _ => return None,
        };
        Some(Command { body: Some(body) })
    }
}

impl World {
    pub fn client_tick(&mut self, number: usize) {
        let after = self.random_milliseconds(TICK.0, TICK.1);
        self.schedule(after, SimEvent::ClientTick(number));
        let now = self.now;
        let machine = self.random.random_range(0..self.machines.len());
        let client = &mut self.clients[number];
        let Some(command) = client.command(now) else { return };
        client.request += 1;
        let message = Message::Propose { client: number, request: client.request, command };
        let to = client.leader.unwrap_or(machine);
        self.send(None, Destination::Machine(to), message);
        if self.random.random_bool(0.2) {
            self.clients[number].leader = None;
        }
    }

    pub fn deliver_to_client(&mut self, number: usize, message: Message) {
        let now = self.now;
        let client = &mut self.clients[number];
        let Message::Proposed { request, result, leader, .. } = message else { return };
        if request != client.request {
            return;
        }
        // A duplicate answer must not count for the next step.
        client.request += 1;
        client.leader = leader;
        let Ok(outcome) = result else { return };
        let code = ResultCode::from_number(outcome.code).expect("a valid result code");
        match (client.step, code) {
            (3, ResultCode::Accepted | ResultCode::Done) => {
                client.created_at = Some(now);
                client.step = 4;
            }
            (4, ResultCode::Done) => {
                client.cancel_acknowledged = Some(now);
                client.step = 5;
            }
            (4, ResultCode::JobEnded) => {
                client.ended_before_cancel = true;
                client.step = 5;
            }
            (_, ResultCode::Done) => client.step += 1,
            (step, code) => panic!("unexpected result {code:?} in step {step}"),
        }
        let soon = Duration::from_millis(1);
        self.schedule(soon, SimEvent::ClientTick(number));
    }
}
