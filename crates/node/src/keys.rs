//! The tenants' key hashes, which the platform's service keeps.

use latchwheel_core::code::ResultCode;
use latchwheel_platform::{KeyValueClient, KeyValueFault, Written};
use std::collections::HashMap;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

const PREFIX: &str = "tenants/keys/";
const REFRESH: Duration = Duration::from_secs(2);

/// The key hashes as last read; while the service is away they stand.
#[derive(Debug)]
pub(crate) struct Keys {
    service: KeyValueClient,
    tenants: RwLock<HashMap<String, String>>,
}

impl Keys {
    pub(crate) fn new(service: KeyValueClient) -> Arc<Self> {
        Arc::new(Self { service, tenants: RwLock::default() })
    }

    pub(crate) fn tenant_of(&self, hash: &str) -> Option<String> {
        self.tenants.read().unwrap_or_else(PoisonError::into_inner).get(hash).cloned()
    }

    pub(crate) async fn add(&self, tenant: &str, hash: &str) -> Result<(), ResultCode> {
        match self.service.write(&format!("{PREFIX}{hash}"), tenant, 0).await {
            Ok(Written::Done(_) | Written::Differs(_)) => {
                let mut tenants = self.tenants.write().unwrap_or_else(PoisonError::into_inner);
                tenants.insert(hash.to_owned(), tenant.to_owned());
                Ok(())
            }
            Err(KeyValueFault::Away | KeyValueFault::AnswerLost) => Err(ResultCode::PlatformAway),
        }
    }

    /// Reads the hashes for ever.
    pub(crate) async fn run(self: Arc<Self>) {
        loop {
            if let Ok(tenants) = self.load().await {
                *self.tenants.write().unwrap_or_else(PoisonError::into_inner) = tenants;
            }
            tokio::time::sleep(REFRESH).await;
        }
    }

    async fn load(&self) -> Result<HashMap<String, String>, KeyValueFault> {
        let mut tenants = HashMap::new();
        let mut after = PREFIX.to_owned();
        loop {
            let values = self.service.range(PREFIX, &after).await?;
            let Some(last) = values.last() else { return Ok(tenants) };
            after.clone_from(&last.key);
            tenants.extend(values.into_iter().filter_map(|stored| {
                let hash = stored.key.strip_prefix(PREFIX)?.to_owned();
                Some((hash, stored.value))
            }));
        }
    }
}
