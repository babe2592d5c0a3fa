//! Handing a new job to another front.
//!
//! A front that is cut off from the store and from all workers may still reach
//! other fronts, and these the store. The job is kept there as if the client
//! had come to them; a client that comes again finds it.

use crate::desk::{DeskFault, JobDesk, Taken};
use crate::handed::Handed;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use latchwheel_http::{empty, read_bounded, serve, Body, CallFault, Client, Version};
use latchwheel_records::RecordStore;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

const PATH: &str = "/relay/";
/// Fronts that are asked at most.
const ASKED_AT_MOST: usize = 2;
/// Time in which a front must have kept the job.
const RELAY_TIME: Duration = Duration::from_millis(500);
/// Most bytes of a job, and the time in which it must arrive.
const JOB_LIMIT: usize = 16 << 20;
const ARRIVAL_TIME: Duration = Duration::from_secs(1);

/// Hands a job to one front after the other, until one has kept it.
///
/// # Errors
/// [`DeskFault::Unknown`] if none says so, [`DeskFault::Conflict`] if one
/// knows another job of that identity.
pub(crate) async fn relay(fronts: &[SocketAddr], job: &str, handed: &Handed) -> Result<Taken, DeskFault> {
    let bytes = Bytes::from(serde_json::to_vec(handed).map_err(|_| DeskFault::Unknown)?);
    // Different jobs begin with different fronts.
    let first = bytes.len() % fronts.len().max(1);
    let order = fronts.iter().cycle().skip(first).take(fronts.len().min(ASKED_AT_MOST));
    for front in order {
        let path = format!("{PATH}{job}");
        let call = Client::http1();
        match call.call(Method::POST, &front.to_string(), &path, bytes.clone(), RELAY_TIME).await {
            Ok(_) => return Ok(Taken { resent: false, disks: 0 }),
            Err(CallFault::BadAnswer(409, _)) => return Err(DeskFault::Conflict),
            Err(_) => {}
        }
    }
    Err(DeskFault::Unknown)
}

/// Takes jobs from other fronts at this address.
pub async fn serve_relay<S: RecordStore>(desk: Arc<JobDesk<S>>, listener: TcpListener, stop: watch::Receiver<bool>) {
    serve(listener, Version::Http1, stop, move |request| {
        let desk = desk.clone();
        async move {
            let mut response: Response<Body> = Response::new(empty());
            *response.status_mut() = answer(&desk, request).await;
            response
        }
    })
    .await;
}

async fn answer<S: RecordStore>(desk: &JobDesk<S>, request: Request<Incoming>) -> StatusCode {
    let job = request.uri().path().strip_prefix(PATH).unwrap_or_default().to_owned();
    if job.is_empty() || *request.method() != Method::POST {
        return StatusCode::NOT_FOUND;
    }
    let Ok(bytes) = read_bounded(request.into_body(), JOB_LIMIT, ARRIVAL_TIME).await else {
        return StatusCode::REQUEST_TIMEOUT;
    };
    let Ok(handed) = serde_json::from_slice::<Handed>(&bytes) else { return StatusCode::BAD_REQUEST };
    match desk.keep(&job, &Arc::new(handed), Instant::now() + RELAY_TIME).await {
        Ok(_) => StatusCode::OK,
        Err(DeskFault::Conflict) => StatusCode::CONFLICT,
        Err(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}
