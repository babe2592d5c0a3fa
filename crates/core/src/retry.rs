//! Retry budgets: retries are paid from a share of the requests, so that a
//! failing back end is not met with a storm; and the pauses between retries.

use crate::table::RetryPolicy;
use std::collections::HashMap;
use std::time::Duration;

/// Retries that a row may always make, before any request has paid for them.
const INITIAL_TOKENS: f64 = 10.0;
/// Most retries that can be saved up.
const TOKEN_LIMIT: f64 = 100.0;

/// Doublings after which a pause has reached any bound.
const MAX_DOUBLINGS: u32 = 16;

/// The pause after so many failures in a row before this one: `first`, doubled
/// each time, `longest` at most.
pub fn exponential_backoff(first: Duration, longest: Duration, failures: u32) -> Duration {
    first.saturating_mul(2_u32.pow(failures.min(MAX_DOUBLINGS))).min(longest)
}

/// The retry budgets of all rows at one node.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    tokens: HashMap<String, f64>,
}

impl RetryBudgets {
    /// A request of the row came in and pays its share.
    pub fn deposit(&mut self, row: &str, policy: &RetryPolicy) {
        let share = f64::from(policy.budget_percent) / 100.0;
        match self.tokens.get_mut(row) {
            Some(tokens) => *tokens = (*tokens + share).min(TOKEN_LIMIT),
            None => {
                self.tokens.insert(row.to_owned(), INITIAL_TOKENS + share);
            }
        }
    }

    /// Whether attempt number `attempt` (the first is 1) may be made; takes
    /// it from the budget if so.
    pub fn withdraw(&mut self, row: &str, policy: &RetryPolicy, attempt: u32) -> bool {
        if attempt > policy.attempts || policy.budget_percent == 0 {
            return false;
        }
        let tokens = self.tokens.entry(row.to_owned()).or_insert(INITIAL_TOKENS);
        if *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }
}
