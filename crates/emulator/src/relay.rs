//! A link between processes: passes TCP connections and UDP datagrams on,
//! with a delay, and can be cut for senders of some addresses.

use crate::request::{read_json, refuse, Response};
use hyper::body::Incoming;
use hyper::Request;
use latchwheel_http::{json, serve, Version};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

const BUFFER_BYTES: usize = 64 << 10;
const PIECES_UNDER_WAY: usize = 256;

/// What happens to traffic from some senders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkRule {
    /// The rule is for senders whose address begins so.
    pub from: String,
    /// One-way delay, in microseconds.
    pub delay_microseconds: u64,
    /// Nothing passes.
    pub cut: bool,
}

/// State of a link: the first rule that fits a sender holds for it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkState {
    /// The rules.
    pub rules: Vec<LinkRule>,
}

impl LinkState {
    fn rule(&self, sender: &SocketAddr) -> Option<&LinkRule> {
        let address = sender.ip().to_string();
        self.rules.iter().find(|rule| address.starts_with(&rule.from))
    }

    fn is_cut(&self, sender: &SocketAddr) -> bool {
        self.rule(sender).is_some_and(|rule| rule.cut)
    }

    fn delay(&self, sender: &SocketAddr) -> Duration {
        Duration::from_micros(self.rule(sender).map_or(0, |rule| rule.delay_microseconds))
    }
}

/// A running link.
#[derive(Debug)]
pub struct Relay {
    state: watch::Sender<LinkState>,
    target: SocketAddr,
}

impl Relay {
    /// A link to a target.
    pub fn new(target: SocketAddr, state: LinkState) -> Arc<Self> {
        Arc::new(Self { state: watch::Sender::new(state), target })
    }

    /// Changes the link.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }

    /// Passes TCP and UDP of one port on until `stop`. Both sockets are given: a port that is
    /// free for one may be taken for the other.
    pub async fn run(self: Arc<Self>, listener: TcpListener, socket: UdpSocket, mut stop: watch::Receiver<bool>) {
        let datagrams = tokio::spawn(self.clone().run_udp(Arc::new(socket)));
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, sender)) = accepted {
                        tokio::spawn(self.clone().run_connection(stream, sender));
                    }
                }
                _ = stop.wait_for(|stop| *stop) => break,
            }
        }
        datagrams.abort();
    }

    /// Serves the administration calls of the link until `stop`.
    pub async fn run_admin(self: Arc<Self>, listener: TcpListener, stop: watch::Receiver<bool>) {
        serve(listener, Version::Http1, stop, move |request| {
            let relay = self.clone();
            async move { relay.administer(request).await }
        })
        .await;
    }

    async fn administer(&self, request: Request<Incoming>) -> Response {
        if request.uri().path() != "/admin/link" {
            return refuse(404, "no such path");
        }
        match read_json(request).await {
            Ok(state) => {
                self.set(state);
                json(200, &serde_json::json!({}))
            }
            Err(refusal) => refusal,
        }
    }

    async fn run_connection(self: Arc<Self>, inbound: TcpStream, sender: SocketAddr) {
        let mut changes = self.state.subscribe();
        if changes.borrow().is_cut(&sender) {
            return;
        }
        let Ok(outbound) = TcpStream::connect(self.target).await else { return };
        let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
        let (inbound_read, inbound_write) = inbound.into_split();
        let (outbound_read, outbound_write) = outbound.into_split();
        let forth = self.clone().pump(sender, inbound_read, outbound_write);
        let back = self.clone().pump(sender, outbound_read, inbound_write);
        tokio::select! {
            _ = async { tokio::join!(forth, back) } => {}
            // A cut link breaks the connections that went over it.
            _ = changes.wait_for(|state| state.is_cut(&sender)) => {}
        }
    }

    async fn pump(
        self: Arc<Self>,
        sender: SocketAddr,
        mut from: impl tokio::io::AsyncRead + Unpin + Send + 'static,
        mut to: impl tokio::io::AsyncWrite + Unpin,
    ) {
        let (queue, mut delayed) = mpsc::channel::<(Instant, Vec<u8>)>(PIECES_UNDER_WAY);
        let relay = self.clone();
        let reader = tokio::spawn(async move {
            let mut buffer = vec![0; BUFFER_BYTES];
            while let Ok(read) = from.read(&mut buffer).await {
                let due = Instant::now() + relay.delay(&sender);
                if read == 0 || queue.send((due, buffer[..read].to_vec())).await.is_err() {
                    return;
                }
            }
        });
        while let Some((due, piece)) = delayed.recv().await {
            tokio::time::sleep_until(due).await;
            if to.write_all(&piece).await.is_err() {
                break;
            }
        }
        reader.abort();
        let _ = to.shutdown().await;
    }

    fn delay(&self, sender: &SocketAddr) -> Duration {
        self.state.borrow().delay(sender)
    }

    /// Passes datagrams on. The sender's address is lost on the way, which
    /// the membership protocol does not use.
    async fn run_udp(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut outbound: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        while let Ok((length, sender)) = socket.recv_from(&mut buffer).await {
            if self.state.borrow().is_cut(&sender) {
                continue;
            }
            if let std::collections::hash_map::Entry::Vacant(entry) = outbound.entry(sender) {
                let Ok(new) = UdpSocket::bind((self.target.ip(), 0)).await else { continue };
                entry.insert(Arc::new(new));
            }
            let (way, piece, target, delay) =
                (outbound[&sender].clone(), buffer[..length].to_vec(), self.target, self.delay(&sender));
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = way.send_to(&piece, target).await;
            });
        }
    }
}
