//! A link from one machine to the platform's store that passes calls on, and can lose the
//! answer of one write, which is done seconds later.

use crate::http::read_message;
use crate::record::Record;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// A write that is to be done late.
#[derive(Clone, Debug)]
struct Late {
    /// What its body holds.
    holds: String,
    delay: Duration,
}

/// A link to the store.
#[derive(Debug)]
pub struct LateLink {
    /// Where it listens.
    pub address: String,
    store: String,
    record: Record,
    late: Mutex<Option<Late>>,
    /// Told when the write was caught.
    pub caught: Notify,
    /// Told when it was done.
    pub done: Notify,
}

impl LateLink {
    /// Starts a link to the store at this address.
    pub async fn start(store: &str, record: &Record) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = Arc::new(Self {
            address: listener.local_addr()?.to_string(),
            store: store.to_owned(),
            record: record.clone(),
            late: Mutex::default(),
            caught: Notify::new(),
            done: Notify::new(),
        });
        let serving = link.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        Ok(link)
    }

    /// The next write whose body holds this text is not answered, and is done after `delay`
    /// if its condition still holds.
    pub fn delay_write(&self, holds: &str, delay: Duration) {
        *self.lock() = Some(Late { holds: holds.to_owned(), delay });
    }

    /// All further writes are answered.
    pub fn delay_none(&self) {
        *self.lock() = None;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Late>> {
        self.late.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_late(&self, target: &str, body: &[u8]) -> Option<Late> {
        let mut late = self.lock();
        let body = String::from_utf8_lossy(body);
        let is_meant = target == "/kv-txn" && late.as_ref().is_some_and(|late| body.contains(&late.holds));
        if is_meant {
            late.take()
        } else {
            None
        }
    }

    async fn serve(self: Arc<Self>, mut inbound: TcpStream) {
        let Ok(mut outbound) = TcpStream::connect(&self.store).await else { return };
        let _ = outbound.set_nodelay(true);
        let (mut sent, mut received) = (Vec::new(), Vec::new());
        while let Some(request) = read_message(&mut inbound, &mut sent).await {
            if let Some(late) = self.take_late(&request.target, &request.body) {
                self.record.line(format!("the store takes the write of {} and does not answer it", late.holds));
                self.caught.notify_one();
                tokio::spawn(self.clone().write_late(request.bytes, late.delay));
                // The connection says nothing more.
                while read_message(&mut inbound, &mut sent).await.is_some() {}
                return;
            }
            if outbound.write_all(&request.bytes).await.is_err() {
                return;
            }
            let Some(answer) = read_message(&mut outbound, &mut received).await else { return };
            if inbound.write_all(&answer.bytes).await.is_err() {
                return;
            }
        }
    }

    async fn write_late(self: Arc<Self>, request: Vec<u8>, delay: Duration) {
        tokio::time::sleep(delay).await;
        let Ok(mut outbound) = TcpStream::connect(&self.store).await else { return };
        if outbound.write_all(&request).await.is_err() {
            return;
        }
        let answer = read_message(&mut outbound, &mut Vec::new()).await.unwrap_or_default();
        self.record.line(format!("the store does that write now: {}", answer.target));
        self.done.notify_one();
    }
}
