//! Retry budgets, which limit retries to a share of the requests so that a failing backend
//! is not overloaded, and exponential backoff.

use crate::table::RetryPolicy;
use std::collections::HashMap;
use std::time::Duration;

/// Initial retry tokens of a row.
const INITIAL_TOKENS: f64 = 10.0;
/// Maximum number of saved retry tokens.
const TOKEN_LIMIT: f64 = 100.0;

/// Limit of the exponent, which prevents overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Backoff after `failures` earlier consecutive failures: `first`, doubled for each of them,
/// at most `longest`.
pub fn exponential_backoff(first: Duration, longest: Duration, failures: u32) -> Duration {
    first.saturating_mul(2_u32.pow(failures.min(MAX_DOUBLINGS))).min(longest)
}

/// Retry budgets of all rows at one node.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    tokens: HashMap<String, f64>,
}

impl RetryBudgets {
    /// Adds a request's share to the budget of its row.
    pub fn deposit(&mut self, row: &str, policy: &RetryPolicy) {
        let share = f64::from(policy.budget_percent) / 100.0;
        match self.tokens.get_mut(row) {
            Some(tokens) => *tokens = (*tokens + share).min(TOKEN_LIMIT),
            None => {
                self.tokens.insert(row.to_owned(), INITIAL_TOKENS + share);
            }
        }
    }

    /// Whether attempt number `attempt` (the first is 1) may be made; takes a token if so.
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
