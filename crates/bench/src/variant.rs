//! Variants of a run: latchwheel itself and the baselines beside it.

use serde::{Deserialize, Serialize};

/// A way of running a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Variant {
    /// As it is.
    Latchwheel,
    /// Without batch work: what the online tail should look like.
    NoBatch,
    /// Batch work is never taken back.
    NoYield,
    /// Owners in turn, without regard to cache and room.
    RoundRobin,
}

impl Variant {
    /// All variants, in the order in which they are run.
    pub const ALL: [Variant; 4] = [Variant::NoBatch, Variant::Latchwheel, Variant::NoYield, Variant::RoundRobin];

    /// Name as in reports and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Variant::Latchwheel => "latchwheel",
            Variant::NoBatch => "no-batch",
            Variant::NoYield => "no-yield",
            Variant::RoundRobin => "round-robin",
        }
    }

    /// The variant with this name.
    pub fn of_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|variant| variant.name() == name)
    }

    /// Settings of the nodes that differ.
    pub fn settings(self) -> &'static str {
        match self {
            Variant::Latchwheel | Variant::NoBatch => "",
            Variant::NoYield => "[batch]\npolicy = \"keep\"\n",
            Variant::RoundRobin => "[routing]\npolicy = \"round-robin\"\ncache_aware = false\n",
        }
    }

    /// Whether batch work is submitted.
    pub fn has_batch(self) -> bool {
        self != Variant::NoBatch
    }
}
