//! Answers whose head can't be used, and sound ones that look odd, byte by byte at the client.

#[path = "support/heads.rs"]
mod heads;
#[path = "support/raw.rs"]
mod raw;
mod support;

use futures::StreamExt;
use heads::{in_chunks, Heads, CHUNKED};
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

fn heads() -> Heads {
    Heads { lines: "t-id: ID\r\n", body: format!("id: 1\ndata: {SPOILT}\n\n") }
}

/// Answers with a sound head whose first chunk can't be read.
fn unreadable_first_chunks() -> Vec<(String, String)> {
    let heads = heads();
    let chunks = ["zz\r\n", "-1\r\n", "\r\n", " \r\nab", "ffffffffffffffffff\r\n", "0x5\r\n"];
    let answer = |chunk: &str| heads.answer("200 OK", CHUNKED, &format!("{chunk}{}", heads.body));
    chunks.iter().map(|chunk| (format!("chunk {chunk:?}"), answer(chunk))).collect()
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
    play(heads().unusable()).await;
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
        ("an open end", heads().answer("200 OK", event_stream, "")),
        ("chunks without one", heads().answer("200 OK", CHUNKED, "")),
        ("a cut size", heads().answer("200 OK", CHUNKED, "1")),
        ("a length", heads().answer("200 OK", "content-length: 5\r\n", "")),
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
    let bytes = heads().answer("200 OK", CHUNKED, &format!("{:x}\r\n{SOUND}\r\nzz\r\n", SOUND.len()));
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
    let heads = heads();
    for sound in [heads.with_length("200 OK"), heads.with_coding(CHUNKED), heads.with_lines("")] {
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
    for (case, bytes) in heads().unusable() {
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
    let heads = heads();
    let (text, length) = (heads.body.clone(), heads.body.len());
    let answers = [
        ("no framing", heads.with_lines("")),
        ("chunks in other case", heads.with_coding("Transfer-Encoding: Chunked\r\n")),
        ("chunks in capitals", heads.with_coding("TRANSFER-ENCODING: CHUNKED\r\n")),
        ("blanks around the coding", heads.with_coding("transfer-encoding: \t chunked \r\n")),
        (
            "the same length twice",
            heads.with_lines(&format!("content-length: {length}\r\nContent-Length: {length}\r\n")),
        ),
        ("the same length in a list", heads.with_lines(&format!("content-length: {length}, {length}\r\n"))),
        ("a length with zeros", heads.with_lines(&format!("content-length: 00{length}\r\n"))),
        ("a reason of its own", heads.with_length("200 All is well")),
        ("no reason", heads.with_length("200")),
        ("the older version", heads.with_length("200 OK").replace("HTTP/1.1", "HTTP/1.0")),
        ("the older version without a length", heads.with_lines("").replace("HTTP/1.1", "HTTP/1.0")),
        ("line feeds only", heads.with_length("200 OK").replace("\r\n", "\n")),
        ("an empty value", heads.with_lines(&format!("empty:\r\ncontent-length: {length}\r\n"))),
        (
            "interim answers",
            format!(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n{}",
                heads.with_length("200 OK")
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
        let bytes = heads().answer(&format!("{status} Status"), "content-length: 0\r\n", "");
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
        let bytes = heads().answer(&format!("{status} Status"), lines, "");
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
        let bytes = heads().answer("200 OK", CHUNKED, &in_chunks(&whole));
        let answer = ask("POST", kind, vec![RawAct::Write(bytes)]).await;
        assert_eq!((answer.status, &answer.body[..]), (200, whole.as_bytes()), "{kind:?}");
    }
}
