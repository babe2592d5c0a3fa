//! Framing of event streams.

use latchwheel_core::event_stream::{event_data, EventBoundary, EventFramer, EventTooLong};
use proptest::prelude::*;

#[test]
fn only_complete_events_are_returned() {
    let mut framer = EventFramer::default();
    assert!(framer.push(b"id: 1\ndata: a").unwrap().is_empty());
    assert_eq!(framer.remainder(), b"id: 1\ndata: a");
    let events = framer.push(b"\n\nid: 2\n").unwrap();
    assert_eq!(events.len(), 1);
    assert_eq!((events[0].id, &*events[0].bytes), (Some(1), &b"id: 1\ndata: a\n\n"[..]));
    framer.reset();
    let events = framer.push(b"id: 2\r\ndata: b\r\n\r\n").unwrap();
    assert_eq!(events[0].id, Some(2));
    assert_eq!(event_data(&events[0].bytes), b"b");
    assert_eq!(framer.remainder(), b"");
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

fn is_inside_event(bytes: &[u8]) -> bool {
    let mut boundary = EventBoundary::default();
    boundary.push(bytes);
    boundary.is_inside_event()
}

#[test]
fn an_event_ends_with_an_empty_line_of_any_line_ending() {
    for whole in ["", "data: a\n\n", "data: a\r\n\r\n", "data: a\r\r", "data: a\n\n\n", "data: a\n\n: ping\n", "\n"] {
        assert!(!is_inside_event(whole.as_bytes()), "{whole:?}");
    }
    for cut in ["d", "data: a", "data: a\n", "data: a\r\n", "data: a\r", "data: a\n\n: pi", "data: a\n: ping\n"] {
        assert!(is_inside_event(cut.as_bytes()), "{cut:?}");
    }
}

proptest! {
    /// The position does not depend on how the bytes are split.
    #[test]
    fn the_position_does_not_depend_on_chunk_boundaries(bytes in "[a:\r\n]{0,40}", cut in 0_usize..40) {
        let (first, rest) = bytes.as_bytes().split_at(cut.min(bytes.len()));
        let mut boundary = EventBoundary::default();
        boundary.push(first);
        boundary.push(rest);
        prop_assert_eq!(boundary.is_inside_event(), is_inside_event(bytes.as_bytes()));
    }

    /// Bytes up to the end of the framer's last event are outside of any event.
    #[test]
    fn a_framed_event_ends_outside_of_any_event(texts in prop::collection::vec("[a-z ]{0,12}", 1..8)) {
        let whole: Vec<u8> = texts.iter().flat_map(|text| format!("data: {text}\r\n\r\n").into_bytes()).collect();
        let mut framer = EventFramer::default();
        let framed: usize = framer.push(&whole).unwrap().iter().map(|event| event.bytes.len()).sum();
        prop_assert!(!is_inside_event(&whole[..framed]));
    }
}
