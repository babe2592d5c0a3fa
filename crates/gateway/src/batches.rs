//! Batch jobs: create, read, list, cancel.

use crate::backend::Backend;
use crate::error::refuse;
use crate::files::{error_file, object_number, output_file, wall_seconds};
use crate::online::{idempotency_key, refuse_json, repeatable_header, ROW_HEADER};
use crate::router::Gateway;
use crate::strict_json::read_object;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response};
use latchwheel_core::code::ResultCode;
use latchwheel_core::identity::stable_hash;
use latchwheel_core::table::{Class, Row, Table};
use latchwheel_http::{json, Body};
use latchwheel_protocol::v1::command::Body as CommandBody;
use latchwheel_protocol::v1::{CancelJob, CreateJob, JobRecord, ReadRequest};
use serde_json::{Map, Value};

const LIST_DEFAULT: u32 = 20;
const LIST_LIMIT: u32 = 100;
const HOUR_SECONDS: u64 = 3600;
const DEFAULT_WINDOW: &str = "24h";
const ENDPOINTS: [&str; 2] = ["/v1/completions", "/v1/chat/completions"];

type Refusal = Box<Response<Body>>;

impl<B: Backend> Gateway<B> {
    pub(crate) async fn create_batch(&self, request: Request<Incoming>, tenant: String) -> Response<Body> {
        if let Some(refusal) = self.refuse_new_work() {
            return refusal;
        }
        let (head, body) = request.into_parts();
        let body = match self.read_body(&head, body).await {
            Ok(body) => body,
            Err(refusal) => return *refusal,
        };
        let command = match read_job(&self.backend.table(), &tenant, &head.headers, &body.bytes) {
            Ok(command) => command,
            Err(refusal) => return *refusal,
        };
        let job = command.job.clone();
        match self.commit(&tenant, CommandBody::CreateJob(command)).await {
            Ok(()) => self.show_batch(tenant, &job).await,
            Err(refusal) => *refusal,
        }
    }

    pub(crate) async fn show_batch(&self, tenant: String, job: &str) -> Response<Body> {
        let request = ReadRequest { tenant: tenant.clone(), job: job.to_owned(), ..ReadRequest::default() };
        match self.backend.read(request).await {
            Ok(answer) => match answer.jobs.first().filter(|record| record.tenant == tenant) {
                Some(record) => json(200, &batch_object(record)),
                None => refuse(ResultCode::NotFound, job),
            },
            Err(code) => refuse(code, job),
        }
    }

    pub(crate) async fn list_batches(&self, query: Option<&str>, tenant: String) -> Response<Body> {
        let value = |name: &str| {
            let pairs = query.unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let limit = value("limit").and_then(|text| text.parse().ok()).unwrap_or(LIST_DEFAULT).clamp(1, LIST_LIMIT);
        let request = ReadRequest {
            tenant,
            jobs: true,
            most: limit,
            after_name: value("after").unwrap_or_default(),
            ..ReadRequest::default()
        };
        match self.backend.read(request).await {
            Ok(answer) => {
                let data: Vec<Value> = answer.jobs.iter().map(batch_object).collect();
                let identity = |record: Option<&JobRecord>| record.map(|record| record.job.clone());
                let list = serde_json::json!({
                    "object": "list",
                    "data": data,
                    "first_id": identity(answer.jobs.first()),
                    "last_id": identity(answer.jobs.last()),
                    "has_more": answer.jobs.len() as u32 == limit,
                });
                json(200, &list)
            }
            Err(code) => refuse(code, ""),
        }
    }

    pub(crate) async fn cancel_batch(&self, tenant: String, job: &str) -> Response<Body> {
        let shown = self.show_batch(tenant.clone(), job).await;
        if !shown.status().is_success() {
            return shown;
        }
        let cancel = CancelJob { job: job.to_owned(), at_seconds: wall_seconds() };
        match self.commit(&tenant, CommandBody::CancelJob(cancel)).await {
            Ok(()) => self.show_batch(tenant, job).await,
            Err(refusal) => *refusal,
        }
    }
}

fn read_job(table: &Table, tenant: &str, headers: &HeaderMap, bytes: &[u8]) -> Result<CreateJob, Refusal> {
    let object = read_object(bytes).map_err(|fault| Box::new(refuse_json(&fault)))?;
    let text = |name: &str| object.get(name).and_then(Value::as_str).unwrap_or_default().to_owned();
    let file = text("input_file_id");
    if file.is_empty() {
        return Err(bad("input_file_id is missing"));
    }
    let endpoint = text("endpoint");
    if !ENDPOINTS.contains(&endpoint.as_str()) {
        return Err(bad("endpoint must be /v1/completions or /v1/chat/completions"));
    }
    let row = batch_row(table, headers, &object)?;
    let created_seconds = wall_seconds();
    let window = object.get("completion_window").and_then(Value::as_str).unwrap_or(DEFAULT_WINDOW);
    let seconds = window_seconds(window).ok_or_else(|| bad("completion_window must be hours, like 24h"))?;
    let metadata = object.get("metadata").filter(|value| value.is_object());
    Ok(CreateJob {
        job: job_identity(tenant, headers)?,
        tenant: tenant.to_owned(),
        file,
        row: row.name.clone(),
        endpoint,
        repeatable: repeatable_header(headers)?,
        request_hash: stable_hash(bytes),
        created_seconds,
        deadline_seconds: created_seconds + seconds,
        metadata: metadata.map(Value::to_string).unwrap_or_default(),
    })
}

fn job_identity(tenant: &str, headers: &HeaderMap) -> Result<String, Refusal> {
    let key = idempotency_key(headers)?;
    Ok(format!("batch-{:032x}", object_number(tenant, key.as_deref())))
}

fn batch_row<'a>(table: &'a Table, headers: &HeaderMap, object: &Map<String, Value>) -> Result<&'a Row, Refusal> {
    let header = headers.get(ROW_HEADER).and_then(|value| value.to_str().ok());
    let metadata = object.get("metadata").and_then(|metadata| metadata.get("row")).and_then(Value::as_str);
    let row = match header.or(metadata) {
        Some(name) => table.rows.get(name).filter(|row| row.class == Class::Batch),
        None => table.rows.values().find(|row| row.class == Class::Batch),
    };
    row.map(AsRef::as_ref).ok_or_else(|| Box::new(refuse(ResultCode::NoRow, "no row of class batch has this name")))
}

fn window_seconds(window: &str) -> Option<u64> {
    let hours: u64 = window.strip_suffix('h')?.parse().ok()?;
    (1..=24 * 30).contains(&hours).then_some(hours * HOUR_SECONDS)
}

fn bad(detail: &str) -> Refusal {
    Box::new(refuse(ResultCode::BadRequest, detail))
}

fn batch_object(record: &JobRecord) -> Value {
    let ended = record.completed + record.failed >= record.items;
    let status = match (record.cancelled, ended) {
        (true, _) => "cancelled",
        (false, true) => "completed",
        (false, false) => "in_progress",
    };
    let metadata: Value = serde_json::from_str(&record.metadata).unwrap_or(Value::Null);
    serde_json::json!({
        "id": record.job,
        "object": "batch",
        "endpoint": record.endpoint,
        "input_file_id": record.file,
        "completion_window": format!("{}h", (record.deadline_seconds - record.created_seconds) / HOUR_SECONDS),
        "status": status,
        "output_file_id": output_file(&record.job),
        "error_file_id": (record.failed > 0).then(|| error_file(&record.job)),
        "created_at": record.created_seconds,
        "expires_at": record.deadline_seconds,
        "completed_at": (ended && !record.cancelled).then_some(record.ended_seconds),
        "cancelled_at": record.cancelled.then_some(record.ended_seconds),
        "request_counts": { "total": record.items, "completed": record.completed, "failed": record.failed },
        "metadata": metadata,
        "row": record.row,
    })
}
