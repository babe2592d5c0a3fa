//! Framing of event streams.

use latchwheel_core::event_stream::{event_data, EventFramer, EventTooLong};
use proptest::prelude::*;

#[test]
fn only_complete_events_are_returned() {
    let mut framer = EventFramer::default();
    assert!(framer.push(b"id: 1\ndata: a").unwrap().is_empty());
    assert!(framer.has_partial_event());
    let events = framer.push(b"\n\nid: 2\n").unwrap();
    assert_eq!(events.len(), 1);
    assert_eq!((events[0].id, &*events[0].bytes), (Some(1), &b"id: 1\ndata: a\n\n"[..]));
    framer.reset();
    let events = framer.push(b"id: 2\r\ndata: b\r\n\r\n").unwrap();
    assert_eq!(events[0].id, Some(2));
    assert_eq!(event_data(&events[0].bytes), b"b");
    assert!(!framer.has_partial_event());
}

#[test]
fn the_data_lines_of_an_event_are_joined() {
    assert_eq!(event_data(b"id: 3\ndata: a\ndata:b\n\n"), b"a\nb");
    assert_eq!(event_data(b": comment\n\n"), b"");
}

#[test]
fn an_endless_event_is_refused() {
    let mut framer = EventFramer::default();
    let piece = vec![b'x'; 64 << 10];
    let ended = (0..64).find_map(|_| framer.push(&piece).err());
    assert_eq!(ended, Some(EventTooLong));
}

proptest! {
    /// The events do not depend on how the bytes are split.
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        texts in prop::collection::vec("[a-z \r]{0,12}", 1..8),
        cuts in prop::collection::vec(1_usize..9, 1..40),
    ) {
        let whole: Vec<u8> =
            texts.iter().enumerate().flat_map(|(id, text)| format!("id: {id}\ndata: {text}\n\n").into_bytes()).collect();
        let mut framer = EventFramer::default();
        let mut events = Vec::new();
        let mut rest = &whole[..];
        let mut cuts = cuts.iter().cycle();
        while !rest.is_empty() {
            let (piece, after) = rest.split_at((*cuts.next().unwrap()).min(rest.len()));
            events.extend(framer.push(piece).unwrap());
            rest = after;
        }
        let joined: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        prop_assert_eq!(joined, whole);
        prop_assert_eq!(events.len(), texts.len());
        prop_assert!(events.iter().enumerate().all(|(number, event)| event.id == Some(number as u64)));
    }

    /// Bytes that are not events must not cause an error or duplicated output.
    #[test]
    fn arbitrary_bytes_are_accepted(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut framer = EventFramer::default();
        let events = framer.push(&bytes).unwrap();
        let taken: usize = events.iter().map(|event| event.bytes.len()).sum();
        prop_assert!(taken <= bytes.len());
    }
}
