//! The run of one item: started when the scheduler says so, broken off where
//! it gives way, taken up again from its resume point.

use super::{BatchRunner, ITEM_ATTEMPTS, ITEM_TIME};
use crate::owner::{Assigned, Order, WorkHandle};
use bytes::Bytes;
use latchwheel_core::code::ResultCode;
use latchwheel_core::scheduler::Work;
use latchwheel_engine::{EngineAnswer, EngineFault, EngineRequest};
use latchwheel_protocol::v1::{ItemResult, LeasedItem};
use std::sync::{Arc, Mutex, PoisonError};

/// Identity of an item's run at the engines.
pub(super) fn run_identity(leased: &LeasedItem) -> String {
    format!("{}-{}", leased.job, leased.position)
}

pub(super) enum ItemEnd {
    Result(ItemResult),
    /// The item was not started here and may go elsewhere.
    NotStarted,
}

pub(super) struct ItemRun<'a> {
    pub(super) runner: &'a Arc<BatchRunner>,
    pub(super) leased: &'a LeasedItem,
    pub(super) body: Bytes,
    /// Where a broken-off run is kept.
    pub(super) resume_at: Option<Assigned>,
    /// Server that runs the item, for whoever has to stop it.
    pub(super) place: Arc<Mutex<Option<Arc<str>>>>,
}

/// Why a run ended without a result.
enum RunFault {
    Engine(EngineFault),
    /// The node takes the item back from its servers.
    Withdrawn,
}

impl ItemRun<'_> {
    pub(super) async fn run(mut self, work: Work) -> ItemEnd {
        let mut attempts = 0;
        // Granted by an answer that was on its way when the stop began.
        if self.runner.is_leaving() {
            return ItemEnd::NotStarted;
        }
        loop {
            let mut handle = self.runner.owner.submit(Work { id: self.runner.owner.new_work(), ..work.clone() });
            let assigned = loop {
                match handle.next().await {
                    Order::Start(assigned) if self.runner.leases_hold() => break assigned,
                    Order::Start(_) | Order::Refuse(..) => return ItemEnd::NotStarted,
                    Order::Preempt => {}
                }
            };
            match self.run_until_end(handle, assigned).await {
                Ok(result) => return ItemEnd::Result(result),
                Err(RunFault::Withdrawn) => return ItemEnd::NotStarted,
                Err(RunFault::Engine(fault)) => {
                    attempts += 1;
                    if let Some(result) = self.judge(fault, attempts) {
                        return ItemEnd::Result(result);
                    }
                }
            }
        }
    }

    /// Runs on the assigned server; where the item gives way, waits for the
    /// next start and goes on from the resume point.
    async fn run_until_end(&mut self, mut handle: WorkHandle, mut assigned: Assigned) -> Result<ItemResult, RunFault> {
        loop {
            let sending = self.send(&assigned);
            let answer = tokio::select! {
                answer = sending => Some(answer),
                order = handle.next() => match order {
                    Order::Preempt => None,
                    Order::Start(_) | Order::Refuse(..) => Some(Err(EngineFault::Interrupted)),
                },
            };
            match answer {
                Some(Ok(result)) => {
                    handle.finish();
                    return Ok(result);
                }
                Some(Err(EngineFault::RunNotFound)) => self.resume_at = None,
                Some(Err(fault)) => {
                    if !matches!(fault, EngineFault::InvalidRequest(..)) {
                        self.runner.owner.server_failed(assigned.server);
                    }
                    return Err(RunFault::Engine(fault));
                }
                None => {
                    self.runner.metrics.note_preemption();
                    self.resume_at = Some(assigned.clone());
                    assigned = loop {
                        match handle.next().await {
                            Order::Start(next) => break next,
                            Order::Refuse(..) => return Err(RunFault::Withdrawn),
                            Order::Preempt => {}
                        }
                    };
                    self.leave_resume_point(&assigned).await;
                }
            }
        }
    }

    /// A run that goes on at another server is dropped at the first one.
    async fn leave_resume_point(&mut self, next: &Assigned) {
        let elsewhere = self.resume_at.take_if(|kept| kept.server != next.server);
        if let Some(kept) = elsewhere {
            let identity = run_identity(self.leased);
            let engines = self.runner.engines.clone();
            tokio::spawn(async move { engines.cancel(&kept.address, &identity).await });
        }
    }

    async fn send(&self, assigned: &Assigned) -> Result<ItemResult, EngineFault> {
        *self.place.lock().unwrap_or_else(PoisonError::into_inner) = Some(assigned.address.clone());
        let request = EngineRequest {
            identity: run_identity(self.leased),
            path: self.leased.endpoint.clone(),
            body: self.body.clone(),
            streamed: false,
            resume: self.resume_at.is_some(),
            timeout: ITEM_TIME,
        };
        match self.runner.engines.send(&assigned.address, request).await? {
            EngineAnswer::Whole(body) => {
                Ok(ItemResult { position: self.leased.position, code: ResultCode::Done.number(), status: 200, body })
            }
            EngineAnswer::Stream(_) => Err(EngineFault::Interrupted),
        }
    }

    /// What a failed attempt comes to; `None` means another attempt.
    fn judge(&self, fault: EngineFault, attempts: u32) -> Option<ItemResult> {
        let position = self.leased.position;
        match fault {
            EngineFault::InvalidRequest(_, bytes) => {
                let text = String::from_utf8_lossy(&bytes).into_owned();
                Some(failed(position, ResultCode::EngineRejected, &text))
            }
            EngineFault::Unreachable | EngineFault::Refused => None,
            EngineFault::Interrupted | EngineFault::RunNotFound if !self.leased.repeatable => {
                Some(failed(position, ResultCode::OutcomeUnknown, ResultCode::OutcomeUnknown.text()))
            }
            EngineFault::Interrupted | EngineFault::RunNotFound if attempts < ITEM_ATTEMPTS => None,
            EngineFault::Interrupted | EngineFault::RunNotFound => {
                Some(failed(position, ResultCode::StreamCut, ResultCode::StreamCut.text()))
            }
        }
    }
}

pub(super) fn failed(position: u64, code: ResultCode, text: &str) -> ItemResult {
    let body = Bytes::copy_from_slice(text.as_bytes());
    ItemResult { position, code: code.number(), status: u32::from(code.http_status()), body }
}
