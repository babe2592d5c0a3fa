//! Taking followed records from another node while the store is away.
//!
//! A node that starts in an outage of the store knows nothing. Each node keeps
//! the records that it follows as they were told last; another one may take
//! them over for its start. They are no older than the outage, and give way to
//! the store's own list as soon as that answers.

use crate::{Change, Followed, Record};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use latchwheel_http::{empty, json, serve, Body, Client, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

const PATH: &str = "/records";
/// Time in which another node must answer.
const ASK_TIME: Duration = Duration::from_millis(400);

#[derive(Debug, Serialize, Deserialize)]
struct RecordDocument {
    key: String,
    value: String,
    revision: u64,
}

/// The records that this node follows, and the nodes to ask for theirs.
#[derive(Debug, Default)]
pub struct Handover {
    peers: Vec<String>,
    known: Mutex<HashMap<String, BTreeMap<String, Record>>>,
}

impl Handover {
    /// Asks these addresses, one after the other.
    pub fn new(peers: Vec<String>) -> Arc<Self> {
        Arc::new(Self { peers, known: Mutex::default() })
    }

    /// Answers other nodes at this address.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, stop: watch::Receiver<bool>) {
        serve(listener, Version::Http1, stop, move |request| {
            let answer = self.answer(&request);
            async move { answer }
        })
        .await;
    }

    /// Whether anything was told of a prefix.
    pub fn knows(&self, prefix: &str) -> bool {
        self.lock().contains_key(prefix)
    }

    /// Keeps what was told of a prefix.
    pub(crate) fn note(&self, prefix: &str, followed: &Followed) {
        let mut known = self.lock();
        match followed {
            Followed::All(records) => {
                let records = records.iter().map(|record| (record.key.clone(), record.clone()));
                known.insert(prefix.to_owned(), records.collect());
            }
            Followed::Changed(Change::Written(record)) => {
                known.entry(prefix.to_owned()).or_default().insert(record.key.clone(), record.clone());
            }
            Followed::Changed(Change::Removed { key, .. }) => {
                known.entry(prefix.to_owned()).or_default().remove(key);
            }
            Followed::Lost(_) | Followed::StillLost | Followed::Regained(_) | Followed::Sound => {}
        }
    }

    /// The records under a prefix as the first node knows them that answers.
    pub(crate) async fn ask(&self, prefix: &str) -> Option<Vec<Record>> {
        let client = Client::http1();
        for peer in &self.peers {
            let path = format!("{PATH}?{prefix}");
            let Ok(bytes) = client.call(Method::GET, peer, &path, Bytes::new(), ASK_TIME).await else { continue };
            let Ok(documents) = serde_json::from_slice::<Vec<RecordDocument>>(&bytes) else { continue };
            let records = documents.into_iter().map(|document| Record {
                key: document.key,
                value: document.value.into(),
                revision: document.revision,
            });
            return Some(records.collect());
        }
        None
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Body> {
        let prefix = request.uri().query().unwrap_or_default();
        let known = self.lock();
        let Some(records) = known.get(prefix).filter(|_| request.uri().path() == PATH) else {
            let mut response = Response::new(empty());
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        };
        let documents: Vec<RecordDocument> = records
            .values()
            .map(|record| RecordDocument {
                key: record.key.clone(),
                value: String::from_utf8_lossy(&record.value).into_owned(),
                revision: record.revision,
            })
            .collect();
        json(StatusCode::OK.as_u16(), &documents)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, BTreeMap<String, Record>>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
