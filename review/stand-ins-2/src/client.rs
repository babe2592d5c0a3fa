//! A client: each call on a fresh connection.

use crate::site::HOST;
use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// `None` without a whole answer.
pub async fn call(
    front: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
    time: Duration,
) -> Option<Answer> {
    let deadline = tokio::time::Instant::now() + time;
    let exchange = async {
        let stream = TcpStream::connect(front).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        let mut request = Request::builder().method(method).uri(path).header("host", HOST);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        sender.send_request(request.body(Full::new(Bytes::from(body))).ok()?).await.ok().map(|answer| (sender, answer))
    };
    let (_sender, answer) = tokio::time::timeout_at(deadline, exchange).await.ok()??;
    let status = answer.status().as_u16();
    let mut incoming = answer.into_body();
    let mut body = Vec::new();
    loop {
        match tokio::time::timeout_at(deadline, incoming.frame()).await {
            Ok(None) => return Some(Answer { status, body }),
            Ok(Some(Ok(frame))) => body.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Ok(Some(Err(_))) | Err(_) => return None,
        }
    }
}

/// The document of a batch job.
pub fn job_document(items: &[String], prefix: &str) -> Vec<u8> {
    let items: Vec<Value> = items
        .iter()
        .map(|id| {
            json!({ "id": id, "path": format!("{prefix}3/{id}"), "body": BASE64_STANDARD.encode(format!("prompt of {id}")),
                    "headers": { "X-Model": "m", "X-Token-Count": "540,400", "X-Prompt-Prefix": format!("9c2e41:300,{id}:240") },
                    "tokens": 940 })
        })
        .collect();
    json!({ "items": items }).to_string().into_bytes()
}

pub async fn submit(front: SocketAddr, job: &str, prefix: &str, items: &[String]) -> Option<u16> {
    let headers = [("x-request-id", job), ("content-type", "application/json")];
    let body = job_document(items, prefix);
    let path = format!("{prefix}{job}");
    Some(call(front, Method::POST, &path, &headers, body, Duration::from_secs(4)).await?.status)
}

/// A read of results from a position on; `None` without an answer.
pub async fn read(front: SocketAddr, job: &str, from: usize, wait_ms: u64) -> Option<(u16, Value)> {
    let wait = wait_ms.to_string();
    let headers: &[(&str, &str)] = if wait_ms > 0 { &[("x-wait-ms", &wait)] } else { &[] };
    let path = format!("/lots/{job}?after-rev={from}");
    let answer = call(front, Method::GET, &path, headers, Vec::new(), Duration::from_millis(wait_ms + 1500)).await?;
    Some((answer.status, answer.json()))
}

/// Ids and states of the results in an answer.
pub fn results(page: &Value) -> Vec<(String, String)> {
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let listed = page["results"].as_array().cloned().unwrap_or_default();
    listed.iter().map(|result| (text(&result["id"]), text(&result["state"]))).collect()
}

/// Whether a front says that it is ready.
pub async fn is_ready(ready: SocketAddr) -> bool {
    let answer = call(ready, Method::GET, "/readiness", &[], Vec::new(), Duration::from_secs(1)).await;
    answer.is_some_and(|answer| answer.status == 200)
}

/// The text of a result in an answer.
pub fn text_at(page: &Value, number: usize) -> String {
    page["results"][number]["message"].as_str().unwrap_or_default().to_owned()
}

/// A request for a stream; `None` if its answer is broken off or none comes.
pub async fn stream(front: SocketAddr, prefix: &str, id: String) -> (String, Option<Answer>) {
    let headers = [
        ("x-request-id", &*id),
        ("x-deadline-ms", "8000"),
        ("x-model", "m"),
        ("x-token-count", "540,100"),
        ("x-prompt-prefix", "5c1e07a2:300,91bd3f06:240"),
    ];
    let path = format!("{prefix}2f");
    let answer = call(front, Method::POST, &path, &headers, b"prompt".to_vec(), Duration::from_millis(9000)).await;
    (id, answer)
}
