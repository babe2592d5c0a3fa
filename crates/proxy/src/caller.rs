//! Who asks: the key that a caller shows, and the tenant that servers are told.

use crate::dialect::{Dialect, HeaderNames};
use crate::shared::Shared;
use hyper::header::{HeaderMap, HeaderValue, AUTHORIZATION};
use latchwheel_core::code::ResultCode;
use latchwheel_core::key_acceptance::KeyAcceptance;
use latchwheel_core::routes::RoutingTable;
use latchwheel_core::tenants::{Tenant, UnknownKey};
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

const SCHEME: &str = "bearer";

/// The key that a caller shows. A request that shows several, or none in the
/// form `Bearer KEY`, shows none.
pub fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next()?.to_str().ok()?;
    if values.next().is_some() {
        return None;
    }
    let (scheme, key) = value.trim().split_once(' ')?;
    let key = key.trim();
    let is_key = !key.is_empty() && !key.contains(char::is_whitespace);
    (scheme.eq_ignore_ascii_case(SCHEME) && is_key).then_some(key)
}

/// Prepares a request's headers for a server: it learns the tenant's name,
/// whatever the caller wrote there, and never the caller's key.
pub fn put_tenant(headers: &mut HeaderMap, names: &HeaderNames, tenant: Option<&str>) {
    headers.remove(&names.tenant);
    let Some(tenant) = tenant else { return };
    headers.remove(AUTHORIZATION);
    if let Ok(value) = HeaderValue::from_str(tenant) {
        headers.insert(names.tenant.clone(), value);
    }
}

impl<D: Dialect> Shared<D> {
    /// The table in force was kept on a disk before a start; the store confirmed it so long
    /// ago.
    pub fn note_keys_kept(&self, age: Duration) {
        let now = self.clock.now();
        self.key_life().note_snapshot_used(now, age);
    }

    /// A source has told what the table is now.
    pub fn note_keys_told(&self) {
        self.key_life().note_received();
    }

    /// Whether keys are accepted: not those of a table that was confirmed too long ago.
    pub fn accepts_keys(&self) -> bool {
        self.key_life().accepts(self.clock.now())
    }

    /// The tenant that a caller with this key acts for by a table: none where the table
    /// knows no tenants, or where the key is not needed and not known, or not accepted.
    ///
    /// # Errors
    /// If the key is needed: `Unauthorized` if no tenant has it, `NotReady` if keys are not
    /// accepted now.
    pub fn caller(
        &self,
        table: &RoutingTable,
        key: Option<&str>,
        public: bool,
    ) -> Result<Option<Arc<Tenant>>, ResultCode> {
        if self.accepts_keys() {
            return table.authenticate(key, public).map_err(|UnknownKey| ResultCode::Unauthorized);
        }
        table.authenticate(None, public).map_err(|UnknownKey| ResultCode::NotReady)
    }

    fn key_life(&self) -> MutexGuard<'_, KeyAcceptance> {
        self.key_life.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
