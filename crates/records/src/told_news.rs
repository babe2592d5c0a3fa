//! What nodes are told of a prefix, prepared once for all that are told the same.
//!
//! Many nodes start together, or wait for the same change: preparing it for each
//! would cost an upstream their number times the records. A list of all records is
//! compressed: 10,000 servers' registrations are 1.6 MB, and 0.23 MB compressed
//! (test `a_list_of_servers_shrinks_to_a_fifth`); at a start an upstream sends one
//! to each node of a third of the fleet.

use crate::cached_prefix::CachedPrefix;
use bytes::Bytes;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use latchwheel_clock::Clock;
use latchwheel_core::byte_budget::ByteBudget;
use latchwheel_protocol::{v1, Message};
use std::io::{Read, Write};
use std::time::Duration;
use tokio::time::Instant;

/// News from this size on are compressed: below it, what is saved is less than a
/// packet.
const COMPRESS_FROM: usize = 1400;
/// A list of all records is told again for this time, although there are news since:
/// whoever takes it asks for these at once. While servers come, each revision would
/// otherwise be listed and compressed anew (a tenth of a second of a processor for
/// 10,000 servers on half a core).
const LIST_LIFE: Duration = Duration::from_secs(2);
/// Most revisions from which news are kept prepared.
const KEPT: usize = 16;
/// Most bytes of a prefix that another node told.
const PREFIX_LIMIT: u64 = 256 << 20;

/// News as they are put into an answer.
#[derive(Clone, Debug)]
pub(crate) enum PreparedNews {
    Plain(v1::PrefixRecords),
    Compressed(Bytes),
}

impl PreparedNews {
    fn of(news: v1::PrefixRecords) -> Self {
        if news.encoded_len() < COMPRESS_FROM {
            return PreparedNews::Plain(news);
        }
        compress(&news.encode_to_vec()).map_or(PreparedNews::Plain(news), PreparedNews::Compressed)
    }

    fn len(&self) -> usize {
        match self {
            PreparedNews::Plain(news) => news.encoded_len(),
            PreparedNews::Compressed(news) => news.len(),
        }
    }

    /// Puts the news into an answer.
    pub(crate) fn add_to(self, answer: &mut v1::RecordsAnswer) {
        match self {
            PreparedNews::Plain(news) => answer.prefixes.push(news),
            PreparedNews::Compressed(news) => answer.compressed_prefixes.push(news),
        }
    }
}

/// Bytes of lists that a node may send.
#[derive(Debug)]
pub(crate) struct ListBudget {
    budget: ByteBudget,
    clock: Clock,
}

impl ListBudget {
    pub(crate) fn new(bytes_per_second: f64, clock: Clock) -> Self {
        Self { budget: ByteBudget::new(bytes_per_second, clock.now()), clock }
    }

    /// Spends the bytes of a list if it may be sent; one that fits into a packet always
    /// may.
    fn takes(&mut self, bytes: usize) -> bool {
        if bytes < COMPRESS_FROM {
            return true;
        }
        let allowed = self.budget.allows(self.clock.now());
        if allowed {
            self.budget.spend(bytes);
        }
        allowed
    }
}

/// News as they are told, and the revision up to which they tell everything.
pub(crate) struct News {
    pub(crate) revision: u64,
    pub(crate) prepared: PreparedNews,
}

/// News of one prefix that are kept prepared.
#[derive(Debug, Default)]
pub(crate) struct ToldNews {
    /// Revision as of which `newer` was prepared.
    revision: u64,
    newer: Vec<(u64, PreparedNews)>,
    list: Option<PreparedList>,
}

#[derive(Debug)]
struct PreparedList {
    at: Instant,
    revision: u64,
    newest_record: u64,
    news: PreparedNews,
}

impl ToldNews {
    /// What somebody in a position is told; `None` where that is a list that the budget
    /// does not allow now.
    pub(crate) fn news(
        &mut self,
        cached: &CachedPrefix,
        position: &v1::RecordsPosition,
        budget: &mut ListBudget,
    ) -> Option<News> {
        let prefix = &*position.prefix;
        match cached.told_from(position.revision, position.newest_record) {
            Some(from) => Some(News { revision: cached.revision(), prepared: self.newer(cached, prefix, from) }),
            None => {
                let list = self.list(cached, prefix, position.revision);
                budget.takes(list.prepared.len()).then_some(list)
            }
        }
    }

    /// All records as of a revision that is no older than `after`.
    fn list(&mut self, cached: &CachedPrefix, prefix: &str, after: u64) -> News {
        // What changed since must be remembered, so that it can be told next.
        let usable = |list: &&PreparedList| {
            let is_told_on = cached.told_from(list.revision, list.newest_record).is_some();
            list.at.elapsed() < LIST_LIFE && list.revision >= after && is_told_on
        };
        if let Some(list) = self.list.as_ref().filter(usable) {
            return News { revision: list.revision, prepared: list.news.clone() };
        }
        let news = PreparedNews::of(cached.news(prefix, None));
        let revision = cached.revision();
        let newest_record = cached.newest_record();
        self.list = Some(PreparedList { at: Instant::now(), revision, newest_record, news: news.clone() });
        News { revision, prepared: news }
    }

    fn newer(&mut self, cached: &CachedPrefix, prefix: &str, from: u64) -> PreparedNews {
        if self.revision != cached.revision() || self.newer.len() >= KEPT {
            self.newer.clear();
            self.revision = cached.revision();
        }
        if let Some((_, news)) = self.newer.iter().find(|(kept, _)| *kept == from) {
            return news.clone();
        }
        let news = PreparedNews::of(cached.news(prefix, Some(from)));
        self.newer.push((from, news.clone()));
        news
    }
}

/// All prefixes of an answer; those that can't be read are left out.
pub(crate) fn prefixes_of(answer: &mut v1::RecordsAnswer) -> Vec<v1::PrefixRecords> {
    let mut prefixes = std::mem::take(&mut answer.prefixes);
    prefixes.extend(answer.compressed_prefixes.iter().filter_map(|news| decompress(news)));
    prefixes
}

fn compress(bytes: &[u8]) -> Option<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes).ok()?;
    encoder.finish().ok().map(Bytes::from)
}

fn decompress(bytes: &[u8]) -> Option<v1::PrefixRecords> {
    let mut plain = Vec::new();
    DeflateDecoder::new(bytes).take(PREFIX_LIMIT).read_to_end(&mut plain).ok()?;
    v1::PrefixRecords::decode(Bytes::from(plain)).ok()
}
