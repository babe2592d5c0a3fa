//! Registrations of processes whose calls the store executes late.

use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{Change, Contact, RecordStore, RecordsFault, Registrar, Registration, Transaction, Write};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

const KEY: &str = "nodes/a";
const LEASE: Duration = Duration::from_millis(4500);
const RENEWAL: Duration = Duration::from_millis(700);
/// Processes that lose their registrations together.
const PROCESSES: usize = 200;
/// Virtual time in which a registrar has done what it is to do.
const SETTLED: Duration = Duration::from_secs(3);

/// A process that keeps its registration until it is dropped.
struct Process {
    registrar: Arc<Registrar<MemoryStore>>,
    keeping: JoinHandle<()>,
}

fn key(number: usize) -> String {
    format!("nodes/{number}")
}

impl Process {
    fn start(store: &MemoryStore, value: &'static str) -> Self {
        Self::start_with(store, KEY.to_owned(), value)
    }

    /// One of many processes.
    fn start_at(store: &MemoryStore, number: usize) -> Self {
        Self::start_with(store, key(number), "value")
    }

    fn start_with(store: &MemoryStore, key: String, value: &'static str) -> Self {
        let registration = Registration { key, value: value.into(), lease: LEASE, renew_every: RENEWAL };
        let registrar = Arc::new(Registrar::new(Arc::new(store.clone()), Contact::default(), registration));
        let keeping = registrar.clone();
        let keeping = tokio::spawn(async move { keeping.keep().await });
        Self { registrar, keeping }
    }

    /// Ends without a word.
    fn kill(&self) {
        self.keeping.abort();
    }

    async fn stop(&self) {
        self.keeping.abort();
        self.registrar.withdraw().await;
    }

    /// Follows the store up to its present state.
    async fn follow(&self, store: &MemoryStore) {
        self.registrar.note_listing(&store.list("nodes/").await.unwrap());
    }
}

async fn value(store: &MemoryStore) -> Option<String> {
    let record = store.get(KEY).await.unwrap()?;
    Some(String::from_utf8_lossy(&record.value).into_owned())
}

async fn has_value(store: &MemoryStore, expected: &str) -> bool {
    value(store).await.as_deref() == Some(expected)
}

/// Guards against a removal by an earlier process that removes its successor's registration.
#[tokio::test(start_paused = true)]
async fn a_late_removal_of_an_earlier_process_is_not_executed() {
    let store = MemoryStore::default();
    let earlier = Process::start(&store, "first");
    sleep(SETTLED).await;
    store.hold_commit_of(KEY);
    earlier.stop().await;
    let _present = Process::start(&store, "second");
    sleep(SETTLED).await;
    assert_eq!(store.do_held_commits(), 0);
    assert!(has_value(&store, "second").await);
}

/// Guards against a registration by an earlier process that replaces its successor's, under a
/// lease that nobody renews.
#[tokio::test(start_paused = true)]
async fn a_late_registration_of_an_earlier_process_is_not_executed() {
    let store = MemoryStore::default();
    store.hold_commit_of(KEY);
    let earlier = Process::start(&store, "first");
    sleep(Duration::from_millis(1)).await;
    earlier.kill();
    let _present = Process::start(&store, "second");
    sleep(SETTLED).await;
    assert_eq!(store.do_held_commits(), 0);
    assert!(has_value(&store, "second").await);
}

/// Guards against an earlier registration of the same process that replaces its present one.
#[tokio::test(start_paused = true)]
async fn a_registration_that_is_repeated_is_not_replaced_by_its_first_attempt() {
    let store = MemoryStore::default();
    store.hold_commit_of(KEY);
    let _process = Process::start(&store, "first");
    sleep(SETTLED).await;
    let revision = store.get(KEY).await.unwrap().unwrap().revision;
    assert_eq!(store.do_held_commits(), 0);
    assert_eq!(store.get(KEY).await.unwrap().unwrap().revision, revision);
}

/// A process that was killed leaves its registration until its lease ends; the next one does
/// not wait for that.
#[tokio::test(start_paused = true)]
async fn a_registration_of_an_earlier_process_is_replaced_at_once() {
    let store = MemoryStore::default();
    let earlier = Process::start(&store, "first");
    sleep(SETTLED).await;
    earlier.kill();
    let _present = Process::start(&store, "second");
    sleep(Duration::from_millis(1)).await;
    assert!(has_value(&store, "second").await);
}

/// Guards against a process that only renews its lease while its registration is gone.
#[tokio::test(start_paused = true)]
async fn a_registration_that_was_removed_is_written_again() {
    let store = MemoryStore::default();
    let process = Process::start(&store, "first");
    sleep(SETTLED).await;
    let remove = Transaction { removes: vec![KEY.into()], ..Transaction::default() };
    store.commit(&remove).await.unwrap();
    process.follow(&store).await;
    sleep(RENEWAL + Duration::from_millis(1)).await;
    assert!(has_value(&store, "first").await);
}

/// Guards against a registration that ends with the lease of another process.
#[tokio::test(start_paused = true)]
async fn a_registration_that_was_replaced_is_written_again_under_the_own_lease() {
    let store = MemoryStore::default();
    let process = Process::start(&store, "first");
    sleep(SETTLED).await;
    let lease = store.grant(LEASE).await.unwrap();
    let write = Write { key: KEY.into(), value: "late".into(), lease };
    store.commit(&Transaction { writes: vec![write], ..Transaction::default() }).await.unwrap();
    let late = store.get(KEY).await.unwrap().unwrap();
    process.registrar.note_change(&Change::Written(late));
    sleep(RENEWAL + Duration::from_millis(1)).await;
    store.end_lease(lease);
    assert!(has_value(&store, "first").await);
}

/// Guards against needless writes: reports from before the own write change nothing.
#[tokio::test(start_paused = true)]
async fn older_reports_cause_no_calls() {
    let store = MemoryStore::default();
    let before = store.list("nodes/").await.unwrap();
    let process = Process::start(&store, "first");
    sleep(SETTLED).await;
    let calls = store.calls();
    process.registrar.note_listing(&before);
    process.registrar.note_change(&Change::Removed { key: "nodes/b".into(), revision: 99 });
    sleep(Duration::from_millis(1)).await;
    assert_eq!(store.calls(), calls);
}

/// A process whose registration was replaced by another's does not remove that.
#[tokio::test(start_paused = true)]
async fn a_process_withdraws_only_its_own_registration() {
    let store = MemoryStore::default();
    let earlier = Process::start(&store, "first");
    sleep(SETTLED).await;
    earlier.kill();
    let _present = Process::start(&store, "second");
    sleep(SETTLED).await;
    earlier.registrar.withdraw().await;
    assert!(has_value(&store, "second").await);
}

/// A lease that ended is taken anew with the registration.
#[tokio::test(start_paused = true)]
async fn a_registration_whose_lease_ended_is_written_again() {
    let store = MemoryStore::default();
    let _process = Process::start(&store, "first");
    sleep(SETTLED).await;
    store.end_lease(store.lease_of(KEY));
    sleep(SETTLED).await;
    assert!(has_value(&store, "first").await);
}

/// Guards against calls of all nodes at the same moment, after an outage in which all leases
/// ended.
#[tokio::test(start_paused = true)]
async fn registrations_that_were_lost_together_are_spread() {
    let store = MemoryStore::default();
    let processes: Vec<Process> = (0..PROCESSES).map(|number| Process::start_at(&store, number)).collect();
    sleep(SETTLED).await;
    (0..PROCESSES).for_each(|number| store.end_lease(store.lease_of(&key(number))));
    let calls = store.calls();
    for process in &processes {
        process.follow(&store).await;
    }
    sleep(RENEWAL / 10).await;
    let early = store.calls() - calls - PROCESSES;
    assert!(early <= PROCESSES, "{early} calls of {PROCESSES} processes in a tenth of the time between renewals");
    sleep(SETTLED).await;
    assert_eq!(store.list("nodes/").await.unwrap().records.len(), PROCESSES);
}

/// A process that stops does not wait for a store that does not answer.
#[tokio::test(start_paused = true)]
async fn a_registration_is_withdrawn_without_waiting_for_long() {
    let store = MemoryStore::default();
    let process = Process::start(&store, "first");
    sleep(SETTLED).await;
    store.set_silent(true);
    assert!(timeout(Duration::from_secs(1), process.stop()).await.is_ok());
}

/// A registration follows once the store answers again.
#[tokio::test(start_paused = true)]
async fn a_process_registers_after_an_outage() {
    let store = MemoryStore::default();
    store.set_fault(Some(RecordsFault::Unavailable));
    let _process = Process::start(&store, "first");
    sleep(SETTLED).await;
    store.set_fault(None);
    sleep(SETTLED).await;
    assert!(has_value(&store, "first").await);
}
