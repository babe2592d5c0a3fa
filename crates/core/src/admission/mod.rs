//! Who gets a slot where more requests want one than there are.
//!
//! The load: several tenants, a few of them large and one at several times its usual,
//! compete for the slots of shared servers in peaks of about twice the mean that last for
//! seconds. Served in the order in which they happen to ask, a modest tenant's requests
//! are as late as those of the one that floods.
//!
//! A request that finds no free slot leaves a [`Claim`] in a [`ClaimQueue`]. The queue
//! decides the order in which claims get slots:
//!
//! 1. by precedence; a lower one gets every [`PASSED_OVER_LIMIT`]-th slot at least;
//! 2. those that can still be in time before those that can't;
//! 3. among tenants max-min shares of the work (start-time fair queueing): the tenant that
//!    was given least since it waits goes first;
//! 4. of one tenant, the claim with the least time left.
//!
//! A tenant may use what nobody else wants: shares count only while claims wait, so nobody
//! saves up credit and nobody pays for what was free. A claim that won't be reached while
//! its caller stays is refused at once, with the time at which the queue will have room.
//!
//! State is bounded by the number of waiting claims ([`CLAIM_LIMIT`]) and, beside them, by
//! the tenants that were served in the present time of crowding ([`TENANT_LIMIT`]).

mod claim;
mod drain;
mod precedence_claims;
mod queue;

pub use claim::{work_of, Claim, ClaimId};
pub use precedence_claims::TENANT_LIMIT;
pub use queue::{ClaimQueue, Entry, Granted, QueuePosition, Refused, CLAIM_LIMIT, PASSED_OVER_LIMIT};
