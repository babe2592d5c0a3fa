//! Framing of event streams, so that an answer can go on at another server.
//!
//! Only whole events leave the framer: when a server breaks off partway
//! through one, the part is dropped and the next server sends it again after
//! the last whole event's identifier.

use bytes::{Bytes, BytesMut};

/// Most bytes of one event that are held back.
const EVENT_LIMIT: usize = 1 << 20;

/// A whole event, with its identifier if it has one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FramedEvent {
    /// Its bytes, the empty line at its end included.
    pub bytes: Bytes,
    /// Its number, from the `id` field.
    pub id: Option<u64>,
}

/// An event is longer than any that is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

/// Cuts a byte stream into whole events.
#[derive(Debug, Default)]
pub struct EventFramer {
    pending: BytesMut,
    searched: usize,
}

impl EventFramer {
    /// Takes bytes and gives back the events that are whole now.
    ///
    /// # Errors
    /// [`EventTooLong`] if an event does not end in time.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<FramedEvent>, EventTooLong> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.find_end() {
            let bytes = self.pending.split_to(end).freeze();
            self.searched = 0;
            let id = field(&bytes, b"id").and_then(|value| std::str::from_utf8(value).ok()?.parse().ok());
            events.push(FramedEvent { bytes, id });
        }
        if self.pending.len() > EVENT_LIMIT {
            return Err(EventTooLong);
        }
        Ok(events)
    }

    /// Whether part of an event is held back.
    pub fn holds_part(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Drops the part of an event that is held back.
    pub fn reset(&mut self) {
        self.pending.clear();
        self.searched = 0;
    }

    /// End of the first whole event: behind the line feed of an empty line.
    fn find_end(&mut self) -> Option<usize> {
        let start = self.searched.saturating_sub(3);
        let bytes = &self.pending[start..];
        for (position, byte) in bytes.iter().enumerate() {
            if *byte != b'\n' {
                continue;
            }
            let rest = &bytes[position + 1..];
            if rest.first() == Some(&b'\n') {
                return Some(start + position + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(start + position + 3);
            }
        }
        self.searched = self.pending.len();
        None
    }
}

/// Value of the last field of that name in an event.
fn field<'a>(event: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    lines(event).filter_map(|line| value_of(line, name)).next_back()
}

/// The data of an event: its `data` lines, joined by line feeds.
pub fn event_data(event: &[u8]) -> Vec<u8> {
    let parts: Vec<&[u8]> = lines(event).filter_map(|line| value_of(line, b"data")).collect();
    parts.join(&b'\n')
}

fn lines(event: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    event.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

fn value_of<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
