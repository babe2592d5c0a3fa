//! Who asks: the key that a caller shows, and the tenant that servers are told.

use crate::dialect::HeaderNames;
use hyper::header::{HeaderMap, HeaderValue, AUTHORIZATION};

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
