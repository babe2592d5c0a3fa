//! Bit set of item positions.

const WORD_BITS: u64 = 64;

/// A set of positions below a bound.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bitmap {
    words: Vec<u64>,
}

impl Bitmap {
    /// An empty set for positions below `bits`.
    pub fn new(bits: u64) -> Self {
        Self { words: vec![0; bits.div_ceil(WORD_BITS) as usize] }
    }

    /// Whether the set contains the position.
    pub fn get(&self, position: u64) -> bool {
        let word = self.words.get((position / WORD_BITS) as usize);
        word.is_some_and(|word| word >> (position % WORD_BITS) & 1 == 1)
    }

    /// Adds a position; ignores one beyond the bound.
    pub fn set(&mut self, position: u64) {
        if let Some(word) = self.words.get_mut((position / WORD_BITS) as usize) {
            *word |= 1 << (position % WORD_BITS);
        }
    }
}
