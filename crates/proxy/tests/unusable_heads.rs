//! Answers whose head can't be used, and sound ones that look odd, byte by byte at the client.

#[path = "support/raw.rs"]
mod raw;
mod support;

use futures::StreamExt;
use latchwheel_core::routes::RequestKind;
use raw::{strict_answer, RawAct, RawNode, RawServer, StrictAnswer};
use support::{event_text, HOST};

const STREAM: RequestKind = RequestKind::Stream { resumable: false };
const RESUMABLE: RequestKind = RequestKind::Stream { resumable: true };
const KINDS: [RequestKind; 4] = [RequestKind::AtMostOnce, RequestKind::Idempotent, STREAM, RESUMABLE];
/// Answer of a server that is sound.
const SOUND: &str = "id: 1\ndata: sound\n\n";
/// Text that no client may get.
const SPOILT: &str = "spoilt";

/// Cases that are played at the same time.
const PLAYS_AT_ONCE: usize = 16;

/// What a server does with its connection after an answer.
#[derive(Clone, Copy, Debug)]
enum Afterwards {
    Closes,
    StaysOpen,
}

const AFTERWARDS: [Afterwards; 2] = [Afterwards::Closes, Afterwards::StaysOpen];

impl Afterwards {
    fn act(self, bytes: &str) -> RawAct {
        match self {
            Afterwards::Closes => RawAct::WriteAndClose(bytes.into()),
            Afterwards::StaysOpen => RawAct::Write(bytes.into()),
        }
    }
}

fn body() -> String {
    format!("id: 1\ndata: {SPOILT}\n\n")
}

fn in_chunks(body: &str) -> String {
    format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
}

/// An answer with this status line and these lines.
fn answer(status: &str, lines: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nt-id: ID\r\n{lines}\r\n{body}")
}

fn with_length(status: &str) -> String {
    answer(status, &format!("content-length: {}\r\n", body().len()), &body())
}

fn with_lines(lines: &str) -> String {
    answer("200 OK", lines, &body())
}

fn with_coding(lines: &str) -> String {
    answer("200 OK", lines, &in_chunks(&body()))
}

/// Answers whose head can't be used, each with a name.
fn unusable() -> Vec<(String, String)> {
    let length = body().len();
    let statuses = ["000 OK", "099 OK", "101 Switching Protocols", "600 OK", "999 OK", "20 OK", "2000 OK", "abc OK"];
    let interim = ["100 Continue", "102 Processing", "150 OK", "199 OK"];
    let codings = [
        "chunke",
        "chunkedd",
        "chunked,",
        ",chunked",
        "",
        ",",
        "\"chunked\"",
        "gzip",
        "identity",
        "gzip, chunked",
        "chunked, gzip",
        "chunked, chunked",
        "chunked;x=1",
        "chunked chunked",
        "chunk\u{e9}d",
    ];
    let lengths = [
        "abc".to_owned(),
        String::new(),
        "-1".to_owned(),
        format!("+{length}"),
        format!("{length}.0"),
        format!("0x{length:x}"),
        format!("{length} {length}"),
        format!("{length},"),
        format!("{length}, 3"),
        format!("{length}\r\ncontent-length: 3"),
        format!("3\r\ncontent-length: {length}"),
        format!("{length}\r\ncontent-length: x"),
        "99999999999999999999999".to_owned(),
    ];
    let lines = [
        "no field",
        "nofield",
        ": no name",
        "bla nk: a",
        "blank : a",
        " blank: a",
        "\tblank: a",
        "cont\u{1}rol: a",
        "cont\u{7f}rol: a",
        "cont\0rol: a",
        "cont\rrol: a",
        "cont\nrol: a",
        "na(me: a",
        "n\u{e4}me: a",
        "value: a\0",
        "value: a\rb",
        "folded: a\r\n b",
    ];
    let mut answers = Vec::new();
    answers.extend(statuses.iter().chain(&interim).map(|status| (format!("status {status}"), with_length(status))));
    for status in interim {
        let without_body = answer(status, "content-length: 0\r\n", "");
        answers.push((format!("status {status} without a body"), without_body));
        answers.push((format!("status {status} in chunks"), answer(status, CHUNKED, &in_chunks(&body()))));
    }
    for coding in codings {
        answers.push((format!("coding {coding:?}"), with_coding(&format!("transfer-encoding: {coding}\r\n"))));
    }
    let twice = "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n";
    answers.push(("coding in two lines".into(), with_coding(twice)));
    let with_gzip = "transfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n";
    answers.push(("another coding in two lines".into(), with_coding(with_gzip)));
    for value in &lengths {
        answers.push((format!("length {value:?}"), with_lines(&format!("content-length: {value}\r\n"))));
    }
    for value in ["3".to_owned(), length.to_string(), "x".to_owned(), in_chunks(&body()).len().to_string()] {
        let lines = format!("content-length: {value}\r\ntransfer-encoding: chunked\r\n");
        answers.push((format!("length {value:?} beside chunks"), with_coding(&lines)));
        let lines = format!("transfer-encoding: chunked\r\ncontent-length: {value}\r\n");
        answers.push((format!("length {value:?} after chunks"), with_coding(&lines)));
    }
    for line in lines {
        answers.push((format!("line {line:?}"), with_lines(&format!("{line}\r\ncontent-length: {length}\r\n"))));
        answers.push((
            format!("line {line:?} at the end"),
            with_lines(&format!("content-length: {length}\r\n{line}\r\n")),
        ));
        answers.push((format!("line {line:?} without a length"), with_lines(&format!("{line}\r\n"))));
    }
    for (name, version) in [("later version", "HTTP/1.2"), ("no protocol", "HTPP/1.1"), ("HTTP/2", "HTTP/2.0")] {
        answers.push((name.into(), with_length("200 OK").replace("HTTP/1.1", version)));
    }
    for lines in ["content-length: 5\r\n", "content-length: x\r\n", CHUNKED] {
        answers.push((format!("204 with {lines:?}"), answer("204 No Content", lines, "")));
    }
    answers.push(("304 with a length of letters".into(), answer("304 Not Modified", "content-length: x\r\n", "")));
    answers.push(("coding in the older version".into(), with_coding(CHUNKED).replace("HTTP/1.1", "HTTP/1.0")));
    answers
}

const CHUNKED: &str = "transfer-encoding: chunked\r\n";

/// Answers with a sound head whose first chunk can't be read.
fn unreadable_first_chunks() -> Vec<(String, String)> {
    let chunks = ["zz\r\n", "-1\r\n", "\r\n", " \r\nab", "ffffffffffffffffff\r\n", "0x5\r\n"];
    chunks
        .iter()
        .map(|chunk| (format!("chunk {chunk:?}"), answer("200 OK", CHUNKED, &format!("{chunk}{}", body()))))
        .collect()
}

fn request(method: &str) -> Vec<u8> {
    // The deadline is far beyond what a test waits for an answer.
    format!("{method} /path/a HTTP/1.1\r\nhost: {HOST}\r\nt-id: 1\r\nt-deadline: 3600000\r\nconnection: close\r\ncontent-length: 0\r\n\r\n")
        .into_bytes()
}

/// What a client gets of a node whose servers answer in turn with `acts`.
async fn ask(method: &str, kind: RequestKind, acts: Vec<RawAct>) -> StrictAnswer {
    let servers = RawServer::start_for_each(acts).await;
    let node = RawNode::start(kind, servers.len() as u32, &servers.iter().collect::<Vec<_>>()).await;
    strict_answer(method, &node.write_and_read(&request(method)).await)
}

fn assert_unknown(answer: &StrictAnswer, case: &str) {
    assert_eq!(answer.status, 502, "{case}: {answer:?}");
    let text = String::from_utf8_lossy(&answer.body);
    assert!(text.contains("\"code\":4000") && !text.contains(SPOILT), "{case}: {answer:?}");
    assert_eq!(answer.values("x-latchwheel-code"), ["4000"], "{case}");
}

/// Plays all cases on a route of each kind.
async fn play(cases: Vec<(String, String)>) {
    let mut plays = Vec::new();
    for (name, bytes) in &cases {
        for kind in KINDS {
            for afterwards in AFTERWARDS {
                plays.push((format!("{name}, {kind:?}, server {afterwards:?}"), kind, afterwards, bytes.clone()));
            }
        }
    }
    let count = plays.len();
    let played = futures::stream::iter(plays).map(|(case, kind, afterwards, bytes)| {
        tokio::spawn(async move { play_one(&case, kind, afterwards, &bytes).await })
    });
    let played: Vec<_> = played.buffer_unordered(PLAYS_AT_ONCE).collect().await;
    let faults = played.into_iter().filter_map(|played| played.err()).map(|fault| fault.into_panic());
    let faults: Vec<String> =
        faults.map(|fault| fault.downcast_ref::<String>().cloned().unwrap_or_else(|| "panic".into())).collect();
    assert!(faults.is_empty(), "{} of {count} cases failed:\n{}", faults.len(), faults.join("\n"));
}

async fn play_one(case: &str, kind: RequestKind, afterwards: Afterwards, bytes: &str) {
    assert_unknown(&ask("POST", kind, vec![afterwards.act(bytes)]).await, case);
    let sound = RawAct::Write(raw::whole(200, "", SOUND));
    let answer = ask("POST", kind, vec![afterwards.act(bytes), sound]).await;
    if kind.is_repeatable() {
        assert_eq!((answer.status, &answer.body[..]), (200, SOUND.as_bytes()), "{case}, beside a sound server");
    } else {
        assert_unknown(&answer, case);
    }
}

#[tokio::test]
async fn an_answer_whose_head_cannot_be_used_reaches_no_client() {
    play(unusable()).await;
}

#[tokio::test]
async fn an_answer_whose_first_chunk_cannot_be_read_is_answered_with_a_status() {
    play(unreadable_first_chunks()).await;
}

/// Guards against a closed connection in place of an answer.
#[tokio::test]
async fn a_stream_that_ends_before_its_first_piece_is_answered_with_a_status() {
    let event_stream = "content-type: text/event-stream\r\n";
    let cuts = [
        ("an open end", answer("200 OK", event_stream, "")),
        ("chunks without one", answer("200 OK", CHUNKED, "")),
        ("a cut size", answer("200 OK", CHUNKED, "1")),
        ("a length", answer("200 OK", "content-length: 5\r\n", "")),
    ];
    for (case, bytes) in cuts {
        for kind in [STREAM, RESUMABLE] {
            let case = format!("{case}, {kind:?}");
            play_one(&case, kind, Afterwards::Closes, &bytes).await;
        }
    }
}

/// Guards against a stream that is delivered as complete after a chunk that can't be read.
#[tokio::test]
async fn a_stream_whose_later_chunk_cannot_be_read_is_broken_off() {
    let bytes = answer("200 OK", CHUNKED, &format!("{:x}\r\n{SOUND}\r\nzz\r\n", SOUND.len()));
    for kind in [STREAM, RESUMABLE] {
        for afterwards in AFTERWARDS {
            let server = RawServer::start("server", vec![afterwards.act(&bytes)]).await;
            let node = RawNode::start(kind, 1, &[&server]).await;
            let answer = node.write_and_read(&request("POST")).await;
            let text = String::from_utf8_lossy(&answer);
            assert!(text.starts_with("HTTP/1.1 200 OK") && text.contains("sound"), "{kind:?} {text:?}");
            assert!(!text.contains("\r\n0\r\n"), "{kind:?} {text:?}");
        }
    }
}

#[tokio::test]
async fn an_answer_whose_head_is_cut_reaches_no_client() {
    for sound in [with_length("200 OK"), with_coding(CHUNKED), with_lines("")] {
        let head_end = sound.find("\r\n\r\n").unwrap() + 4;
        for end in 0..head_end {
            for kind in KINDS {
                let case = format!("head cut after {:?}, {kind:?}", &sound[..end]);
                let answer = ask("POST", kind, vec![RawAct::WriteAndClose(sound[..end].into())]).await;
                assert_unknown(&answer, &case);
            }
        }
    }
}

/// Neither the connection nor, while there is another one, the server is used again.
#[tokio::test]
async fn a_server_that_sent_an_unusable_head_counts_as_broken() {
    for (case, bytes) in unusable() {
        let spoilt = RawServer::start("spoilt", vec![RawAct::Write(bytes)]).await;
        let node = RawNode::start(RequestKind::AtMostOnce, 1, &[&spoilt]).await;
        assert_unknown(&strict_answer("POST", &node.write_and_read(&request("POST")).await), &case);
        let sound = RawServer::start("sound", Vec::new()).await;
        node.shared.dispatcher().set_one_ready(&sound.record());
        let answer = strict_answer("POST", &node.write_and_read(&request("POST")).await);
        assert_eq!((answer.status, sound.requests().len()), (200, 1), "{case}");
        node.shared.dispatcher().set_draining(&sound.name);
        let answer = strict_answer("POST", &node.write_and_read(&request("POST")).await);
        assert_eq!((answer.status, spoilt.received().len()), (200, 2), "{case}: not on the connection of the head");
    }
}

#[tokio::test]
async fn sound_answers_that_look_odd_are_passed_on() {
    let text = body();
    let length = text.len();
    let answers = [
        ("no framing", with_lines("")),
        ("chunks in other case", with_coding("Transfer-Encoding: Chunked\r\n")),
        ("chunks in capitals", with_coding("TRANSFER-ENCODING: CHUNKED\r\n")),
        ("blanks around the coding", with_coding("transfer-encoding: \t chunked \r\n")),
        ("the same length twice", with_lines(&format!("content-length: {length}\r\nContent-Length: {length}\r\n"))),
        ("the same length in a list", with_lines(&format!("content-length: {length}, {length}\r\n"))),
        ("a length with zeros", with_lines(&format!("content-length: 00{length}\r\n"))),
        ("a reason of its own", with_length("200 All is well")),
        ("no reason", with_length("200")),
        ("the older version", with_length("200 OK").replace("HTTP/1.1", "HTTP/1.0")),
        ("the older version without a length", with_lines("").replace("HTTP/1.1", "HTTP/1.0")),
        ("line feeds only", with_length("200 OK").replace("\r\n", "\n")),
        ("an empty value", with_lines(&format!("empty:\r\ncontent-length: {length}\r\n"))),
        (
            "interim answers",
            format!(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n{}",
                with_length("200 OK")
            ),
        ),
    ];
    for (case, bytes) in answers {
        for kind in KINDS {
            let answer = ask("POST", kind, vec![RawAct::WriteAndClose(bytes.clone())]).await;
            assert_eq!((answer.status, &answer.body[..]), (200, text.as_bytes()), "{case}, {kind:?}");
        }
    }
}

#[tokio::test]
async fn sound_statuses_are_passed_on() {
    for status in [201_u16, 205, 299, 302, 400, 404, 418, 499, 500, 504, 599] {
        let bytes = answer(&format!("{status} Status"), "content-length: 0\r\n", "");
        for kind in KINDS {
            let answer = ask("POST", kind, vec![RawAct::Write(bytes.clone())]).await;
            assert_eq!((answer.status, answer.body.len()), (status, 0), "{kind:?}");
        }
    }
}

#[tokio::test]
async fn sound_answers_without_a_body_are_passed_on() {
    let answers = [
        ("POST", 204, ""),
        ("POST", 204, "content-length: 0\r\n"),
        ("POST", 304, ""),
        ("POST", 304, "content-length: 5\r\n"),
        ("POST", 304, CHUNKED),
        ("HEAD", 200, ""),
        ("HEAD", 200, "content-length: 5\r\n"),
        ("HEAD", 200, CHUNKED),
        ("HEAD", 404, "content-length: 5\r\n"),
    ];
    for (method, status, lines) in answers {
        let bytes = answer(&format!("{status} Status"), lines, "");
        for kind in KINDS {
            for afterwards in AFTERWARDS {
                let answer = ask(method, kind, vec![afterwards.act(&bytes)]).await;
                let case = format!("{method} {status} {lines:?} {kind:?} {afterwards:?}");
                assert_eq!((answer.status, answer.body.len()), (status, 0), "{case}");
            }
        }
    }
}

#[tokio::test]
async fn the_event_that_a_stream_begins_with_is_passed_on_once() {
    let whole = event_text(1) + &event_text(2);
    for kind in [STREAM, RESUMABLE] {
        let bytes = answer("200 OK", CHUNKED, &in_chunks(&whole));
        let answer = ask("POST", kind, vec![RawAct::Write(bytes)]).await;
        assert_eq!((answer.status, &answer.body[..]), (200, whole.as_bytes()), "{kind:?}");
    }
}
