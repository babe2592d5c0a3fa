//! Estimate of the memory that a JSON text takes once it is parsed.

/// Memory of a parsed value beside its own bytes: its entry, its share of a map's node, and the
/// least block of the allocator.
const VALUE_BYTES: usize = 128;

/// Upper estimate of the bytes that the values of a JSON text take. The text is only scanned for
/// what separates its values, so that text without end or of another kind costs no more.
pub fn parsed_bytes(text: &[u8]) -> usize {
    let (mut values, mut in_string, mut escaped) = (0, false, false);
    for byte in text {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b',' | b':' | b'{' | b'[' if !in_string => values += 1,
            _ => {}
        }
    }
    text.len() + values * VALUE_BYTES
}
