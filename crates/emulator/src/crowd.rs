//! Clients that keep to no limits: each opens a connection, sends what its form says, and then
//! stays open without reading.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Time after which a client stops sending whose bytes are not taken.
const WRITE_PATIENCE: Duration = Duration::from_secs(10);
/// Headers of a form that has no end within the time of a crowd.
const FORM_HEADERS: &str = "Content-Type: multipart/form-data; boundary=b\r\nContent-Length: 1000000000\r\n\r\n";
/// Head of the part of a form that holds a file.
const FILE_HEADER: &str = "Content-Disposition: form-data; name=\"file\"; filename=\"f\"\r\n\r\n";
/// Most bytes of one write.
const WRITE_BYTES: usize = 16 << 10;

/// What each client of a crowd sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Nothing at all.
    Silent,
    /// A head of one header that does not end.
    LongHeader,
    /// A head of many headers that does not end.
    ManyHeaders,
    /// Empty lines in place of a request.
    EmptyLines,
    /// A body of a stated length, sent in writes of so many bytes, that stops one byte short.
    StatedLength {
        /// Bytes of one write.
        write: usize,
    },
    /// A body in chunks of so many bytes that stops short of its last chunk.
    Chunks {
        /// Bytes of one chunk.
        chunk: usize,
    },
    /// An extension of a chunk that does not end.
    ChunkExtension,
    /// Trailers that do not end.
    Trailers,
    /// A form of which the head of a part does not end.
    FormPart,
    /// A form with a file of one line that does not end.
    FormLine,
    /// Whole requests one after the other, whose answers are not read.
    RequestsAhead,
    /// Many whole requests with heads of the longest allowed size, whose answers are not read.
    WholeHeads,
}

/// A request of the crowd.
#[derive(Clone, Debug)]
pub struct Target {
    /// Where the clients connect.
    pub address: SocketAddr,
    /// Host of the requests.
    pub host: String,
    /// Method of the requests.
    pub method: &'static str,
    /// Path of the requests.
    pub path: String,
    /// Name of the header with the request's id.
    pub id_header: String,
    /// Bytes that each client sends after the start of its request, at most.
    pub bytes: usize,
}

/// Open connections of clients that misbehave. They close when it is dropped.
#[derive(Debug)]
pub struct Crowd {
    connections: Vec<TcpStream>,
}

impl Crowd {
    /// Opens this many connections and returns when each of them has sent its bytes, was closed
    /// or is not read any more.
    pub async fn open(target: &Target, clients: usize, form: Form) -> Self {
        let mut clients_sending = JoinSet::new();
        for number in 0..clients {
            let target = target.clone();
            clients_sending.spawn(async move { send_form(&target, number, form).await });
        }
        Self { connections: clients_sending.join_all().await.into_iter().flatten().collect() }
    }

    /// Connections that could be opened.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }
}

async fn send_form(target: &Target, number: usize, form: Form) -> Option<TcpStream> {
    let mut stream = tokio::time::timeout(WRITE_PATIENCE, TcpStream::connect(target.address)).await.ok()?.ok()?;
    let start = start_of(target, number, form);
    let piece = piece_of(target, number, form);
    if !write_all(&mut stream, &start).await || piece.is_empty() {
        return Some(stream);
    }
    let whole = match form {
        Form::StatedLength { .. } => target.bytes - 1,
        _ => target.bytes,
    };
    let mut sent = 0;
    while sent < whole {
        let length = piece.len().min(whole - sent);
        if !write_all(&mut stream, &piece[..length]).await {
            break;
        }
        sent += length;
    }
    Some(stream)
}

/// Writes bytes; `false` if they were not taken.
async fn write_all(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    matches!(tokio::time::timeout(WRITE_PATIENCE, stream.write_all(bytes)).await, Ok(Ok(())))
}

fn start_of(target: &Target, number: usize, form: Form) -> Vec<u8> {
    let head = head_of(target, number);
    match form {
        Form::Silent | Form::EmptyLines | Form::RequestsAhead | Form::WholeHeads => String::new(),
        Form::LongHeader => format!("{head}X-Long: "),
        Form::ManyHeaders => head,
        Form::StatedLength { .. } => format!("{head}Content-Length: {}\r\n\r\n", target.bytes),
        Form::Chunks { .. } => format!("{head}Transfer-Encoding: chunked\r\n\r\n"),
        Form::ChunkExtension => format!("{head}Transfer-Encoding: chunked\r\n\r\n1;"),
        Form::Trailers => format!("{head}Transfer-Encoding: chunked\r\n\r\n0\r\n"),
        Form::FormPart => format!("{head}{FORM_HEADERS}--b\r\n"),
        Form::FormLine => format!("{head}{FORM_HEADERS}--b\r\n{FILE_HEADER}"),
    }
    .into_bytes()
}

/// What is sent again and again after the start.
fn piece_of(target: &Target, number: usize, form: Form) -> Vec<u8> {
    let head = head_of(target, number);
    let repeated = |text: &str| text.repeat((WRITE_BYTES / text.len()).max(1)).into_bytes();
    match form {
        Form::Silent => Vec::new(),
        Form::LongHeader | Form::ChunkExtension | Form::FormLine => repeated("x"),
        Form::ManyHeaders | Form::Trailers | Form::FormPart => repeated("a: b\r\n"),
        Form::EmptyLines => repeated("\r\n"),
        Form::StatedLength { write } => vec![b'x'; write],
        Form::Chunks { chunk } => repeated(&format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk))),
        Form::RequestsAhead => repeated(&format!("{head}Content-Length: 1\r\n\r\nx")),
        Form::WholeHeads => {
            let headers: String = (0..700).map(|header| format!("a{header}: b\r\n")).collect();
            format!("{head}{headers}Content-Length: 1\r\n\r\nx").into_bytes()
        }
    }
}

fn head_of(target: &Target, number: usize) -> String {
    let Target { host, method, path, id_header, .. } = target;
    format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n{id_header}: crowd-{number}\r\n")
}
