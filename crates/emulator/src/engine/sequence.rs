//! One request inside the engine.

use latchwheel_core::identity::stable_hash;
use std::sync::Arc;
use tokio::sync::mpsc;

/// What the engine tells the connection of a sequence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// The token at this position.
    Token(u32),
    /// The whole answer is done, with so many tokens.
    Done(u32),
    /// The engine broke the answer off.
    Cut,
}

/// What happens to a sequence whose connection goes away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OnDisconnect {
    Cancel,
    Pause,
}

#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) id: Arc<str>,
    /// Lower is more urgent, as engines have it.
    pub(super) priority: i32,
    pub(super) arrival: u64,
    pub(super) prompt_tokens: u32,
    pub(super) prefilled: u32,
    pub(super) generated: u32,
    pub(super) wanted: u32,
    pub(super) blocks: Vec<u64>,
    pub(super) streamed: bool,
    pub(super) on_disconnect: OnDisconnect,
    /// Connection that the answer goes to; an earlier one that goes away
    /// later doesn't count.
    pub(super) connection: u64,
    pub(super) sink: mpsc::UnboundedSender<Progress>,
}

impl Sequence {
    pub(super) fn token_need(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.wanted)
    }

    pub(super) fn is_prefilled(&self) -> bool {
        self.prefilled >= self.prompt_tokens
    }

    /// Order of service: priority, then arrival.
    pub(super) fn order(&self) -> (i32, u64) {
        (self.priority, self.arrival)
    }
}

/// The word at a position of an answer: it names the prompt that it answers,
/// so that a mixed-up answer is seen.
pub(super) fn word(fingerprint: u32, position: u32) -> String {
    format!("{fingerprint:08x}-{position} ")
}

/// What the words of an answer to this prompt begin with.
pub(super) fn fingerprint(prompt: &str) -> u32 {
    stable_hash(prompt.as_bytes()) as u32
}
