//! Order in which requests get slots under overload.
//!
//! A request that finds no free slot adds a [`Claim`] to a [`ClaimQueue`]. Claims get slots
//! in this order:
//!
//! 1. by precedence; a lower one is passed over at most [`PASSED_OVER_LIMIT`] times in a row;
//! 2. claims that can still be in time before late ones;
//! 3. among tenants by max-min fair shares of the work (start-time fair queueing);
//! 4. within a tenant, earliest deadline first.
//!
//! Shares count only while claims wait: a tenant saves up no credit and isn't charged for
//! spare slots. A claim that isn't expected to get a slot in time is refused at once with a
//! retry time. State is bounded by [`CLAIM_LIMIT`] and [`TENANT_LIMIT`].

mod claim;
mod drain;
mod precedence_claims;
mod queue;

pub use claim::{work_of, Claim, ClaimId};
pub use precedence_claims::TENANT_LIMIT;
pub use queue::{Admission, ClaimQueue, Granted, QueuePosition, Refused, CLAIM_LIMIT, PASSED_OVER_LIMIT};
