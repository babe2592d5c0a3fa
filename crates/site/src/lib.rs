//! Clients of the platform's key-value service, machine list and weight store.

mod key_value;
mod machine;
mod weights;

pub use key_value::{KeyValueClient, KeyValueFault, VersionedValue, WriteOutcome};
pub use machine::{Machine, MachineKind, MachineListClient, MachineState, RegionMachines};
pub use weights::WeightClient;
