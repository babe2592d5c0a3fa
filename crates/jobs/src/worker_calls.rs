//! Calls between nodes on the jobs that a worker runs: results and bodies.

use crate::assignment::rendezvous;
use crate::layout::ListedResult;
use crate::nodes::Nodes;
use crate::owned_jobs::{OwnedJobs, OwnedPage};
use crate::recent::Recent;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use latchwheel_http::{empty, full, read_bounded, Body, CallFault, Client};
use latchwheel_protocol::{v1, Message};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Path at which results are asked for.
pub const RESULTS_PATH: &str = "/results";
/// Path at which bodies of items are asked for.
pub const ITEM_BODY_PATH: &str = "/item-body";
const REQUEST_LIMIT: usize = 4 << 10;
const REQUEST_TIME: Duration = Duration::from_secs(2);
/// Longest time that a call is held.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// Time that an answer may take beyond the wait.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// A worker that gave no answer is not asked for this time.
const SILENT_TIME: Duration = Duration::from_secs(1);
/// Jobs whose worker is remembered.
const REMEMBERED_JOBS: usize = 256;

impl OwnedJobs {
    /// Answers a call of another node; with 404 if this worker can't tell.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        let bytes = read_bounded(request.into_body(), REQUEST_LIMIT, REQUEST_TIME).await.unwrap_or_default();
        let answer = match path.as_str() {
            RESULTS_PATH => self.answer_results(bytes).await,
            ITEM_BODY_PATH => self.answer_item_body(bytes),
            _ => None,
        };
        answer.map_or_else(not_here, |bytes| Response::new(full(bytes)))
    }

    async fn answer_results(&self, bytes: Bytes) -> Option<Bytes> {
        let asked = v1::ResultsRequest::decode(bytes).ok()?;
        if let Some(runs_at) = self.runs_at(&asked.job) {
            return Some(v1::ResultsAnswer { runs_at, ..v1::ResultsAnswer::default() }.encode_to_vec().into());
        }
        let wait = Duration::from_millis(u64::from(asked.wait_ms)).min(LONGEST_WAIT);
        let from = usize::try_from(asked.from).ok()?;
        let byte_limit = usize::try_from(asked.byte_limit).ok()?;
        let page = self.read(&asked.job, tenant_of(&asked.tenant), from, byte_limit, wait).await?;
        let results = page.results.iter().map(|result| v1::JobResult {
            item: result.item.clone(),
            completed: result.completed,
            text: result.text.clone(),
        });
        let answer = v1::ResultsAnswer { runs_at: String::new(), total: page.total as u64, results: results.collect() };
        Some(answer.encode_to_vec().into())
    }

    fn answer_item_body(&self, bytes: Bytes) -> Option<Bytes> {
        let asked = v1::ItemBodyRequest::decode(bytes).ok()?;
        let body = self.item_body(&asked.job, tenant_of(&asked.tenant), &asked.item)?;
        Some(v1::ItemBodyAnswer { body }.encode_to_vec().into())
    }
}

/// The tenant that a call is made for; an empty name says none.
fn tenant_of(name: &str) -> Option<&str> {
    (!name.is_empty()).then_some(name)
}

fn not_here() -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}

/// Asks the workers of jobs.
#[derive(Debug)]
pub(crate) struct WorkerCalls {
    nodes: Nodes,
    client: Client,
    /// Workers of jobs, where they are not those that hashing names.
    owners: Mutex<Recent<String>>,
    silent: Mutex<HashMap<SocketAddr, Instant>>,
}

impl WorkerCalls {
    pub(crate) fn new(nodes: Nodes) -> Self {
        Self {
            nodes,
            client: Client::http1(),
            owners: Mutex::new(Recent::new(REMEMBERED_JOBS)),
            silent: Mutex::default(),
        }
    }

    /// Results of a job from a position on, if a worker is sure of them.
    pub(crate) async fn results(
        &self,
        job: &str,
        caller: Option<&str>,
        from: usize,
        byte_limit: usize,
        wait: Duration,
    ) -> Option<OwnedPage> {
        let asked = v1::ResultsRequest {
            job: job.to_owned(),
            tenant: caller.unwrap_or_default().to_owned(),
            from: from as u64,
            wait_ms: wait.as_millis() as u32,
            byte_limit: byte_limit as u64,
        };
        let mut answer: v1::ResultsAnswer = self.ask(job, RESULTS_PATH, &asked, wait).await?;
        if !answer.runs_at.is_empty() {
            lock(&self.owners).put(job, answer.runs_at);
            answer = self.ask(job, RESULTS_PATH, &asked, wait).await?;
            if !answer.runs_at.is_empty() {
                return None;
            }
        }
        let results = answer.results.into_iter();
        let results = results.map(|told| ListedResult { item: told.item, completed: told.completed, text: told.text });
        Some(OwnedPage { total: usize::try_from(answer.total).ok()?, results: results.map(Arc::new).collect() })
    }

    /// Body of an item in base64, if a worker runs its job.
    pub(crate) async fn item_body(&self, job: &str, caller: Option<&str>, item: &str) -> Option<String> {
        let tenant = caller.unwrap_or_default().to_owned();
        let asked = v1::ItemBodyRequest { job: job.to_owned(), item: item.to_owned(), tenant };
        let answer: v1::ItemBodyAnswer = self.ask(job, ITEM_BODY_PATH, &asked, Duration::ZERO).await?;
        Some(answer.body)
    }

    async fn ask<T: Message + Default>(
        &self,
        job: &str,
        path: &str,
        asked: &impl Message,
        wait: Duration,
    ) -> Option<T> {
        let worker = self.worker_of(job)?;
        let body = Bytes::from(asked.encode_to_vec());
        let time = wait + ANSWER_MARGIN;
        match self.client.call(Method::POST, &worker.to_string(), path, body, time).await {
            Ok(bytes) => T::decode(bytes).ok(),
            Err(CallFault::BadAnswer(..)) => {
                lock(&self.owners).remove(job);
                None
            }
            Err(_) => {
                lock(&self.silent).insert(worker, Instant::now());
                None
            }
        }
    }

    /// Address of the worker that should run the job, unless it was silent
    /// just now.
    fn worker_of(&self, job: &str) -> Option<SocketAddr> {
        // One that stays knows which one runs the job; one that winds up hears of no new jobs.
        let names = self.nodes.workers_for_new_jobs();
        let remembered = lock(&self.owners).get(job).cloned();
        let owner = remembered.or_else(|| rendezvous(job, &names).map(str::to_owned))?;
        let address = self.nodes.address_of(&owner)?;
        let silent = lock(&self.silent).get(&address).is_some_and(|at| at.elapsed() < SILENT_TIME);
        (!silent).then_some(address)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
