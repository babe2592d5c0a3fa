//! A peer that takes no bytes does not hold a connection for good.

use latchwheel_http::{ResetFlag, ResetStream};
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

#[tokio::test]
async fn a_write_fails_where_the_peer_takes_no_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    let stream = ResetStream::new(accepted, ResetFlag::default());
    let mut stream = stream.with_write_timeout(Duration::from_millis(200));
    let bytes = vec![0; 64 << 10];
    let fault = loop {
        if let Err(fault) = stream.write_all(&bytes).await {
            break fault;
        }
    };
    assert_eq!(fault.kind(), ErrorKind::TimedOut);
    drop(peer);
}
