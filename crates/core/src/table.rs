//! The operators' table: one row of weights and limits per kind of work.

use crate::code::ResultCode;
use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Maximum length of the name of a row, service, model or adapter, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum number of rows in a table.
pub const MAX_ROWS: usize = 20_000;
const MAX_WEIGHT: f64 = 1.0e6;

/// Whether a caller waits for the result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A caller waits for the answer; precedes all batch work.
    #[default]
    Online,
    /// No caller waits; runs in idle slots.
    Batch,
}

/// Limits of a row; zero means no limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests per second over all nodes.
    pub requests_per_second: f64,
    /// Concurrent requests per region.
    pub concurrency: u32,
    /// Requests waiting at one owner.
    pub queue: u32,
    /// Tokens per second over all nodes.
    pub tokens_per_second: f64,
    /// Maximum predicted wait for the first token, in milliseconds.
    pub first_token_milliseconds: u64,
}

/// Retry policy of a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryPolicy {
    /// Maximum attempts, including the first.
    pub attempts: u32,
    /// Retries allowed per 100 requests.
    pub budget_percent: u32,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self { attempts: 3, budget_percent: 20 }
    }
}

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Name, unique in the table.
    pub name: String,
    /// Online or batch.
    #[serde(default)]
    pub class: Class,
    /// Share among rows of the same class.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Service whose servers do the work.
    pub service: String,
    /// Model or adapter; empty means the service's default.
    #[serde(default)]
    pub model: String,
    /// Limits on rate, concurrency, queue and wait.
    #[serde(default)]
    pub limits: Limits,
    /// Limits on retries.
    #[serde(default)]
    pub retry: RetryPolicy,
    /// Maximum time for the work, in milliseconds; zero means no deadline.
    #[serde(default)]
    pub deadline_milliseconds: u64,
    /// Retention time of results after the work ends, in seconds; zero means unlimited.
    #[serde(default)]
    pub retention_seconds: u64,
}

fn default_weight() -> f64 {
    1.0
}

impl Row {
    /// Validates the fields of the row.
    ///
    /// # Errors
    /// [`RowError`] for the first invalid field.
    pub fn check(&self) -> Result<(), RowError> {
        for (field, value) in [("name", &self.name), ("service", &self.service)] {
            if value.is_empty() || value.len() > MAX_NAME_BYTES {
                return Err(RowError { field, allowed: "1 to 128 bytes" });
            }
        }
        if !self.name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte)) {
            return Err(RowError { field: "name", allowed: "letters, digits, '-', '_' and '.'" });
        }
        if self.model.len() > MAX_NAME_BYTES {
            return Err(RowError { field: "model", allowed: "at most 128 bytes" });
        }
        if !(self.weight > 0.0 && self.weight <= MAX_WEIGHT) {
            return Err(RowError { field: "weight", allowed: "above 0, at most 1000000" });
        }
        for (field, value) in [
            ("limits.requests_per_second", self.limits.requests_per_second),
            ("limits.tokens_per_second", self.limits.tokens_per_second),
        ] {
            if !(value.is_finite() && value >= 0.0) {
                return Err(RowError { field, allowed: "0 or more" });
            }
        }
        if !(1..=10).contains(&self.retry.attempts) {
            return Err(RowError { field: "retry.attempts", allowed: "1 to 10" });
        }
        if self.retry.budget_percent > 100 {
            return Err(RowError { field: "retry.budget_percent", allowed: "0 to 100" });
        }
        Ok(())
    }

    /// Maximum predicted wait for the first token, if the row limits it.
    pub fn first_token_limit(&self) -> Option<Duration> {
        let limit = self.limits.first_token_milliseconds;
        (limit > 0).then(|| Duration::from_millis(limit))
    }
}

/// A row field with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowError {
    /// Name of the field.
    pub field: &'static str,
    /// Description of the allowed values.
    pub allowed: &'static str,
}

impl RowError {
    /// Result code for an invalid row.
    pub const CODE: ResultCode = ResultCode::BadRow;
}

/// A change of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Adds the row or replaces the one of the same name.
    Put(Row),
    /// Removes the row of this name.
    Delete(String),
    /// Adds a key for a tenant; only its hash is stored.
    AddKey(TenantKeyHash),
}

/// A tenant's key as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantKeyHash {
    /// Name of the tenant.
    pub tenant: String,
    /// Hash of the key.
    pub hash: String,
}

/// An edit, as stored under its revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Random identity that distinguishes racing edits.
    pub identity: u64,
    /// Operator who made the edit.
    pub operator: String,
    /// Change to the table.
    pub change: Change,
}

/// The table at one revision. The persistent maps share unchanged parts between
/// revisions, so that cloning is cheap and a comparison visits only the differences.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// Number of applied edits.
    pub revision: u64,
    /// Rows by name.
    pub rows: OrdMap<String, Arc<Row>>,
    /// Tenants by the hashes of their keys.
    #[serde(default)]
    pub keys: OrdMap<String, String>,
}

impl Table {
    /// Applies the edit that creates the next revision.
    pub fn apply(&mut self, edit: &Edit) {
        match &edit.change {
            Change::Put(row) => {
                self.rows.insert(row.name.clone(), Arc::new(row.clone()));
            }
            Change::Delete(name) => {
                self.rows.remove(name);
            }
            Change::AddKey(key) => {
                self.keys.insert(key.hash.clone(), key.tenant.clone());
            }
        }
        self.revision += 1;
    }

    /// Rows that were added or changed since `other`.
    pub fn rows_changed_since(&self, other: &Table) -> Vec<Arc<Row>> {
        use imbl::ordmap::DiffItem;
        other
            .rows
            .diff(&self.rows)
            .filter_map(|item| match item {
                DiffItem::Add(_, row) => Some(row.clone()),
                DiffItem::Update { new: (_, row), .. } => Some(row.clone()),
                DiffItem::Remove(..) => None,
            })
            .collect()
    }

    /// Row for a request without a row header: the first row of the class whose model,
    /// or else service, has this name.
    pub fn row_for(&self, class: Class, model: &str) -> Option<&Arc<Row>> {
        let of_class = || self.rows.values().filter(move |row| row.class == class);
        of_class().find(|row| row.model == model).or_else(|| of_class().find(|row| row.service == model))
    }
}
