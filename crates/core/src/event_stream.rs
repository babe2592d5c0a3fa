//! Framing of event streams, so that another server can continue an answer.
//!
//! The framer returns complete events only. If a server fails in the middle of an
//! event, the partial event is dropped and the next server continues after the
//! identifier of the last complete event.

use bytes::{Bytes, BytesMut};

/// Maximum number of buffered bytes.
const EVENT_LIMIT: usize = 1 << 20;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FramedEvent {
    /// Bytes of the event, including the empty line at its end.
    pub bytes: Bytes,
    /// Number from the `id` field, if any.
    pub id: Option<u64>,
}

/// An event exceeds the size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

/// Splits a byte stream into complete events.
#[derive(Debug, Default)]
pub struct EventFramer {
    pending: BytesMut,
    searched_bytes: usize,
}

impl EventFramer {
    /// Adds bytes and returns the events that are complete now.
    ///
    /// # Errors
    /// [`EventTooLong`] if a partial event exceeds the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<FramedEvent>, EventTooLong> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.find_end() {
            let bytes = self.pending.split_to(end).freeze();
            self.searched_bytes = 0;
            let id = field(&bytes, b"id").and_then(|value| std::str::from_utf8(value).ok()?.parse().ok());
            events.push(FramedEvent { bytes, id });
        }
        if self.pending.len() > EVENT_LIMIT {
            return Err(EventTooLong);
        }
        Ok(events)
    }

    /// Bytes after the last complete event: a partial event, or lines that belong to none.
    pub fn remainder(&self) -> &[u8] {
        &self.pending
    }

    /// Drops the buffered partial event.
    pub fn reset(&mut self) {
        self.pending = BytesMut::new();
        self.searched_bytes = 0;
    }

    /// Finds the end of the first complete event, after the line feed of its empty line.
    fn find_end(&mut self) -> Option<usize> {
        let start = self.searched_bytes.saturating_sub(3);
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
        self.searched_bytes = self.pending.len();
        None
    }
}

/// What has arrived of the current line of an event stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

/// Position in an event stream relative to its events, without buffering any bytes. Lines
/// end with a line feed, a carriage return, or both; comment lines belong to no event.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventBoundary {
    line: Line,
    /// Whether a field line of an unterminated event has arrived.
    has_field: bool,
    /// Whether the last byte was a carriage return, so that a line feed ends the same line.
    after_carriage_return: bool,
}

impl EventBoundary {
    /// Advances over the bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            let ends_same_line = std::mem::replace(&mut self.after_carriage_return, *byte == b'\r');
            match byte {
                b'\n' if ends_same_line => {}
                b'\n' | b'\r' => self.end_line(),
                b':' if self.line == Line::Empty => self.line = Line::Comment,
                _ if self.line == Line::Empty => self.line = Line::Field,
                _ => {}
            }
        }
    }

    /// Whether an event, or a line, has begun and is not terminated.
    pub fn is_inside_event(&self) -> bool {
        self.has_field || self.line != Line::Empty
    }

    fn end_line(&mut self) {
        match std::mem::take(&mut self.line) {
            Line::Empty => self.has_field = false,
            Line::Field => self.has_field = true,
            Line::Comment => {}
        }
    }
}

/// Value of the last field with this name in an event.
fn field<'a>(event: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    lines(event).filter_map(|line| field_value(line, name)).next_back()
}

/// Data of an event: the values of its `data` lines, joined by line feeds.
pub fn event_data(event: &[u8]) -> Vec<u8> {
    let parts: Vec<&[u8]> = lines(event).filter_map(|line| field_value(line, b"data")).collect();
    parts.join(&b'\n')
}

fn lines(event: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    event.split(|byte| *byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
