//! A prefix that a node follows: what is known of it, and what its consumer and other
//! nodes are told.

use crate::cached_prefix::CachedPrefix;
use crate::follow::{Followed, Told};
use crate::origin::Origin;
use crate::told_news::{ListBudget, ToldNews};
use crate::RecordsFault;
use latchwheel_clock::Clock;
use latchwheel_core::startup_snapshot::{is_too_old, snapshot_age, RecordState};
use latchwheel_core::time::WallTime;
use latchwheel_events::{emit, observe_records_age, Event};
use latchwheel_protocol::v1;
use std::time::Duration;
use tokio::time::Instant;

/// Is told what happens to a prefix.
pub(crate) type Consumer = Box<dyn FnMut(Followed) + Send>;

/// What a node knows of a prefix that it follows, and who is told of it.
pub(crate) struct Entry {
    prefix: String,
    pub(crate) cached: CachedPrefix,
    told: ToldNews,
    /// Since when nothing is heard of changes.
    pub(crate) lost_since: Option<Instant>,
    /// All changes that were made until this moment are known.
    complete_as_of: Option<Instant>,
    /// Whether an upstream, or a list, last knew less than is known here.
    source_is_behind: bool,
    /// When the store last confirmed what is known, where that was kept before the start
    /// or comes from a node that the store doesn't answer.
    kept: Option<WallTime>,
    /// Who told what is known, last.
    origin: Option<Origin>,
    clock: Clock,
    /// Must not call back into the cache.
    consumer: Consumer,
}

impl Entry {
    /// Nothing is known yet of the prefix.
    pub(crate) fn new(prefix: &str, clock: Clock, consumer: Consumer) -> Self {
        Self {
            prefix: prefix.to_owned(),
            cached: CachedPrefix::default(),
            told: ToldNews::default(),
            lost_since: None,
            complete_as_of: None,
            source_is_behind: false,
            kept: None,
            origin: None,
            clock,
            consumer,
        }
    }

    /// Takes over what a source told, and tells the consumer; `true` if any
    /// record changed.
    pub(crate) fn take(&mut self, told: Told) -> bool {
        self.take_as(told, None)
    }

    /// Takes over what the store confirmed at that time, and nothing is heard of changes
    /// since.
    pub(crate) fn take_kept(&mut self, told: Told, confirmed: WallTime) {
        self.take_as(told, Some(confirmed));
        if let (Some(Origin::Snapshot), Some(age)) = (self.origin, self.age()) {
            (self.consumer)(Followed::Kept(age));
        }
        self.take_failure(RecordsFault::Unknown);
    }

    fn take_as(&mut self, told: Told, kept: Option<WallTime>) -> bool {
        let (changed, followed, complete_as_of, origin) = match told {
            Told::Failed(fault) => return self.take_failure(fault),
            Told::Listing(listing, complete_as_of, origin) => {
                let told = listing.revision;
                let Some(listing) = self.cached.take_listing(listing) else {
                    self.note_older(told);
                    return false;
                };
                self.source_is_behind = false;
                (true, Followed::All(listing), complete_as_of, origin)
            }
            Told::Changes(mut changes, complete_as_of, origin) => {
                self.cached.take_changes(&mut changes, origin);
                (!changes.changes.is_empty(), Followed::Changed(changes), complete_as_of, origin)
            }
        };
        self.kept = kept;
        self.note_regained();
        (self.consumer)(followed);
        if let Some(complete_as_of) = complete_as_of {
            self.renew_age(complete_as_of);
        }
        self.note_origin(origin);
        changed
    }

    fn note_origin(&mut self, origin: Origin) {
        if self.origin.replace(origin) == Some(origin) {
            return;
        }
        let age_ms = self.age().map(|age| age.as_millis() as u64);
        let (prefix, revision) = (&*self.prefix, self.cached.revision());
        emit("", &Event::RecordsOriginChanged { prefix, origin: origin.word(), revision, age_ms });
    }

    /// Whether there is something to tell to somebody in a position.
    pub(crate) fn has_news(&self, position: &v1::RecordsPosition) -> bool {
        self.can_be_told() && self.cached.has_news(position.revision, position.newest_record)
    }

    /// Whether something is known that others believe: not what was kept and was confirmed
    /// too long ago.
    pub(crate) fn can_be_told(&self) -> bool {
        self.cached.is_known() && !self.kept.is_some_and(|confirmed| is_too_old(confirmed, self.clock.wall_time()))
    }

    /// Who told what is known; `None` if nothing is.
    pub(crate) fn origin(&self) -> Option<Origin> {
        self.origin
    }

    /// Time since the store confirmed what is known, where that can be told.
    pub(crate) fn age(&self) -> Option<Duration> {
        let kept = self.kept.map(|confirmed| snapshot_age(confirmed, self.clock.wall_time()));
        kept.or(self.complete_as_of.map(|at| at.elapsed()))
    }

    /// What is known of the prefix, and from when.
    pub(crate) fn knowledge(&self) -> RecordState {
        match (self.cached.is_known(), self.kept) {
            (false, _) => RecordState::Nothing,
            (true, Some(_)) => RecordState::Stored(self.cached.revision()),
            (true, None) => RecordState::Received,
        }
    }

    /// When the store last confirmed what is known, if it is known when; `now` is the
    /// present time.
    pub(crate) fn confirmed(&self, now: WallTime) -> Option<WallTime> {
        let told = self.complete_as_of.map(|at| now - at.elapsed());
        self.kept.or(told)
    }

    fn note_regained(&mut self) {
        if let Some(since) = self.lost_since.take() {
            (self.consumer)(Followed::Regained(since.elapsed()));
        }
    }

    /// A source answered with a list that is older than what is known: nothing of it is
    /// taken, nor does it show how old that is.
    fn note_older(&mut self, revision: u64) {
        self.log_behind(revision);
        self.note_regained();
    }

    /// Logs once that a source knows only so much, until one is not behind any more.
    fn log_behind(&mut self, revision: u64) {
        if std::mem::replace(&mut self.source_is_behind, true) {
            return;
        }
        let known = self.cached.revision();
        emit("", &Event::OlderRecordsNotTaken { prefix: &self.prefix, told: revision, known });
    }

    /// Whether a source that knows everything up to a revision is behind.
    pub(crate) fn is_ahead_of(&mut self, revision: u64) -> bool {
        let ahead = self.cached.is_ahead_of(revision);
        if ahead {
            self.log_behind(revision);
        } else {
            self.source_is_behind = false;
        }
        ahead
    }

    /// All changes until this moment are known, and the consumer was told them.
    fn renew_age(&mut self, complete_as_of: Instant) {
        if self.complete_as_of.is_some_and(|known| known >= complete_as_of) {
            return;
        }
        if let Some(former) = self.complete_as_of.replace(complete_as_of) {
            observe_records_age(&self.prefix, former.elapsed());
        }
        (self.consumer)(Followed::CompleteAsOf(complete_as_of));
    }

    /// Puts what an asker does not know into an answer, unless that is a list which has
    /// to wait.
    pub(crate) fn tell(
        &mut self,
        position: &v1::RecordsPosition,
        lists: &mut ListBudget,
        answer: &mut v1::RecordsAnswer,
    ) {
        let Some(news) = self.told.news(&self.cached, position, lists) else {
            answer.deferred = true;
            return;
        };
        news.prepared.add_to(answer);
        // A list that is told again may be older than what is known.
        if self.cached.is_complete_at(news.revision) {
            self.tell_age(answer);
        }
    }

    /// The same for an asker that reads no compressed prefixes.
    pub(crate) fn tell_plain(&mut self, position: &v1::RecordsPosition, answer: &mut v1::RecordsAnswer) {
        let from = self.cached.told_from(position.revision, position.newest_record);
        answer.prefixes.push(self.cached.news(&position.prefix, from));
        self.tell_age(answer);
    }

    /// Tells when the store last confirmed what was kept.
    pub(crate) fn tell_confirmed(&self, answer: &mut v1::RecordsAnswer) {
        let Some(confirmed) = self.kept else { return };
        let prefix = self.prefix.clone();
        answer.confirmed_prefixes.push(v1::ConfirmedPrefix { prefix, confirmed_ms: confirmed.0 });
    }

    fn tell_age(&self, answer: &mut v1::RecordsAnswer) {
        let Some(age) = self.complete_as_of.map(|at| at.elapsed()) else { return };
        answer.prefix_ages.push(v1::PrefixAge { prefix: self.prefix.clone(), age_ms: whole_milliseconds_up(age) });
    }

    fn take_failure(&mut self, fault: RecordsFault) -> bool {
        let known_before = self.lost_since.is_some();
        self.lost_since.get_or_insert_with(Instant::now);
        (self.consumer)(if known_before { Followed::StillLost } else { Followed::Lost(fault) });
        false
    }
}

/// A time as it is told.
pub(crate) fn whole_milliseconds(time: Duration) -> u32 {
    time.as_millis().min(u128::from(u32::MAX)) as u32
}

/// An age is told as the next higher number: nothing may seem newer than it is.
fn whole_milliseconds_up(age: Duration) -> u32 {
    whole_milliseconds(age).saturating_add(1)
}
