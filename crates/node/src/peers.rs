//! Calls between nodes: messages over HTTP/2.

use bytes::Bytes;
use hyper::{Method, Request, Response};
use latchwheel_http::{full, Body, CallFault, Client};
use latchwheel_protocol::Message;
use std::net::IpAddr;
use std::time::Duration;

/// A call between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerCall {
    Forward,
    Replication,
    Propose,
    Read,
    Lease,
    Complete,
    Pull,
    Revisions,
    Limit,
}

impl PeerCall {
    const ALL: [PeerCall; 9] = [
        PeerCall::Forward,
        PeerCall::Replication,
        PeerCall::Propose,
        PeerCall::Read,
        PeerCall::Lease,
        PeerCall::Complete,
        PeerCall::Pull,
        PeerCall::Revisions,
        PeerCall::Limit,
    ];

    fn path(self) -> &'static str {
        match self {
            PeerCall::Forward => "/peer/forward",
            PeerCall::Replication => "/peer/replication",
            PeerCall::Propose => "/peer/propose",
            PeerCall::Read => "/peer/read",
            PeerCall::Lease => "/peer/lease",
            PeerCall::Complete => "/peer/complete",
            PeerCall::Pull => "/peer/pull",
            PeerCall::Revisions => "/peer/revisions",
            PeerCall::Limit => "/peer/limit",
        }
    }

    pub(crate) fn of_path(path: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|call| call.path() == path)
    }
}

/// Client of all other nodes.
#[derive(Clone, Debug)]
pub(crate) struct PeerClient {
    client: Client,
}

impl PeerClient {
    /// Calls from the address that the node listens on for its peers.
    pub(crate) fn new(local: Option<IpAddr>) -> Self {
        Self { client: Client::http2(local) }
    }

    /// Sends a message and reads a message.
    pub(crate) async fn call<T: Message + Default>(
        &self,
        address: &str,
        call: PeerCall,
        message: &impl Message,
        time: Duration,
    ) -> Result<T, CallFault> {
        let body = Bytes::from(message.encode_to_vec());
        let answer = self.client.call(Method::POST, address, call.path(), body, time).await?;
        T::decode(answer.clone()).map_err(|_| CallFault::BadAnswer(200, answer))
    }

    /// Sends a message and gives the answer's stream.
    pub(crate) async fn open(
        &self,
        address: &str,
        call: PeerCall,
        message: &impl Message,
    ) -> Result<Response<hyper::body::Incoming>, CallFault> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{}", call.path()))
            .body(full(message.encode_to_vec()))
            .map_err(|_| CallFault::NotSent)?;
        self.client.send(request).await
    }
}

/// An answer with a message.
pub(crate) fn answer(message: &impl Message) -> Response<Body> {
    Response::new(full(message.encode_to_vec()))
}
