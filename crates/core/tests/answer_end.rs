//! Ends of event streams, by how their servers mark them.

use latchwheel_core::answer_end::{Framing, Interruption, StreamProgress};

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Connection];

fn interruption(framing: Framing, body: &str) -> Option<Interruption> {
    let mut progress = StreamProgress::new(framing);
    progress.push(body.as_bytes());
    progress.interruption()
}

#[test]
fn a_stream_that_ends_inside_an_event_is_interrupted() {
    for framing in FRAMINGS {
        assert_eq!(interruption(framing, "data: a\n\ndata: b"), Some(Interruption::WithinEvent));
        assert_eq!(interruption(framing, "data: a\n\ndata: b\n"), Some(Interruption::WithinEvent));
    }
}

#[test]
fn a_stream_that_ends_between_events_is_complete() {
    for framing in FRAMINGS {
        assert_eq!(interruption(framing, "data: a\n\ndata: b\n\n"), None);
        assert_eq!(interruption(framing, "data: a\n\n: ping\n"), None);
    }
}

#[test]
fn an_empty_stream_is_complete_only_if_its_end_is_marked() {
    assert_eq!(interruption(Framing::Length, ""), None);
    assert_eq!(interruption(Framing::Chunks, ""), None);
    assert_eq!(interruption(Framing::Connection, ""), Some(Interruption::BeforeFirstEvent));
}
