//! Reading messages from a connection, for stand-ins that write their answers byte by byte.

use tokio::io::{AsyncRead, AsyncReadExt};

/// A request or an answer as it came.
#[derive(Clone, Debug, Default)]
pub struct RawMessage {
    /// Path and query; of an answer, its status.
    pub target: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// All bytes of the message.
    pub bytes: Vec<u8>,
}

impl RawMessage {
    /// Value of a header, empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(present, _)| present == name).map_or("", |(_, value)| value)
    }
}

/// Reads the next message with its body; `None` at the end of the connection. `buffer` keeps
/// what came beyond it. The project's programs state the lengths of what they send.
pub async fn read_message(stream: &mut (impl AsyncRead + Unpin), buffer: &mut Vec<u8>) -> Option<RawMessage> {
    let head_end = loop {
        if let Some(position) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break position + 4;
        }
        read_more(stream, buffer).await?;
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let target = lines.next().unwrap_or_default().split(' ').nth(1).unwrap_or_default().to_owned();
    let mut message = RawMessage { target, ..RawMessage::default() };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    while buffer.len() < head_end + length {
        read_more(stream, buffer).await?;
    }
    message.bytes = buffer.drain(..head_end + length).collect();
    message.body = message.bytes[head_end..].to_vec();
    Some(message)
}

async fn read_more(stream: &mut (impl AsyncRead + Unpin), buffer: &mut Vec<u8>) -> Option<()> {
    let mut piece = [0; 16 << 10];
    match stream.read(&mut piece).await {
        Ok(length) if length > 0 => {
            buffer.extend_from_slice(&piece[..length]);
            Some(())
        }
        _ => None,
    }
}
