//! Sessions in which a new replica pulls the whole state page by page, all
//! from one consistent view.

use crate::disk::{base_message, DiskFault, StateView};
use latchwheel_core::code::ResultCode;
use latchwheel_protocol::v1::{StatePage, StatePull};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Bytes of records in one page.
const PAGE_BYTES: usize = 512 << 10;
const SESSION_TIME: Duration = Duration::from_secs(30);
const SESSION_LIMIT: usize = 4;

struct Session {
    view: StateView,
    used: Instant,
}

/// The sessions of one replica.
#[derive(Default)]
pub(crate) struct PullSessions {
    sessions: HashMap<u64, Session>,
}

impl PullSessions {
    /// Serves one pull; the first of a session needs a view.
    pub(crate) fn serve(
        &mut self,
        pull: &StatePull,
        view: impl FnOnce() -> Result<StateView, DiskFault>,
    ) -> Result<StatePage, DiskFault> {
        self.sessions.retain(|_, session| session.used.elapsed() < SESSION_TIME);
        if pull.first && self.sessions.len() < SESSION_LIMIT {
            self.sessions.insert(pull.session, Session { view: view()?, used: Instant::now() });
        }
        let Some(session) = self.sessions.get_mut(&pull.session) else {
            return Ok(StatePage { code: ResultCode::NotFound.number(), ..StatePage::default() });
        };
        session.used = Instant::now();
        let after = (!pull.first).then(|| (pull.after_table, pull.after_key.as_ref()));
        let records = session.view.page(after, PAGE_BYTES)?;
        let base = base_message(&session.view.base()?);
        let last = records.is_empty();
        if last {
            self.sessions.remove(&pull.session);
        }
        Ok(StatePage { records, last, base: Some(base), code: ResultCode::Done.number() })
    }
}
