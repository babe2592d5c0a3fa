//! Times of clients' connections: of a head, and of the rest between requests.

use hyper::body::Incoming;
use hyper::{Request, Response};
use latchwheel_core::client_budget::BudgetLimits;
use latchwheel_core::routes::ClientLimits;
use latchwheel_http::{empty, full, read_client_body, serve_clients, ClientGuard, ClientPort, Version};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const HEAD_TIMEOUT: Duration = Duration::from_millis(100);
const MEMORY: usize = 64 << 20;
const DESCRIPTORS: usize = 1024;

/// A connection to a port whose heads must arrive in a short time, and which lets connections
/// rest for long.
async fn connect() -> (TcpStream, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let limits = ClientLimits {
        header_timeout: HEAD_TIMEOUT,
        idle_timeout: Duration::from_secs(3600),
        ..ClientLimits::default()
    };
    let port = ClientPort {
        guard: ClientGuard::new(BudgetLimits::of_machine(MEMORY, DESCRIPTORS)),
        limits: watch::channel(limits).1,
        no_room: || Response::new(empty()),
    };
    let (stop, stopped) = watch::channel(false);
    let serving = serve_clients(listener, Version::Http1, stopped, port, |_| async { Response::new(full("ok")) });
    tokio::spawn(serving);
    (TcpStream::connect(address).await.unwrap(), stop)
}

async fn request(connection: &mut TcpStream) {
    connection.write_all(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n").await.unwrap();
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\nok") {
        assert!(connection.read_buf(&mut bytes).await.unwrap() > 0, "{}", String::from_utf8_lossy(&bytes));
    }
}

#[tokio::test]
async fn a_head_that_does_not_end_closes_the_connection() {
    let (mut connection, _stop) = connect().await;
    connection.write_all(b"GET / HTTP/1.1\r\n").await.unwrap();
    assert!(matches!(connection.read(&mut [0; 16]).await, Ok(0) | Err(_)));
}

#[tokio::test]
async fn the_time_of_a_head_does_not_count_between_requests() {
    let (mut connection, _stop) = connect().await;
    request(&mut connection).await;
    tokio::time::sleep(3 * HEAD_TIMEOUT).await;
    request(&mut connection).await;
    connection.write_all(b"GET / HTTP/1.1\r\n").await.unwrap();
    assert!(matches!(connection.read(&mut [0; 16]).await, Ok(0) | Err(_)));
}

/// Bodies on several threads that grow while others evict them: no thread waits for another one
/// for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn bodies_that_evict_each_other_do_not_wait_for_each_other() {
    const SMALL_MEMORY: usize = 6 << 20;
    const CLIENTS: usize = 24;
    const ROUNDS: usize = 40;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let guard = ClientGuard::new(BudgetLimits::of_machine(SMALL_MEMORY, DESCRIPTORS));
    let port = ClientPort {
        guard: guard.clone(),
        limits: watch::channel(ClientLimits::default()).1,
        no_room: || Response::new(empty()),
    };
    let (_stop, stopped) = watch::channel(false);
    let handler = |request: Request<Incoming>| async move {
        let (head, body) = request.into_parts();
        let _ = read_client_body(&head.extensions, body, 4 << 20, Duration::from_secs(60)).await;
        Response::new(full("ok"))
    };
    tokio::spawn(serve_clients(listener, Version::Http1, stopped, port, handler));
    let clients = (0..CLIENTS).map(|number| {
        tokio::spawn(async move {
            let bytes = if number % 2 == 0 { 400 << 10 } else { 60 << 10 };
            for _ in 0..ROUNDS {
                let Ok(mut connection) = TcpStream::connect(address).await else { continue };
                let head =
                    format!("POST / HTTP/1.1\r\nhost: h\r\nconnection: close\r\ncontent-length: {bytes}\r\n\r\n");
                let _ = connection.write_all(head.as_bytes()).await;
                let _ = connection.write_all(&vec![b'x'; bytes]).await;
                let _ = connection.read_to_end(&mut Vec::new()).await;
            }
        })
    });
    for client in clients.collect::<Vec<_>>() {
        tokio::time::timeout(Duration::from_secs(120), client).await.expect("a client waits for good").unwrap();
    }
}
