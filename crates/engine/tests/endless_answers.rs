//! An engine that sends without end: the client keeps a bounded part of its answer and leaves.

use bytes::Bytes;
use latchwheel_engine::{EngineAnswer, EngineClient, EngineFault, EngineRequest, StreamEvent};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LIMIT: Duration = Duration::from_secs(60);
/// Bytes that an engine sends at most.
const SENT_LIMIT: usize = 64 << 20;
/// Most bytes that may be taken of an event that does not end, with the buffers of the system.
const TAKEN_LIMIT: usize = 32 << 20;
const PIECE: usize = 64 << 10;

/// An engine that writes a body without end to each request.
struct EndlessEngine {
    address: String,
    sent: Arc<AtomicUsize>,
}

impl EndlessEngine {
    async fn start(once: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let sent = Arc::new(AtomicUsize::new(0));
        let counted = sent.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(write_without_end(stream, once, counted.clone()));
            }
        });
        Self { address, sent }
    }
}

async fn write_without_end(mut stream: TcpStream, once: &'static str, sent: Arc<AtomicUsize>) {
    let mut request = Vec::new();
    while !request.ends_with(b"{}") {
        if stream.read_buf(&mut request).await.unwrap_or(0) == 0 {
            return;
        }
    }
    let head = format!("HTTP/1.1 200 OK\r\n\r\n{once}");
    let mut fine = stream.write_all(head.as_bytes()).await.is_ok();
    let mut of_this = 0;
    while fine && of_this < SENT_LIMIT {
        fine = stream.write_all(&[b'x'; PIECE]).await.is_ok();
        of_this += PIECE;
        sent.fetch_add(PIECE, Ordering::SeqCst);
    }
}

async fn ask(client: &EngineClient, address: &str, streamed: bool) -> Result<EngineAnswer, EngineFault> {
    let request = EngineRequest {
        identity: "id".into(),
        path: "/v1/completions".into(),
        body: Bytes::from_static(b"{}"),
        streamed,
        resume: false,
        timeout: LIMIT,
    };
    client.send(address, request).await
}

#[tokio::test]
async fn a_stream_of_one_event_without_end_is_left() {
    let engine = EndlessEngine::start("data: ").await;
    let answer = ask(&EngineClient::default(), &engine.address, true).await;
    let Ok(EngineAnswer::Stream(mut stream)) = answer else { panic!("{answer:?}") };
    let event = tokio::time::timeout(LIMIT, stream.next()).await.expect("the stream ends");
    assert_eq!(event, StreamEvent::Interrupted);
    drop(stream);
    let sent = engine.sent.load(Ordering::SeqCst);
    eprintln!("{} KiB were taken", sent >> 10);
    assert!(sent <= TAKEN_LIMIT, "{sent} bytes of one event were taken");
}

/// Answers at once that would take far more together than the process may.
const ANSWERS: usize = 16;
/// Most memory of this process, which is a quarter of what the answers may have one by one.
const PEAK_LIMIT: usize = 64 << 20;

/// Largest resident memory of this process so far.
fn peak_memory() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() << 10
}

#[tokio::test]
async fn the_sum_of_whole_answers_without_end_is_bounded() {
    let engine = EndlessEngine::start("").await;
    let client = EngineClient::default();
    let answers = futures::future::join_all((0..ANSWERS).map(|_| ask(&client, &engine.address, false))).await;
    for answer in answers {
        assert_eq!(answer.err(), Some(EngineFault::Interrupted));
    }
    let peak = peak_memory();
    eprintln!("{} KiB of memory at the peak", peak >> 10);
    assert!(peak <= PEAK_LIMIT, "{peak} bytes of memory for {ANSWERS} answers");
}
