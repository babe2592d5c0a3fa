//! A record store in memory, for tests and single processes.

use crate::{Change, Changes, Committed, Listing, Record, RecordStore, RecordsFault, Transaction};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

const VALUE_LIMIT: usize = 1 << 20;

#[derive(Debug, Default)]
struct State {
    records: BTreeMap<String, (Record, u64)>,
    history: Vec<Change>,
    revision: u64,
    leases: u64,
    live_leases: Vec<u64>,
    fault: Option<RecordsFault>,
    lose_answers: u32,
    /// Listings under this prefix fail until the next commit.
    failing_list: Option<String>,
    /// Commits are done at once and answered after this time.
    answer_after: Duration,
    /// The next commit that writes or removes this key is held back.
    hold_commit_of: Option<String>,
    /// Commits that were held back, in their order.
    held_commits: Vec<Transaction>,
    /// Commits are never answered.
    silent: bool,
    /// Watches hear of nothing, though changes are made.
    deaf: bool,
    /// Most changes that one watch tells of; no limit if there is none.
    heard_at_once: Option<usize>,
    calls: usize,
    /// Watches are never answered.
    watches_silent: bool,
    /// How often the watches that waited fell silent.
    silences: u64,
    /// A caller gives a silent watch up so long after its wait; never without.
    silence_limit: Option<Duration>,
    /// Changes up to this revision are in no watch any more.
    forgotten: u64,
}

/// A record store in memory. Clones share their records.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self { state: Arc::default(), changed: Arc::new(watch::channel(0).0) }
    }
}

impl MemoryStore {
    /// Every call fails so from now on, or none.
    pub fn set_fault(&self, fault: Option<RecordsFault>) {
        self.lock().fault = fault;
    }

    /// The next commits are done, but their answers are lost.
    pub fn lose_answers(&self, count: u32) {
        self.lock().lose_answers = count;
    }

    /// Listings whose prefix begins so fail until the next commit is done.
    pub fn fail_lists_until_commit(&self, prefix: &str) {
        self.lock().failing_list = Some(prefix.to_owned());
    }

    /// Commits are done at once, and answered after this time.
    pub fn answer_commits_after(&self, time: Duration) {
        self.lock().answer_after = time;
    }

    /// The next commit that writes or removes this key is not answered, and done only by
    /// [`MemoryStore::do_held_commits`], if its conditions hold then.
    pub fn hold_commit_of(&self, key: &str) {
        self.lock().hold_commit_of = Some(key.to_owned());
    }

    /// Does the commits that were held back. Gives back how many of them were
    /// done; the conditions of the others did not hold.
    pub fn do_held_commits(&self) -> usize {
        let mut state = self.lock();
        let held = std::mem::take(&mut state.held_commits);
        let done = held.iter().filter(|transaction| matches!(state.commit(transaction), Committed::Done(_))).count();
        self.changed.send_replace(state.revision);
        done
    }

    /// Commits are never answered from now on, or again.
    pub fn set_silent(&self, silent: bool) {
        self.lock().silent = silent;
    }

    /// Watches hear of nothing from now on, or of all again; listings and
    /// reads are sound.
    pub fn set_deaf(&self, deaf: bool) {
        self.lock().deaf = deaf;
    }

    /// Watches are never answered from now on, or again; those that waited meanwhile
    /// stay without an answer, as on connections that are dead without a word. All
    /// other calls are answered.
    pub fn set_watches_silent(&self, silent: bool) {
        let mut state = self.lock();
        state.silences += u64::from(silent);
        state.watches_silent = silent;
    }

    /// A caller gives a silent watch up so long after its wait.
    pub fn limit_silence(&self, limit: Duration) {
        self.lock().silence_limit = Some(limit);
    }

    /// A watch tells of so many changes at most; the others are told by the
    /// next one.
    pub fn limit_watches(&self, changes: usize) {
        self.lock().heard_at_once = Some(changes);
    }

    /// Calls so far.
    pub fn calls(&self) -> usize {
        self.lock().calls
    }

    /// Makes waiting watches look again.
    pub fn cut_watches(&self) {
        let revision = self.lock().revision;
        self.changed.send_replace(revision);
    }

    /// Forgets all changes so far: a watch from before hears of them only at
    /// its end, as a lost history.
    pub fn forget_history(&self) {
        let mut state = self.lock();
        state.history.clear();
        state.forgotten = state.revision;
    }

    /// Lease of a record; zero if it has none or is absent.
    pub fn lease_of(&self, key: &str) -> u64 {
        self.lock().records.get(key).map_or(0, |(_, lease)| *lease)
    }

    /// Ends a lease with its records.
    pub fn end_lease(&self, lease: u64) {
        let mut state = self.lock();
        state.live_leases.retain(|live| *live != lease);
        let keys: Vec<String> =
            state.records.iter().filter(|(_, (_, own))| *own == lease).map(|(key, _)| key.clone()).collect();
        for key in keys {
            state.remove(&key);
        }
        self.changed.send_replace(state.revision);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn check(&self) -> Result<MutexGuard<'_, State>, RecordsFault> {
        let mut state = self.lock();
        state.calls += 1;
        match state.fault {
            Some(fault) => Err(fault),
            None => Ok(state),
        }
    }
}

impl State {
    fn is_to_be_held(&self, transaction: &Transaction) -> bool {
        let mut keys = transaction.writes.iter().map(|write| &write.key).chain(&transaction.removes);
        self.hold_commit_of.as_ref().is_some_and(|held| keys.any(|key| key == held))
    }

    fn remove(&mut self, key: &str) {
        if self.records.remove(key).is_some() {
            self.revision += 1;
            self.history.push(Change::Removed { key: key.to_owned(), revision: self.revision });
        }
    }

    fn commit(&mut self, transaction: &Transaction) -> Committed {
        let revision_of = |key: &str| self.records.get(key).map_or(0, |(record, _)| record.revision);
        if transaction.expected.iter().any(|(key, revision)| revision_of(key) != *revision) {
            let present = transaction.expected.iter().filter_map(|(key, _)| self.records.get(key));
            return Committed::Differs(present.map(|(record, _)| record.clone()).collect());
        }
        let lease_lives = |lease: u64| lease == 0 || self.live_leases.contains(&lease);
        if transaction.writes.iter().any(|write| !lease_lives(write.lease)) {
            return Committed::NoLease;
        }
        self.revision += 1;
        for write in &transaction.writes {
            let record = Record { key: write.key.clone(), value: write.value.clone(), revision: self.revision };
            self.history.push(Change::Written(record.clone()));
            self.records.insert(write.key.clone(), (record, write.lease));
        }
        for key in &transaction.removes {
            self.remove(key);
        }
        Committed::Done(self.revision)
    }

    fn heard_after(&self, prefix: &str, after: u64) -> Vec<Change> {
        if self.deaf {
            return Vec::new();
        }
        let of_prefix = |change: &&Change| match change {
            Change::Written(record) => record.revision > after && record.key.starts_with(prefix),
            Change::Removed { key, revision } => *revision > after && key.starts_with(prefix),
        };
        self.history.iter().filter(of_prefix).take(self.heard_at_once.unwrap_or(usize::MAX)).cloned().collect()
    }
}

impl RecordStore for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Record>, RecordsFault> {
        Ok(self.check()?.records.get(key).map(|(record, _)| record.clone()))
    }

    async fn list_after(&self, prefix: &str, after: &str) -> Result<Listing, RecordsFault> {
        let state = self.check()?;
        if state.failing_list.as_deref().is_some_and(|failing| prefix.starts_with(failing)) {
            return Err(RecordsFault::Rejected);
        }
        let of_prefix = state.records.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let records = of_prefix.map(|(_, (record, _))| record.clone()).collect();
        Ok(Listing { records, revision: state.revision })
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Changes, RecordsFault> {
        let end = Instant::now() + wait;
        let silences_before = self.lock().silences;
        let mut changed = self.changed.subscribe();
        let found = async {
            loop {
                let changes = self.check()?.heard_after(prefix, after);
                if !changes.is_empty() || changed.changed().await.is_err() {
                    return Ok(changes);
                }
            }
        };
        let found = tokio::time::timeout(wait, found).await;
        let (falls_silent, silence_limit) = {
            let state = self.lock();
            (state.watches_silent || state.silences > silences_before, state.silence_limit)
        };
        if falls_silent {
            match silence_limit {
                Some(limit) => tokio::time::sleep_until(end + limit).await,
                None => std::future::pending().await,
            }
            return Err(RecordsFault::Unknown);
        }
        let changes = found.unwrap_or(Ok(Vec::new()))?;
        if after < self.lock().forgotten {
            return Err(RecordsFault::HistoryLost);
        }
        let revision = changes.last().map_or(after, Change::revision);
        Ok(Changes { changes, revision })
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Committed, RecordsFault> {
        if self.lock().silent {
            std::future::pending::<()>().await;
        }
        let (committed, answer_after) = {
            let mut state = self.check()?;
            if state.is_to_be_held(transaction) {
                state.hold_commit_of = None;
                state.held_commits.push(transaction.clone());
                return Err(RecordsFault::Unknown);
            }
            let committed = state.commit(transaction);
            state.failing_list = None;
            self.changed.send_replace(state.revision);
            if state.lose_answers > 0 {
                state.lose_answers -= 1;
                return Err(RecordsFault::Unknown);
            }
            (committed, state.answer_after)
        };
        if !answer_after.is_zero() {
            tokio::time::sleep(answer_after).await;
        }
        Ok(committed)
    }

    async fn grant(&self, _length: Duration) -> Result<u64, RecordsFault> {
        let mut state = self.check()?;
        state.leases += 1;
        let lease = state.leases;
        state.live_leases.push(lease);
        Ok(lease)
    }

    async fn renew(&self, lease: u64) -> Result<bool, RecordsFault> {
        Ok(self.check()?.live_leases.contains(&lease))
    }

    fn value_limit(&self) -> usize {
        VALUE_LIMIT
    }
}
