//! Log output: one JSON object per line, dropped lines, and metrics.

use latchwheel_events::{
    emit, metrics_text, set_known_record_ages, set_machine_room, set_server_loads, set_server_time_factors, start,
    Event,
};
use std::io::Read;
use std::os::fd::FromRawFd;
use std::time::Duration;

/// Redirects standard output of this process to a pipe that the test reads, until dropped.
struct Redirected {
    reader: std::fs::File,
    former: i32,
}

impl Redirected {
    fn start() -> Self {
        let mut ends = [0; 2];
        // SAFETY: the array has room for both ends; the write end replaces
        // standard output of this test's own process.
        unsafe {
            let former = libc::dup(libc::STDOUT_FILENO);
            assert_eq!(libc::pipe(ends.as_mut_ptr()), 0);
            assert!(libc::dup2(ends[1], libc::STDOUT_FILENO) >= 0);
            Self { reader: std::fs::File::from_raw_fd(ends[0]), former }
        }
    }
}

impl Drop for Redirected {
    fn drop(&mut self) {
        // SAFETY: the descriptor is this value's own copy of the former output.
        unsafe { libc::dup2(self.former, libc::STDOUT_FILENO) };
    }
}

#[test]
fn lines_are_json_and_a_stalled_reader_never_blocks_the_writer() {
    let mut output = Redirected::start();
    start("node \"a\"", "front").unwrap();
    emit("id", &Event::DependencyLost { dependency: "store", reason: "quote \" and {brace}" });
    let mut bytes = vec![0; 1 << 16];
    let length = output.reader.read(&mut bytes).unwrap();
    let line: serde_json::Value = serde_json::from_slice(&bytes[..length]).unwrap();
    assert_eq!(line["node"], "node \"a\"");
    assert_eq!((&line["event"], &line["name"]), (&"E8010".into(), &"DependencyLost".into()));
    assert_eq!(line["reason"], "quote \" and {brace}");

    // Without a reader the pipe fills up, lines are dropped, and all calls return.
    let reason = "x".repeat(4000);
    for _ in 0..300 {
        emit("id", &Event::DependencyLost { dependency: "store", reason: &reason });
    }
    let answered = Event::RequestAnswered {
        id: "id",
        route: "route",
        status: 200,
        total_ms: 20,
        first_piece_ms: 10,
        attempts: 1,
        framing: "chunks",
    };
    emit("id", &answered);
    for number in 0..300 {
        let route = format!("route-{number}");
        emit(
            "",
            &Event::RequestRefused {
                id: "id",
                route: &route,
                code: 3002,
                status: 429,
                after_ms: 1,
                come_back_ms: 100,
                table_version: 1,
            },
        );
    }
    set_server_loads([("server", 2.5)].into_iter());
    set_server_time_factors([("server", 1.5)].into_iter());
    set_known_record_ages([("table/", "store", None)].into_iter());
    set_known_record_ages([("table/", "snapshot", Some(Duration::from_millis(2500)))].into_iter());
    set_machine_room([("processor", 40)]);
    let text = metrics_text();
    assert!(text.contains("latchwheel_events_total{name=\"DependencyLost\"} 301"), "{text}");
    assert!(text.contains("latchwheel_answers_total{route=\"route\",status=\"200\"} 1"));
    assert!(text.contains("latchwheel_dependency_up{name=\"store\"} 0"));
    assert!(text.contains("latchwheel_server_load{name=\"server\"} 2.5"));
    assert!(text.contains("latchwheel_server_time_factor{name=\"server\"} 1.5"));
    assert!(text.contains("latchwheel_known_records_age_seconds{name=\"table/\",origin=\"snapshot\"} 2.5"), "{text}");
    assert!(!text.contains("origin=\"store\""), "only the current origin has a series");
    assert!(text.contains("latchwheel_machine_room{name=\"processor\"} 40"));
    let refused = text.lines().filter(|line| line.starts_with("latchwheel_refusals_total")).count();
    assert!(refused <= 101, "the number of series is bounded: {refused}");
    assert!(text.contains("latchwheel_refusals_total{route=\"other\",code=\"3002\"}"));
}
