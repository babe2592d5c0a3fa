//! Replicated state machine of a store group: files, batch jobs, their items and
//! results, and registrations of requests that may run only once.
//!
//! Every replica applies the same commands in the same order and reaches the
//! same state. Bodies of items and results are stored on disk only; memory holds
//! two bits per item of each running job. Invariants:
//!
//! - the first committed completion of an item wins, later ones are dropped;
//! - after a committed cancellation no start and no completion is accepted;
//! - an item that must not run twice starts only after its start is committed.

mod bitmap;
mod keys;

pub use bitmap::Bitmap;
pub use keys::{position_of_key, StateKey, StateTable};

use crate::code::ResultCode;
use bytes::Bytes;
use latchwheel_protocol::v1::command::Body;
use latchwheel_protocol::v1::{
    AddItems, CancelJob, Command, CompleteItems, CreateFile, CreateJob, FileRecord, FinishRequest, JobRecord, Outcome,
    RegisterRequest, RemoveJob, RequestRecord, SealFile, StartItems,
};
use latchwheel_protocol::Message;
use std::collections::{BTreeMap, HashMap};

/// Maximum number of items in one file.
pub const ITEM_LIMIT: u64 = 1_000_000;

/// A write to the replica's disk that a command requires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Writes a value.
    Put(StateTable, Vec<u8>, Bytes),
    /// Removes a value.
    Delete(StateTable, Vec<u8>),
    /// Removes all values whose keys have this prefix.
    DeletePrefix(StateTable, Vec<u8>),
}

/// Result of applying a command.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Applied {
    /// Answer to the proposer.
    pub outcome: Outcome,
    /// Writes that belong in one transaction with the applied index.
    pub effects: Vec<Effect>,
}

/// A job with the progress of its items.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// The record as stored.
    pub record: JobRecord,
    /// Items with a committed result; empty after the end of the job.
    pub done: Bitmap,
    /// Items with a committed start, for jobs that must not run items twice.
    pub started: Bitmap,
    /// For each started item without a result, the lease request that it was last granted to.
    pub start_requests: HashMap<u64, u64>,
}

impl Job {
    fn new(record: JobRecord) -> Self {
        let bits = record.items;
        Self { record, done: Bitmap::new(bits), started: Bitmap::new(bits), start_requests: HashMap::new() }
    }

    fn note_started(&mut self, position: u64, request: u64) {
        self.started.set(position);
        self.start_requests.insert(position, request);
    }

    fn note_done(&mut self, position: u64) {
        self.done.set(position);
        self.start_requests.remove(&position);
    }

    /// Drops the progress of single items, which an ended job does not need.
    fn drop_item_progress(&mut self) {
        self.done = Bitmap::default();
        self.started = Bitmap::default();
        self.start_requests = HashMap::new();
    }

    /// Whether the job is cancelled or all its items have a result.
    pub fn has_ended(&self) -> bool {
        self.record.cancelled || self.record.completed + self.record.failed >= self.record.items
    }
}

/// State of one store group: files, jobs, and requests that may run only once.
#[derive(Clone, Debug, Default)]
pub struct JobState {
    files: HashMap<String, FileRecord>,
    jobs: BTreeMap<String, Job>,
    requests: HashMap<String, RequestRecord>,
}

impl JobState {
    /// Job with this identity.
    pub fn job(&self, job: &str) -> Option<&Job> {
        self.jobs.get(job)
    }

    /// All jobs, by identity.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// File with this identity.
    pub fn file(&self, file: &str) -> Option<&FileRecord> {
        self.files.get(file)
    }

    /// Registered request with this key, without its body.
    pub fn request(&self, key: &str) -> Option<&RequestRecord> {
        self.requests.get(key)
    }

    /// Loads one stored record when a replica starts. Jobs must be loaded before
    /// their results and starts.
    pub fn load(&mut self, table: StateTable, key: &[u8], value: &[u8]) {
        match table {
            StateTable::File => {
                if let Ok(record) = FileRecord::decode(value) {
                    self.files.insert(record.file.clone(), record);
                }
            }
            StateTable::Job => self.load_job(value),
            StateTable::Result => self.load_item_mark(key, Job::note_done),
            StateTable::Start => {
                let request = start_request_of(value);
                self.load_item_mark(key, |job, position| job.note_started(position, request));
            }
            StateTable::Request => {
                if let Ok(record) = RequestRecord::decode(value) {
                    self.requests.insert(record.key.clone(), RequestRecord { body: Bytes::new(), ..record });
                }
            }
            StateTable::Item => {}
        }
    }

    fn load_job(&mut self, value: &[u8]) {
        if let Ok(record) = JobRecord::decode(value) {
            self.jobs.insert(record.job.clone(), Job::new(record));
        }
    }

    fn load_item_mark(&mut self, key: &[u8], mark: impl Fn(&mut Job, u64)) {
        let Some((name, position)) = keys::split_item_key(key) else { return };
        if let Some(job) = self.jobs.get_mut(name).filter(|job| !job.has_ended()) {
            mark(job, position);
        }
    }

    /// Applies a committed command.
    pub fn apply(&mut self, command: Command) -> Applied {
        match command.body {
            Some(Body::CreateFile(command)) => self.create_file(command),
            Some(Body::AddItems(command)) => self.add_items(command),
            Some(Body::SealFile(command)) => self.seal_file(command),
            Some(Body::CreateJob(command)) => self.create_job(command),
            Some(Body::StartItems(command)) => self.start_items(command),
            Some(Body::CompleteItems(command)) => self.complete_items(command),
            Some(Body::CancelJob(command)) => self.cancel_job(command),
            Some(Body::RegisterRequest(command)) => self.register_request(command),
            Some(Body::FinishRequest(command)) => self.finish_request(command),
            Some(Body::RemoveJob(command)) => self.remove_job(command),
            Some(Body::Batch(batch)) => {
                let mut all = applied(ResultCode::Done, "");
                for command in batch.commands {
                    let one = self.apply(command);
                    all.outcome.accepted += one.outcome.accepted;
                    all.effects.extend(one.effects);
                }
                all
            }
            None => applied(ResultCode::BadRequest, ""),
        }
    }

    // ---- Files ----

    fn create_file(&mut self, command: CreateFile) -> Applied {
        if self.files.contains_key(&command.file) {
            return applied(ResultCode::Done, &command.file);
        }
        let record = FileRecord {
            file: command.file.clone(),
            tenant: command.tenant,
            name: command.name,
            created_seconds: command.created_seconds,
            ..FileRecord::default()
        };
        let effects = vec![put_file(&record)];
        self.files.insert(command.file.clone(), record);
        Applied { effects, ..applied(ResultCode::Done, &command.file) }
    }

    fn add_items(&mut self, command: AddItems) -> Applied {
        let Some(file) = self.files.get_mut(&command.file) else {
            return applied(ResultCode::NotFound, &command.file);
        };
        let first = command.items.first().map_or(file.items, |item| item.position);
        if first < file.items {
            // This part was added before. The next part and the seal carry a hash of the whole
            // content, so different content is detected there.
            return applied(ResultCode::Done, &command.file);
        }
        if file.sealed || command.before != file.content {
            return applied(ResultCode::KeyReused, &command.file);
        }
        if first > file.items {
            return applied(ResultCode::FileNotReady, &command.file);
        }
        file.content = command.after;
        let mut effects = Vec::new();
        for item in command.items {
            if item.position == file.items && file.items < ITEM_LIMIT {
                let key = StateKey::item(&command.file, item.position);
                effects.push(Effect::Put(StateTable::Item, key, item.encode_to_vec().into()));
                file.items += 1;
            }
        }
        let accepted = effects.len() as u64;
        effects.push(put_file(file));
        let mut result = applied(ResultCode::Done, &command.file);
        result.outcome.accepted = accepted;
        Applied { effects, ..result }
    }

    fn seal_file(&mut self, command: SealFile) -> Applied {
        let Some(file) = self.files.get_mut(&command.file) else {
            return applied(ResultCode::NotFound, &command.file);
        };
        if file.content != command.content {
            return applied(ResultCode::KeyReused, &command.file);
        }
        if file.items != command.items {
            return applied(ResultCode::FileNotReady, &command.file);
        }
        file.sealed = true;
        file.size = command.size;
        Applied { effects: vec![put_file(file)], ..applied(ResultCode::Done, &command.file) }
    }

    // ---- Jobs ----

    fn create_job(&mut self, command: CreateJob) -> Applied {
        if let Some(existing) = self.jobs.get(&command.job) {
            let same = existing.record.request_hash == command.request_hash;
            return applied(if same { ResultCode::Done } else { ResultCode::KeyReused }, &command.job);
        }
        let file = self.files.get(&command.file).filter(|file| file.tenant == command.tenant);
        let Some(file) = file else { return applied(ResultCode::NotFound, &command.file) };
        if !file.sealed || file.items == 0 {
            return applied(ResultCode::FileNotReady, &command.file);
        }
        let record = JobRecord {
            job: command.job.clone(),
            tenant: command.tenant,
            file: command.file,
            row: command.row,
            endpoint: command.endpoint,
            repeatable: command.repeatable,
            request_hash: command.request_hash,
            created_seconds: command.created_seconds,
            deadline_seconds: command.deadline_seconds,
            items: file.items,
            metadata: command.metadata,
            ..JobRecord::default()
        };
        let effects = vec![put_job(&record)];
        self.jobs.insert(command.job.clone(), Job::new(record));
        Applied { effects, ..applied(ResultCode::Accepted, &command.job) }
    }

    fn start_items(&mut self, command: StartItems) -> Applied {
        let Some(job) = self.jobs.get_mut(&command.job) else { return applied(ResultCode::NotFound, &command.job) };
        if job.has_ended() {
            return applied(ResultCode::JobEnded, &command.job);
        }
        let mut effects = Vec::new();
        for position in command.positions {
            if position < job.record.items && !job.done.get(position) {
                // An item can be granted again if it did not run. Only the request of
                // its last start can then be reported as abandoned.
                job.note_started(position, command.request);
                let value = start_value(command.holder, command.request);
                effects.push(Effect::Put(StateTable::Start, StateKey::item(&command.job, position), value));
            }
        }
        let mut result = applied(ResultCode::Done, &command.job);
        result.outcome.accepted = effects.len() as u64;
        Applied { effects, ..result }
    }

    fn complete_items(&mut self, command: CompleteItems) -> Applied {
        let Some(job) = self.jobs.get_mut(&command.job) else { return applied(ResultCode::NotFound, &command.job) };
        if job.has_ended() {
            return applied(ResultCode::JobEnded, &command.job);
        }
        let mut effects = Vec::new();
        for result in command.results {
            if result.position >= job.record.items || job.done.get(result.position) {
                continue;
            }
            job.note_done(result.position);
            if result.code == ResultCode::Done.number() {
                job.record.completed += 1;
            } else {
                job.record.failed += 1;
            }
            let key = StateKey::item(&command.job, result.position);
            effects.push(Effect::Put(StateTable::Result, key, result.encode_to_vec().into()));
        }
        let accepted = effects.len() as u64;
        if accepted > 0 {
            if job.has_ended() {
                job.record.ended_seconds = command.at_seconds;
                job.drop_item_progress();
            }
            effects.push(put_job(&job.record));
        }
        let mut result = applied(ResultCode::Done, &command.job);
        result.outcome.accepted = accepted;
        Applied { effects, ..result }
    }

    fn cancel_job(&mut self, command: CancelJob) -> Applied {
        let Some(job) = self.jobs.get_mut(&command.job) else { return applied(ResultCode::NotFound, &command.job) };
        if job.record.cancelled {
            return applied(ResultCode::Done, &command.job);
        }
        if job.has_ended() {
            return applied(ResultCode::JobEnded, &command.job);
        }
        job.record.cancelled = true;
        job.record.ended_seconds = command.at_seconds;
        job.drop_item_progress();
        Applied { effects: vec![put_job(&job.record)], ..applied(ResultCode::Done, &command.job) }
    }

    fn remove_job(&mut self, command: RemoveJob) -> Applied {
        if !self.jobs.get(&command.job).is_some_and(Job::has_ended) {
            return applied(ResultCode::NotFound, &command.job);
        }
        let Some(job) = self.jobs.remove(&command.job) else { return applied(ResultCode::NotFound, &command.job) };
        let prefix = StateKey::item_prefix(&command.job);
        let mut effects = vec![
            Effect::Delete(StateTable::Job, command.job.clone().into_bytes()),
            Effect::DeletePrefix(StateTable::Result, prefix.clone()),
            Effect::DeletePrefix(StateTable::Start, prefix),
        ];
        let file = job.record.file;
        if !self.jobs.values().any(|other| other.record.file == file) {
            self.files.remove(&file);
            effects.push(Effect::DeletePrefix(StateTable::Item, StateKey::item_prefix(&file)));
            effects.push(Effect::Delete(StateTable::File, file.into_bytes()));
        }
        Applied { effects, ..applied(ResultCode::Done, &command.job) }
    }

    // ---- Requests that may run only once ----

    fn register_request(&mut self, command: RegisterRequest) -> Applied {
        if let Some(existing) = self.requests.get(&command.key) {
            let same = existing.request_hash == command.request_hash;
            let code = match (same, existing.finished) {
                (false, _) => ResultCode::KeyReused,
                (true, false) if existing.token == command.token => ResultCode::Accepted,
                (true, true) => ResultCode::from_number(existing.code).unwrap_or(ResultCode::OutcomeUnknown),
                (true, false) => ResultCode::InProgress,
            };
            let mut result = applied(code, &command.key);
            result.outcome.status = existing.status;
            result.outcome.accepted = existing.holder;
            return result;
        }
        let record = RequestRecord {
            key: command.key.clone(),
            request_hash: command.request_hash,
            holder: command.holder,
            at_seconds: command.at_seconds,
            token: command.token,
            ..RequestRecord::default()
        };
        let effects = vec![put_request(&record)];
        self.requests.insert(command.key.clone(), record);
        Applied { effects, ..applied(ResultCode::Accepted, &command.key) }
    }

    fn finish_request(&mut self, command: FinishRequest) -> Applied {
        let Some(record) = self.requests.get_mut(&command.key) else {
            return applied(ResultCode::NotFound, &command.key);
        };
        if record.finished {
            return applied(ResultCode::Done, &command.key);
        }
        let not_run = ResultCode::from_number(command.code).is_some_and(|code| code.ran() == crate::code::Ran::NotRun);
        if not_run {
            // The request did not run, so the key may be used for a retry.
            self.requests.remove(&command.key);
            let effects = vec![Effect::Delete(StateTable::Request, command.key.clone().into_bytes())];
            return Applied { effects, ..applied(ResultCode::Done, &command.key) };
        }
        record.finished = true;
        record.code = command.code;
        record.status = command.status;
        let stored = RequestRecord { body: command.body, ..record.clone() };
        Applied { effects: vec![put_request(&stored)], ..applied(ResultCode::Done, &command.key) }
    }
}

fn applied(code: ResultCode, identity: &str) -> Applied {
    let outcome = Outcome { code: code.number(), identity: identity.to_owned(), ..Outcome::default() };
    Applied { outcome, effects: Vec::new() }
}

fn put_file(record: &FileRecord) -> Effect {
    Effect::Put(StateTable::File, record.file.clone().into_bytes(), record.encode_to_vec().into())
}

/// Stored value of an item's start: holder and lease request.
fn start_value(holder: u64, request: u64) -> Bytes {
    [holder.to_le_bytes(), request.to_le_bytes()].concat().into()
}

/// Lease request in the stored value of a start; zero if the value has none.
fn start_request_of(value: &[u8]) -> u64 {
    let request = value.get(8..16).and_then(|bytes| bytes.try_into().ok());
    request.map_or(0, u64::from_le_bytes)
}

fn put_job(record: &JobRecord) -> Effect {
    Effect::Put(StateTable::Job, record.job.clone().into_bytes(), record.encode_to_vec().into())
}

fn put_request(record: &RequestRecord) -> Effect {
    Effect::Put(StateTable::Request, record.key.clone().into_bytes(), record.encode_to_vec().into())
}
