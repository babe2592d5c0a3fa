//! A client of batch jobs by the users' pages: each call on a fresh connection.

use crate::record::Record;
use base64::prelude::{Engine, BASE64_STANDARD};
use bytes::Bytes;
use hyper::{Method, Request};
use latchwheel_http::{full, read_bounded, Client};
use serde_json::{json, Value};
use std::time::Duration;

/// Host of the routes.
pub const HOST: &str = "lots.example";
/// Clients wait 1.5 s longer than they allow.
const CALL_TIME: Duration = Duration::from_millis(5500);

/// Status and body of an answer; `None` without a complete one.
pub type Answer = Option<(u16, Bytes)>;

/// Makes a call; `headers` go along.
pub async fn call(method: Method, address: &str, target: &str, headers: &[(&str, &str)], body: Bytes) -> Answer {
    let mut request = Request::builder().method(method).uri(format!("http://{address}{target}")).header("host", HOST);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(full(body)).ok()?;
    let answered = async {
        let response = Client::http1().send(request).await.ok()?;
        let status = response.status().as_u16();
        let body = read_bounded(response.into_body(), 16 << 20, CALL_TIME).await.ok()?;
        Some((status, body))
    };
    tokio::time::timeout(CALL_TIME, answered).await.ok()?
}

/// Status of a plain `GET`.
pub async fn get_status(address: &str, target: &str) -> Option<u16> {
    let asked = call(Method::GET, address, target, &[], Bytes::new());
    tokio::time::timeout(Duration::from_secs(1), asked).await.ok()?.map(|(status, _)| status)
}

/// A result at its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Item.
    pub item: String,
    /// `completed` or `dead_letter`.
    pub state: String,
    /// Output.
    pub message: String,
}

/// What a read brought.
#[derive(Clone, Debug)]
pub struct Page {
    /// Results from the asked position on.
    pub results: Vec<Listed>,
}

/// Identities of a job's items.
pub fn item_ids(job: &str, count: usize) -> Vec<String> {
    (0..count).map(|number| format!("{job}{number:04x}")).collect()
}

/// Hands in a job of so many items; gives back the status.
pub async fn submit(record: &Record, front: &str, job: &str, items: usize) -> Option<u16> {
    let items: Vec<Value> = item_ids(job, items)
        .into_iter()
        .map(|id| {
            json!({ "id": id, "path": format!("/lot/{id}"), "tokens": 940, "body": BASE64_STANDARD.encode(&id),
                "headers": { "X-Model": "m", "X-Token-Count": "540,400",
                    "X-Prompt-Prefix": format!("9c2e41:300,{id}:240") } })
        })
        .collect();
    let body = json!({ "items": items }).to_string();
    let headers = [("x-request-id", job), ("content-type", "application/json"), ("x-deadline-ms", "4000")];
    let answer = call(Method::POST, front, &format!("/lot/{job}"), &headers, body.into()).await;
    let status = answer.map(|(status, _)| status);
    record.line(format!("client hands in job {job} of {} items at {front}: {status:?}", items.len()));
    status
}

/// Reads results from a position on.
pub async fn read(record: &Record, front: &str, job: &str, from: usize) -> Result<Page, Option<u16>> {
    let target = format!("/lots/{job}?after-rev={from}");
    let headers = [("x-request-id", "read"), ("x-wait-ms", "1000")];
    let answer = call(Method::GET, front, &target, &headers, Bytes::new()).await;
    let Some((status, body)) = answer else {
        record.line(format!("client reads job {job} from {from} at {front}: no answer"));
        return Err(None);
    };
    if status != 200 {
        record.line(format!("client reads job {job} from {from} at {front}: {status}"));
        return Err(Some(status));
    }
    let page: Value = serde_json::from_slice(&body).map_err(|_| Some(status))?;
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let listed = page["results"].as_array().into_iter().flatten();
    let results = listed
        .map(|result| Listed {
            item: text(&result["id"]),
            state: text(&result["state"]),
            message: text(&result["message"]),
        })
        .collect::<Vec<_>>();
    record.line(format!("client reads job {job} from {from} at {front}: 200 with {} results", results.len()));
    Ok(Page { results })
}
