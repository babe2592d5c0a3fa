//! News for other nodes, each sent several times since datagrams may be lost.

use super::messages::{crash_message, request_message, verdict_message, RunningRequest};
use latchwheel_core::dispatch::ServerKey;
use latchwheel_core::fingerprint::RequestKey;
use latchwheel_core::quarantine::QuarantineEntry;
use latchwheel_core::time::Instant;
use latchwheel_events::{emit, Event};
use latchwheel_protocol::{v1, Message};
use std::time::Duration;

/// Times that news are sent, and the pause after each.
const PAUSES: [Duration; 3] = [Duration::from_millis(100), Duration::from_millis(250), Duration::ZERO];
/// News that wait at most.
const WAITING_LIMIT: usize = 2048;
/// Requests in one piece of news, and bytes of one message: it fits into a datagram.
const REQUESTS_IN_NEWS: usize = 16;
const MESSAGE_BYTES: usize = 1200;

/// Who has to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Audience {
    /// The nodes that weigh what all tell.
    Deciding,
    /// Every node.
    All,
}

/// A message to other nodes.
#[derive(Clone, Debug)]
pub(crate) struct CrashMessage {
    pub(crate) audience: Audience,
    pub(crate) news: v1::QuarantineNews,
}

#[derive(Debug)]
struct Waiting {
    audience: Audience,
    news: v1::QuarantineNews,
    sent: usize,
    due: Instant,
}

/// News that are to be sent.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    waiting: Vec<Waiting>,
}

impl Outbox {
    /// A server ended while it worked on these requests, or on items only.
    pub(super) fn put_crash(&mut self, now: Instant, server: ServerKey, requests: &[RunningRequest]) {
        if requests.is_empty() {
            let crashes = vec![crash_message(server, &[])];
            self.put(now, Audience::Deciding, v1::QuarantineNews { crashes, ..v1::QuarantineNews::default() });
        }
        for part in requests.chunks(REQUESTS_IN_NEWS) {
            let crashes = vec![crash_message(server, part)];
            self.put(now, Audience::Deciding, v1::QuarantineNews { crashes, ..v1::QuarantineNews::default() });
        }
    }

    /// A suspected request ran to its end.
    pub(super) fn put_success(&mut self, now: Instant, audience: Audience, request: &RequestKey) {
        let succeeded = vec![request_message(request)];
        self.put(now, audience, v1::QuarantineNews { succeeded, ..v1::QuarantineNews::default() });
    }

    /// Successful runs of these requests have to be reported.
    pub(super) fn put_watch(&mut self, now: Instant, requests: &[RequestKey]) {
        for part in requests.chunks(REQUESTS_IN_NEWS) {
            let watched = part.iter().map(request_message).collect();
            self.put(now, Audience::All, v1::QuarantineNews { watched, ..v1::QuarantineNews::default() });
        }
    }

    /// A request waits while the last of so many ends under it is weighed.
    pub(super) fn put_hold(&mut self, now: Instant, request: &RequestKey, ends: usize) {
        let ends = u32::try_from(ends).unwrap_or(u32::MAX);
        let held = vec![v1::HeldRequest { request: Some(request_message(request)), ends }];
        self.put(now, Audience::All, v1::QuarantineNews { held, ..v1::QuarantineNews::default() });
    }

    /// A copy of a request that was held goes to a server.
    pub(super) fn put_run(&mut self, now: Instant, request: &RequestKey) {
        let running = vec![request_message(request)];
        self.put(now, Audience::All, v1::QuarantineNews { running, ..v1::QuarantineNews::default() });
    }

    /// Something was decided about a request.
    pub(super) fn put_verdict(&mut self, now: Instant, verdict: &QuarantineEntry) {
        let verdicts = vec![verdict_message(verdict)];
        self.put(now, Audience::All, v1::QuarantineNews { verdicts, ..v1::QuarantineNews::default() });
    }

    fn put(&mut self, now: Instant, audience: Audience, news: v1::QuarantineNews) {
        if self.waiting.len() >= WAITING_LIMIT {
            emit("", &Event::CrashNewsDropped { waiting: self.waiting.len() });
            return;
        }
        self.waiting.push(Waiting { audience, news, sent: 0, due: now });
    }

    /// When something is to be sent.
    pub(super) fn due(&self) -> Option<Instant> {
        self.waiting.iter().map(|waiting| waiting.due).min()
    }

    /// Takes what is to be sent now.
    pub(super) fn take_due(&mut self, now: Instant) -> Vec<CrashMessage> {
        let mut messages = Vec::new();
        for audience in [Audience::Deciding, Audience::All] {
            let mut packed = v1::QuarantineNews::default();
            for waiting in self.waiting.iter_mut().filter(|waiting| waiting.audience == audience) {
                if waiting.due > now {
                    continue;
                }
                waiting.due = now + PAUSES[waiting.sent];
                waiting.sent += 1;
                if packed.encoded_len() + waiting.news.encoded_len() > MESSAGE_BYTES {
                    messages.push(CrashMessage { audience, news: std::mem::take(&mut packed) });
                }
                append(&mut packed, &waiting.news);
            }
            if packed != v1::QuarantineNews::default() {
                messages.push(CrashMessage { audience, news: packed });
            }
        }
        self.waiting.retain(|waiting| waiting.sent < PAUSES.len());
        messages
    }
}

fn append(to: &mut v1::QuarantineNews, news: &v1::QuarantineNews) {
    to.crashes.extend_from_slice(&news.crashes);
    to.succeeded.extend_from_slice(&news.succeeded);
    to.watched.extend_from_slice(&news.watched);
    to.verdicts.extend_from_slice(&news.verdicts);
    to.held.extend_from_slice(&news.held);
    to.running.extend_from_slice(&news.running);
}

/// All these verdicts, in messages of bounded size.
pub(super) fn table_messages<'a>(verdicts: impl Iterator<Item = &'a QuarantineEntry>) -> Vec<v1::QuarantineNews> {
    let mut messages = Vec::new();
    let mut packed = v1::QuarantineNews::default();
    for verdict in verdicts {
        let message = verdict_message(verdict);
        if packed.encoded_len() + message.encoded_len() > MESSAGE_BYTES {
            messages.push(std::mem::take(&mut packed));
        }
        packed.verdicts.push(message);
    }
    if !packed.verdicts.is_empty() {
        messages.push(packed);
    }
    messages
}
