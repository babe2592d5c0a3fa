//! A cache of the records that a node follows, kept by watches of the store or
//! by polls of another node's cache, and served to other nodes.
//!
//! [`latchwheel_core::record_source`] decides where the records come from.
//! Each followed prefix has a consumer that is told what happens, in order. A
//! node that starts while the store is away takes what an upstream knows, old
//! as it may be. After that nothing is taken from a source that knows less: see
//! `cached_prefix`.

use crate::cached_prefix::read_news;
use crate::entry::{whole_milliseconds, Entry};
use crate::follow::{follow_store, Followed, Told};
use crate::kept::{KeptAtStart, KEPT_PATH};
use crate::origin::Origin;
use crate::prefix_ages::PrefixAges;
use crate::told_news::{prefixes_of, ListBudget};
use crate::{Contact, RecordStore};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use latchwheel_clock::Clock;
use latchwheel_core::record_source::{PollCondition, RecordSource, SourceSelector, UpstreamState};
use latchwheel_core::startup_snapshot::RecordState;
use latchwheel_events::{emit, set_known_record_ages, Event};
use latchwheel_http::{empty, full, read_bounded, serve, AnswerTimeouts, Body, Client, Version};
use latchwheel_protocol::{v1, Message};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{watch, Notify};
use tokio::time::Instant;

/// Path at which caches are polled.
pub const CACHE_PATH: &str = "/records";
/// Time that a poll is held while there is no news.
const POLL_WAIT: Duration = Duration::from_millis(600);
/// Time that an answer may take beyond that.
const POLL_MARGIN: Duration = Duration::from_millis(400);
/// Time that an answer with a list may take as long as it moves: a small machine's link
/// of 30 Mbit/s takes 0.06 s for 0.23 MB alone, and several such answers may meet there
/// and at the upstream.
const FIRST_ANSWER_TIME: Duration = Duration::from_secs(5);
/// Longest time that this node holds a poll.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// Least time between two polls, so that frequent changes come together.
const POLL_PACE: Duration = Duration::from_millis(100);
/// Pace of a prefix that is followed because another node asked for it.
const ASKED_PACE: Duration = Duration::from_millis(450);
/// Time after the store's return in which a node waits for an upstream that
/// knows all again, before it lists everything by itself: such a node probes each
/// 250 ms, lists, and answers the polls that rest there.
const RETURN_PATIENCE: Duration = Duration::from_millis(600);
/// Most prefixes that are followed because another node asked.
const ASKED_LIMIT: usize = 8;
/// Bounds on a poll.
const REQUEST_LIMIT: usize = 16 << 10;
const REQUEST_TIME: Duration = Duration::from_secs(2);

/// The cache; it is shared by all that follow something.
pub struct WatchCache<S> {
    store: Arc<S>,
    pub(crate) contact: Contact,
    pub(crate) clock: Clock,
    upstreams: Vec<String>,
    pub(crate) entries: Mutex<BTreeMap<String, Entry>>,
    lists: Mutex<ListBudget>,
    choice: Mutex<SourceSelector>,
    source: watch::Sender<RecordSource>,
    /// Counts changes, so that polls that wait look again.
    changed: watch::Sender<u64>,
    /// A prefix was added, or is known meanwhile, so that a poll on its way asks for the
    /// wrong news.
    pub(crate) follows_more: Notify,
    /// What is done with records that were kept before a start.
    pub(crate) start: KeptAtStart,
}

impl<S> std::fmt::Debug for WatchCache<S> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("WatchCache").field("upstreams", &self.upstreams).finish_non_exhaustive()
    }
}

impl<S: RecordStore> WatchCache<S> {
    /// A cache of what this store holds. `upstreams` are the addresses of
    /// other nodes' caches, none for a node that watches the store itself;
    /// `spread` is any number that differs from node to node.
    pub fn new(store: Arc<S>, contact: Contact, upstreams: Vec<String>, spread: u64) -> Arc<Self> {
        Self::with_list_rate(store, contact, upstreams, spread, f64::INFINITY)
    }

    /// The same where lists of all records may take so many bytes of the link in a
    /// second: whoever starts beyond that is told to ask again.
    pub fn with_list_rate(
        store: Arc<S>,
        contact: Contact,
        upstreams: Vec<String>,
        spread: u64,
        list_bytes_per_second: f64,
    ) -> Arc<Self> {
        let clock = Clock::start();
        let choice = SourceSelector::new(upstreams.len(), spread, clock.now());
        let cache = Arc::new(Self {
            store,
            contact,
            clock,
            upstreams,
            entries: Mutex::default(),
            lists: Mutex::new(ListBudget::new(list_bytes_per_second, clock)),
            source: watch::channel(choice.source()).0,
            choice: Mutex::new(choice),
            changed: watch::channel(0).0,
            follows_more: Notify::new(),
            start: KeptAtStart::new(clock.now()),
        });
        if !cache.upstreams.is_empty() {
            tokio::spawn(cache.clone().poll_upstreams());
        }
        cache
    }

    /// Follows a prefix for as long as the process lives; `consumer` is told
    /// what happens. Between two watches of the store at least `pace` passes.
    pub fn follow(
        self: &Arc<Self>,
        prefix: &str,
        pace: Duration,
        consumer: impl FnMut(Followed) + Send + 'static,
    ) -> tokio::task::JoinHandle<()> {
        let entry = Entry::new(prefix, self.clock, Box::new(consumer));
        lock(&self.entries).insert(prefix.to_owned(), entry);
        self.follows_more.notify_one();
        tokio::spawn(self.clone().watch_store(prefix.to_owned(), pace))
    }

    /// Whether anything is known of a prefix.
    pub fn knows(&self, prefix: &str) -> bool {
        lock(&self.entries).get(prefix).is_some_and(|entry| entry.cached.is_known())
    }

    /// The present source.
    pub fn source(&self) -> RecordSource {
        *self.source.borrow()
    }

    /// Where the records under a prefix came from, and how long ago the store confirmed
    /// them, if that is known; `None` if nothing is known of the prefix.
    pub fn origin(&self, prefix: &str) -> Option<(Origin, Option<Duration>)> {
        let entries = lock(&self.entries);
        let entry = entries.get(prefix)?;
        Some((entry.origin()?, entry.age()))
    }

    /// Tells the metrics where what is known came from, and how old it is.
    pub fn tell_origins(&self) {
        let entries = lock(&self.entries);
        let known = entries.iter().filter_map(|(prefix, entry)| Some((&**prefix, entry.origin()?.word(), entry.age())));
        set_known_record_ages(known);
    }

    /// Answers other nodes at this address.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, stop: watch::Receiver<bool>) {
        serve(listener, Version::Http1, stop, move |request| {
            let cache = self.clone();
            async move { cache.answer(request).await }
        })
        .await;
    }

    /// Answers another node's poll.
    pub async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() == KEPT_PATH {
            return status_only(self.take_handed_on(request.into_body()).await);
        }
        let understood = request.uri().path() == CACHE_PATH && request.method() == Method::POST;
        let bytes = read_bounded(request.into_body(), REQUEST_LIMIT, REQUEST_TIME).await.unwrap_or_default();
        let Ok(asked) = v1::RecordsRequest::decode(bytes) else { return status_only(StatusCode::BAD_REQUEST) };
        if !understood {
            return status_only(StatusCode::NOT_FOUND);
        }
        self.follow_asked(&asked);
        let wait = Duration::from_millis(u64::from(asked.wait_ms)).min(LONGEST_WAIT);
        // Without news the answer says only how fresh the asker's state is.
        let arrived_at = Instant::now();
        let _ = tokio::time::timeout(wait, self.ready_to_answer(&asked)).await;
        // Taken before the ages: what follows takes time, and must not make them smaller.
        let held_ms = whole_milliseconds(arrived_at.elapsed());
        let answer = v1::RecordsAnswer { held_ms, ..self.news(&asked) };
        Response::new(full(Bytes::from(answer.encode_to_vec())))
    }

    /// A node that watches the store follows what others ask it for.
    fn follow_asked(self: &Arc<Self>, asked: &v1::RecordsRequest) {
        if !self.upstreams.is_empty() {
            return;
        }
        for position in &asked.positions {
            let (known, count) = {
                let entries = lock(&self.entries);
                (entries.contains_key(&position.prefix), entries.len())
            };
            if !known && count < ASKED_LIMIT {
                self.follow(&position.prefix, ASKED_PACE, |_| {});
            }
        }
    }

    /// Completes when there is what a poll waits for.
    async fn ready_to_answer(&self, asked: &v1::RecordsRequest) {
        let mut changed = self.changed.subscribe();
        let mut regained = self.contact.regains();
        let is_ready = || {
            let has_news = if asked.until_sound { self.state_for(asked).is_reliable() } else { self.has_news(asked) };
            has_news || self.has_kept_news(asked) || self.may_want(asked)
        };
        while !is_ready() {
            let goes_on = tokio::select! {
                () = self.next_look_for_kept(asked) => true,
                changed = changed.changed() => changed.is_ok(),
                regained = regained.changed() => regained.is_ok(),
            };
            if !goes_on {
                return;
            }
        }
    }

    /// How far a node that asks for these prefixes can rely on this one.
    fn state_for(&self, asked: &v1::RecordsRequest) -> UpstreamState {
        let entries = lock(&self.entries);
        let asked_for: Vec<Option<&Entry>> =
            asked.positions.iter().map(|position| entries.get(&position.prefix)).collect();
        let unfollowed = asked_for.iter().flatten().filter_map(|entry| entry.lost_since).min();
        let unfollowed = unfollowed.map(|since| since.elapsed()).unwrap_or_default();
        let behind = asked
            .positions
            .iter()
            .zip(&asked_for)
            .any(|(position, entry)| entry.is_some_and(|entry| entry.cached.revision() < position.newest_record));
        UpstreamState {
            age: self.contact.own_age().unwrap_or(Duration::MAX),
            outage: self.contact.outage().max(unfollowed),
            complete: asked_for.iter().all(|entry| entry.is_some_and(|entry| entry.cached.is_known())),
            defers: false,
            behind,
        }
    }

    fn has_news(&self, asked: &v1::RecordsRequest) -> bool {
        let entries = lock(&self.entries);
        let has_news = |position: &v1::RecordsPosition| {
            let entry = entries.get(&position.prefix);
            entry.is_some_and(|entry| entry.has_news(position))
        };
        asked.positions.iter().any(has_news)
    }

    fn news(&self, asked: &v1::RecordsRequest) -> v1::RecordsAnswer {
        let state = self.state_for(asked);
        let mut answer = v1::RecordsAnswer {
            age_ms: whole_milliseconds(state.age),
            outage_ms: whole_milliseconds(state.outage),
            answering_ms: self.contact.answering_for().map_or(0, whole_milliseconds),
            ..v1::RecordsAnswer::default()
        };
        // A node that watches the store knows soon what it follows.
        answer.deferred = self.upstreams.is_empty() && !state.complete;
        let mut entries = lock(&self.entries);
        let mut lists = lock(&self.lists);
        for position in &asked.positions {
            match entries.get_mut(&position.prefix).filter(|entry| entry.can_be_told()) {
                Some(entry) if asked.reads_compressed => {
                    entry.tell(position, &mut lists, &mut answer);
                    entry.tell_confirmed(&mut answer);
                }
                Some(entry) => entry.tell_plain(position, &mut answer),
                None => {}
            }
        }
        drop(entries);
        answer.wanted_prefixes = self.call_for(asked);
        answer
    }

    /// Watches the store for a prefix whenever the store is the source.
    async fn watch_store(self: Arc<Self>, prefix: String, pace: Duration) {
        let mut source = self.source.subscribe();
        let patience = if self.upstreams.is_empty() { Duration::ZERO } else { RETURN_PATIENCE };
        loop {
            if source.wait_for(|source| *source == RecordSource::Store).await.is_err() {
                return;
            }
            let take = |told: Told| self.take(&prefix, told);
            tokio::select! {
                () = follow_store(&*self.store, &self.contact, &prefix, pace, patience, take) => {}
                _ = source.wait_for(|source| *source != RecordSource::Store) => {}
            }
        }
    }

    pub(crate) fn take(&self, prefix: &str, told: Told) {
        // A prefix that is followed again is news to nodes that wait for it.
        let changed = lock(&self.entries).get_mut(prefix).is_some_and(|entry| {
            let was_lost = entry.lost_since.is_some();
            entry.take(told) || (was_lost && entry.lost_since.is_none())
        });
        if changed {
            self.note_change();
        }
    }

    pub(crate) fn note_change(&self) {
        self.changed.send_modify(|count| *count = count.wrapping_add(1));
    }

    async fn poll_upstreams(self: Arc<Self>) {
        let client = Client::http1_reconnecting();
        loop {
            let started = Instant::now();
            let (upstream, wait) = {
                let choice = lock(&self.choice);
                (choice.upstream().and_then(|number| self.upstreams.get(number)), choice.poll_condition())
            };
            let Some(upstream) = upstream else { return };
            let polled = tokio::select! {
                polled = self.poll(&client, upstream, wait) => polled,
                () = self.follows_more.notified() => continue,
            };
            let pause = {
                let mut choice = lock(&self.choice);
                let now = self.clock.now();
                match &polled {
                    Some(state) => choice.note_answer(now, state),
                    None => choice.note_failure(now),
                }
            };
            self.set_source(upstream, polled);
            tokio::time::sleep_until((started + POLL_PACE).max(Instant::now() + pause)).await;
        }
    }

    fn set_source(&self, upstream: &str, polled: Option<UpstreamState>) {
        let source = lock(&self.choice).source();
        if let (RecordSource::Store, Some(state)) = (source, polled.filter(UpstreamState::store_is_unreachable)) {
            self.contact.note_upstream_unreachable(state.age.max(state.outage));
        }
        let changed = self.source.send_if_modified(|present| std::mem::replace(present, source) != source);
        if changed {
            log_source(source, upstream, polled);
        }
    }

    /// Polls an upstream once, and takes over what it tells if that can be
    /// relied on, or if nothing is known here. `None` if it gave no answer.
    async fn poll(&self, client: &Client, upstream: &str, wait_for: PollCondition) -> Option<UpstreamState> {
        let wait = if wait_for == PollCondition::Nothing { Duration::ZERO } else { POLL_WAIT };
        let asked = self.request(wait, wait_for == PollCondition::Reliable);
        let body = Bytes::from(asked.encode_to_vec());
        let pause = wait + POLL_MARGIN;
        let starts = asked.positions.iter().any(|position| position.revision == 0);
        let asked_at = Instant::now();
        let times = AnswerTimeouts { idle: pause, total: if starts { FIRST_ANSWER_TIME } else { pause } };
        let answer = client.call_with_timeouts(Method::POST, upstream, CACHE_PATH, body, times).await.ok()?;
        let mut answer = v1::RecordsAnswer::decode(answer).ok()?;
        let ages = PrefixAges::read(&mut answer, asked_at);
        let prefixes = prefixes_of(&mut answer);
        let state = UpstreamState {
            age: Duration::from_millis(u64::from(answer.age_ms)),
            outage: Duration::from_millis(u64::from(answer.outage_ms)),
            complete: prefixes.len() == asked.positions.len(),
            defers: answer.deferred,
            behind: self.is_ahead_of(&prefixes),
        };
        let sound = state.is_reliable();
        if sound {
            self.contact.note_told(Duration::from_millis(u64::from(answer.answering_ms)));
        }
        for told in prefixes.into_iter().filter(|told| self.goes_on_from(told, &asked)) {
            let complete_as_of = ages.complete_as_of(&told.prefix);
            if sound {
                self.take(&told.prefix.clone(), read_news(told, complete_as_of, Origin::Upstream));
            } else {
                let age = complete_as_of.map(|at| at.elapsed());
                self.take_unconfirmed(told, age, &answer.confirmed_prefixes, upstream);
            }
        }
        self.hand_on(upstream, &answer.wanted_prefixes);
        Some(state)
    }

    /// Whether what an upstream told of a prefix goes on from what is known here: changes
    /// do only if nothing was heard from elsewhere since they were asked for.
    fn goes_on_from(&self, told: &v1::PrefixRecords, asked: &v1::RecordsRequest) -> bool {
        let asked_from = asked.positions.iter().find(|position| position.prefix == told.prefix);
        let known = lock(&self.entries).get(&told.prefix).map(|entry| entry.cached.revision());
        told.all || known == asked_from.map(|position| position.revision)
    }

    /// Whether more is known here of any of the prefixes than an upstream told.
    fn is_ahead_of(&self, told: &[v1::PrefixRecords]) -> bool {
        let mut entries = lock(&self.entries);
        let mut ahead = false;
        for told in told {
            ahead |= entries.get_mut(&told.prefix).is_some_and(|entry| entry.is_ahead_of(told.revision));
        }
        ahead
    }

    fn request(&self, wait: Duration, until_sound: bool) -> v1::RecordsRequest {
        let entries = lock(&self.entries);
        let positions = entries.iter().map(|(prefix, entry)| v1::RecordsPosition {
            prefix: prefix.clone(),
            revision: entry.cached.revision(),
            newest_record: entry.cached.newest_record(),
            kept: matches!(entry.knowledge(), RecordState::Stored(_)),
        });
        v1::RecordsRequest {
            positions: positions.collect(),
            wait_ms: wait.as_millis() as u32,
            until_sound,
            reads_compressed: true,
        }
    }
}

fn log_source(source: RecordSource, upstream: &str, polled: Option<UpstreamState>) {
    let (age_ms, outage_ms) =
        polled.map_or((0, 0), |state| (state.age.as_millis() as u64, state.outage.as_millis() as u64));
    let source = if source == RecordSource::Upstream { "upstream" } else { "store" };
    let answered = polled.is_some();
    emit("", &Event::RecordSourceChanged { source, upstream, answered, age_ms, outage_ms });
}

fn status_only(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(empty());
    *response.status_mut() = status;
    response
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
