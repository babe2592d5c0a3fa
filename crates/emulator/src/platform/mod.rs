//! The platform: key-value service, machine list, weight store.

mod key_value;
mod machines;
mod rate;
mod weights;

pub use key_value::{KeyValue, KeyValueFaults, KeyValueSettings};
pub use machines::MachineList;
pub use weights::{WeightSettings, WeightStore};
