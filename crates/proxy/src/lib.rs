//! Forwarding of requests by a routing table, straight to the servers.
//!
//! Each node sends to every server: there is no owner of a server and no
//! second process on a request's way. The choice, what follows a failed
//! attempt, and the framing of event streams are decided in
//! `latchwheel-core`; this crate carries them out. The headers that a site
//! uses are described by its [`Dialect`].

mod accept;
mod ambiguity;
mod answer;
mod answer_head;
mod answer_log;
mod caller;
mod claims;
mod continued;
mod crashes;
mod dialect;
mod exchange;
mod forward;
mod handoff;
mod in_flight;
mod keeper_claims;
mod machine_room;
mod own_claims;
mod peers;
mod permits;
mod place;
mod placements;
mod planned_stop;
mod pool;
mod second_attempt;
mod shared;
mod start;
mod start_pacing;
mod started;
mod stream_origins;
mod streaming;
mod takeover;
mod turn;
mod waiting;
mod whole_answer;

pub use accept::host_of;
pub use answer::{come_back_header, error_answer};
pub use caller::{bearer_key, put_tenant};
pub use crashes::{CrashWatch, VerdictSource};
pub use dialect::{Dialect, HeaderNames};
pub use exchange::{AttemptEnd, Exchange, Outgoing};
pub use forward::forward;
pub use in_flight::InFlight;
pub use keeper_claims::KeeperClaims;
pub use latchwheel_clock::Clock;
pub use machine_room::MachineRoom;
pub use peers::{exchange_shares, Peer, PeerDuties, Peers};
pub use permits::Permits;
pub use placements::{PlaceAsk, Placements};
pub use planned_stop::TooLate;
pub use pool::ConnectionUse;
pub use shared::Shared;
pub use stream_origins::StreamOrigins;
pub use waiting::sleep_or_never;
