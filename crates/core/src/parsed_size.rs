//! Estimate of the memory that a JSON text takes once it is parsed.

/// Memory of a parsed value beside its own bytes: its entry, its share of a map's node, and the
/// least block of the allocator.
const VALUE_BYTES: usize = 128;

/// Upper estimate of the bytes that the values of a JSON text take, without reading it.
pub fn parsed_bytes(text: &[u8]) -> usize {
    let separators = text.iter().filter(|byte| matches!(byte, b',' | b':' | b'{' | b'[')).count();
    text.len() + separators * VALUE_BYTES
}
