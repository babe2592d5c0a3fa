//! Answers of an engine that end with their connection.

use bytes::Bytes;
use latchwheel_engine::{EngineAnswer, EngineClient, EngineFault, EngineRequest};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LIMIT: Duration = Duration::from_secs(20);

/// Asks an engine that answers with this body, with neither a length nor chunks.
async fn ask(body: &'static str) -> Result<EngineAnswer, EngineFault> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let engine = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"{}") {
            assert!(stream.read_buf(&mut request).await.unwrap() > 0);
        }
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{body}");
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    let request = EngineRequest {
        identity: "id".into(),
        path: "/v1/completions".into(),
        body: Bytes::from_static(b"{}"),
        streamed: false,
        resume: false,
        timeout: LIMIT,
    };
    let answer = EngineClient::default().send(&address, request).await;
    engine.await.unwrap();
    answer
}

#[tokio::test]
async fn a_json_answer_that_is_cut_is_not_taken_for_a_whole_one() {
    for cut in ["", "{\"text\":\"cu"] {
        assert_eq!(ask(cut).await.err(), Some(EngineFault::Interrupted), "{cut:?}");
    }
}

#[tokio::test]
async fn a_json_answer_that_ends_with_its_connection_is_taken() {
    let whole = "{\"text\":\"whole\"}";
    assert!(matches!(ask(whole).await, Ok(EngineAnswer::Whole(bytes)) if bytes == whole));
}
