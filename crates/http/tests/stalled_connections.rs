//! Connections that stall without an error, while new connections work.

use bytes::Bytes;
use futures::future::join_all;
use hyper::Method;
use latchwheel_http::{CallFault, Client};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Barrier;

const CONNECTIONS: usize = 4;
const LONG_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of a call on a stalled connection.
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// A server that can stop answering on its first connections.
#[derive(Clone)]
struct Server {
    accepted: Arc<AtomicUsize>,
    stalled: Arc<AtomicBool>,
    /// Delays the first answers until every connection has a call.
    first_answers_barrier: Arc<Barrier>,
}

impl Server {
    async fn start() -> (Self, String) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let first_answers_barrier = Arc::new(Barrier::new(CONNECTIONS));
        let server = Self { accepted: Arc::default(), stalled: Arc::default(), first_answers_barrier };
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = accepting.accepted.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(accepting.clone().serve(stream, number));
            }
        });
        (server, address)
    }

    async fn serve(self, mut stream: TcpStream, number: usize) {
        let mut buffer = vec![0; 4096];
        let mut answered = 0;
        while stream.read(&mut buffer).await.is_ok_and(|length| length > 0) {
            let is_old = number < CONNECTIONS;
            if is_old && self.stalled.load(Ordering::SeqCst) {
                continue;
            }
            if is_old && answered == 0 {
                self.first_answers_barrier.wait().await;
            }
            answered += 1;
            if stream.write_all(ANSWER).await.is_err() {
                return;
            }
        }
    }
}

async fn call(client: &Client, address: &str, time: Duration) -> Result<Bytes, CallFault> {
    client.call(Method::GET, address, "/", Bytes::new(), time).await
}

/// Guards against calls that fail one after the other on several stalled connections.
#[tokio::test]
async fn idle_connections_are_not_reused_after_a_timeout() {
    let (server, address) = Server::start().await;
    let client = Client::http1_reconnecting();
    let calls = (0..CONNECTIONS).map(|_| call(&client, &address, LONG_TIMEOUT));
    assert!(join_all(calls).await.iter().all(Result::is_ok));
    assert_eq!(server.accepted.load(Ordering::SeqCst), CONNECTIONS);
    // Connections return to the pool shortly after their answers; a call in between opens a
    // new connection and succeeds.
    server.stalled.store(true, Ordering::SeqCst);
    while call(&client, &address, SHORT_TIMEOUT).await.is_ok() {}
    assert!(call(&client, &address, LONG_TIMEOUT).await.is_ok());
}
