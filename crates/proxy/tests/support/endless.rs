//! A server that writes bytes without end until its peer closes.

#![allow(dead_code)]

use latchwheel_core::directory::ServerRecord;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Where the bytes without end stand in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// In place of a head.
    Noise,
    /// Interim answers before the head.
    InterimAnswers,
    /// Header lines.
    Headers,
    /// One header line.
    HeaderLine,
    /// Size of a chunk.
    ChunkSize,
    /// Body in chunks.
    Chunks,
    /// Body that its connection delimits.
    Body,
    /// Body of a failure.
    Failure,
    /// One event.
    Event,
    /// Events, all of the same number.
    SameEvent,
}

impl Endless {
    /// All of them.
    pub const ALL: [Endless; 10] = [
        Endless::Noise,
        Endless::InterimAnswers,
        Endless::Headers,
        Endless::HeaderLine,
        Endless::ChunkSize,
        Endless::Chunks,
        Endless::Body,
        Endless::Failure,
        Endless::Event,
        Endless::SameEvent,
    ];

    /// Whether the bytes stand before the end of the head.
    pub fn is_in_head(self) -> bool {
        matches!(self, Endless::Noise | Endless::InterimAnswers | Endless::Headers | Endless::HeaderLine)
    }

    /// What is written once, and what is written without end.
    fn bytes(self, id: &str) -> (String, String) {
        let head = |status: u16, lines: &str| {
            format!("HTTP/1.1 {status} Status\r\nt-id: {id}\r\nt-stamp: stamp\r\n{lines}\r\n")
        };
        let chunked = head(200, "transfer-encoding: chunked\r\n");
        let text = "x".repeat(4096);
        match self {
            Endless::Noise => (String::new(), text),
            Endless::InterimAnswers => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n".repeat(64)),
            Endless::Headers => ("HTTP/1.1 200 OK\r\n".into(), "a: b\r\n".repeat(64)),
            Endless::HeaderLine => ("HTTP/1.1 200 OK\r\na: ".into(), text),
            Endless::ChunkSize => (chunked, "0".repeat(4096)),
            Endless::Chunks => (chunked, format!("1000\r\n{text}\r\n")),
            Endless::Body => (head(200, ""), text),
            Endless::Failure => (head(500, "transfer-encoding: chunked\r\n"), format!("1000\r\n{text}\r\n")),
            Endless::Event => (head(200, "content-type: text/event-stream\r\n") + "data: ", text),
            Endless::SameEvent => {
                (head(200, "content-type: text/event-stream\r\n"), "id: 1\ndata: again\n\n".repeat(64))
            }
        }
    }
}

/// A server whose answers have no end.
#[derive(Debug)]
pub struct EndlessServer {
    pub name: String,
    pub address: String,
    /// Requests that it got, and connections that its peer has closed since.
    asked: Arc<AtomicUsize>,
    left: Arc<AtomicUsize>,
}

impl EndlessServer {
    pub async fn start(name: &str, endless: Endless) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (asked, left) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let server = Self { name: name.into(), address, asked: asked.clone(), left: left.clone() };
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (asked, left) = (asked.clone(), left.clone());
                tokio::spawn(async move {
                    if let Some(id) = read_head(stream, &asked).await {
                        write_without_end(id, endless).await;
                        left.fetch_add(1, Ordering::SeqCst);
                    }
                });
            }
        });
        server
    }

    /// Requests that it got.
    pub fn asked(&self) -> usize {
        self.asked.load(Ordering::SeqCst)
    }

    /// Requests that it still answers.
    pub fn answers(&self) -> usize {
        self.asked() - self.left.load(Ordering::SeqCst)
    }

    pub fn record(&self) -> ServerRecord {
        super::server_record(&self.name, &self.address)
    }
}

/// The connection with the identity of its request; `None` if there is none.
async fn read_head(mut stream: TcpStream, asked: &AtomicUsize) -> Option<(TcpStream, String)> {
    let seen = super::read_request(&mut stream).await?;
    asked.fetch_add(1, Ordering::SeqCst);
    let id = seen.header("t-id").unwrap_or_default();
    Some((stream, id))
}

/// Writes until the peer closes.
async fn write_without_end((stream, id): (TcpStream, String), endless: Endless) {
    let (once, again) = endless.bytes(&id);
    let (mut read, mut write) = stream.into_split();
    let closed = async {
        let mut rest = [0; 64];
        while read.read(&mut rest).await.is_ok_and(|length| length > 0) {}
    };
    let written = async {
        let mut fine = write.write_all(once.as_bytes()).await.is_ok();
        while fine {
            fine = write.write_all(again.as_bytes()).await.is_ok();
        }
    };
    tokio::select! {
        () = closed => {}
        () = written => {}
    }
}
