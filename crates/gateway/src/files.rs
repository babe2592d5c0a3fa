//! Files of batch items, streamed in line by line and streamed out.

use crate::backend::Backend;
use crate::error::refuse;
use crate::form_buffer::FormBuffer;
use crate::online::idempotency_key;
use crate::router::Gateway;
use crate::strict_json::read_object;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::http::Extensions;
use hyper::{Request, Response};
use latchwheel_core::client_budget::NoRoom;
use latchwheel_core::code::ResultCode;
use latchwheel_core::identity::{stable_hash, stable_pair_hash};
use latchwheel_core::jobs::ITEM_LIMIT;
use latchwheel_http::{channel, json, ArrivingBody, Body, RequestHold};
use latchwheel_protocol::v1::command::Body as CommandBody;
use latchwheel_protocol::v1::{AddItems, Command, CreateFile, FileRecord, Item, ReadRequest, ResultLine, SealFile};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Items committed together while a file streams in.
const ITEMS_TOGETHER: usize = 500;
const BYTES_TOGETHER: usize = 512 << 10;
const LINE_LIMIT: usize = 1 << 20;
/// Memory of an upload.
const UPLOAD_BYTES: usize = 2 * (LINE_LIMIT + BYTES_TOGETHER);
/// Longest pause between two pieces of an upload.
const PIECE_TIME: Duration = Duration::from_secs(30);
/// Lines read together while a file streams out.
const LINES_TOGETHER: u32 = 256;
const OUTPUT_PREFIX: &str = "output-";
const ERROR_PREFIX: &str = "errors-";

type Refusal = Box<Response<Body>>;

/// What a line of an input file holds.
#[derive(serde::Deserialize)]
struct InputLine {
    custom_id: String,
    #[serde(default)]
    body: Option<Box<serde_json::value::RawValue>>,
}

impl<B: Backend> Gateway<B> {
    pub(crate) async fn upload_file(&self, request: Request<Incoming>, tenant: String) -> Response<Body> {
        if self.backend.is_leaving() {
            return refuse(ResultCode::Leaving, "");
        }
        let content_type = request.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let Some(boundary) = content_type.and_then(|value| multer::parse_boundary(value).ok()) else {
            return refuse(ResultCode::BadHeader, "content-type is not multipart/form-data with a boundary");
        };
        let (head, body) = request.into_parts();
        let key = match idempotency_key(&head.headers) {
            Ok(key) => key,
            Err(refusal) => return *refusal,
        };
        let hold = match hold_upload(&head.extensions) {
            Ok(hold) => hold,
            Err(NoRoom) => return refuse(ResultCode::NoMemory, ""),
        };
        let buffer = FormBuffer::default();
        let stream = buffer.bound(body.into_data_stream(), hold.clone());
        let form = Form { parts: multer::Multipart::new(stream, boundary), buffer };
        let taken = tokio::select! {
            taken = self.take_form(form, &tenant, key) => taken,
            // The file is not sealed yet, so that nothing of it is ever run.
            () = evicted(hold) => Err(Box::new(refuse(ResultCode::NoMemory, ""))),
            () = self.backend.answers_due() => Err(Box::new(refuse(ResultCode::Leaving, ""))),
        };
        let record = match taken {
            Ok(record) => record,
            Err(refusal) => return *refusal,
        };
        match self.seal_file(&tenant, &record).await {
            Ok(()) => json(200, &file_object(&record)),
            Err(refusal) => *refusal,
        }
    }

    async fn take_form(&self, mut form: Form<'_>, tenant: &str, key: Option<String>) -> Result<FileRecord, Refusal> {
        let mut taken = None;
        while let Some(field) = form.next_field().await? {
            match field.name() {
                Some("file") if taken.is_none() => {
                    taken = Some(self.take_file(field, &form.buffer, tenant, key.as_deref()).await?)
                }
                Some("file") => return Err(Box::new(refuse(ResultCode::DuplicateField, "file"))),
                Some("purpose") => {
                    let purpose = field.text().await.map_err(|fault| bad(&fault.to_string()))?;
                    if purpose != "batch" {
                        return Err(bad("purpose must be batch"));
                    }
                }
                _ => {}
            }
        }
        taken.ok_or_else(|| bad("the form has no file"))
    }

    /// Seals a file whose form is known to be whole.
    async fn seal_file(&self, tenant: &str, record: &FileRecord) -> Result<(), Refusal> {
        let seal =
            SealFile { file: record.file.clone(), items: record.items, size: record.size, content: record.content };
        self.commit(tenant, CommandBody::SealFile(seal)).await
    }

    async fn take_file(
        &self,
        mut field: multer::Field<'_>,
        buffer: &FormBuffer,
        tenant: &str,
        key: Option<&str>,
    ) -> Result<FileRecord, Refusal> {
        let mut record = FileRecord {
            file: format!("file-{:032x}", object_number(tenant, key)),
            tenant: tenant.to_owned(),
            name: field.file_name().unwrap_or("items.jsonl").to_owned(),
            created_seconds: wall_seconds(),
            ..FileRecord::default()
        };
        let create = CreateFile {
            file: record.file.clone(),
            tenant: tenant.to_owned(),
            name: record.name.clone(),
            created_seconds: record.created_seconds,
        };
        self.commit(tenant, CommandBody::CreateFile(create)).await?;
        let mut lines = LineSplitter::default();
        let mut part = Vec::new();
        let mut part_bytes = 0;
        loop {
            let piece = tokio::time::timeout(PIECE_TIME, field.chunk())
                .await
                .map_err(|_| Box::new(refuse(ResultCode::SlowBody, "")))?
                .map_err(|fault| bad(&fault.to_string()))?;
            buffer.note_given();
            let last = piece.is_none();
            record.size += piece.as_ref().map_or(0, |piece| piece.len() as u64);
            for line in lines.take(piece)? {
                part_bytes += line.len();
                part.push(read_item(record.items + part.len() as u64, &line)?);
                if part.len() >= ITEMS_TOGETHER || part_bytes >= BYTES_TOGETHER {
                    self.add_items(tenant, &mut record, &mut part).await?;
                    part_bytes = 0;
                }
            }
            if last {
                self.add_items(tenant, &mut record, &mut part).await?;
                return Ok(record);
            }
        }
    }

    async fn add_items(&self, tenant: &str, record: &mut FileRecord, part: &mut Vec<Item>) -> Result<(), Refusal> {
        if part.is_empty() {
            return Ok(());
        }
        record.items += part.len() as u64;
        if record.items > ITEM_LIMIT {
            return Err(Box::new(refuse(ResultCode::TooLarge, "a file holds at most 1000000 items")));
        }
        let before = record.content;
        // Parts are cut by content alone, so that a resend has the same ones.
        record.content = part.iter().fold(before, |content, item| stable_pair_hash(stable_hash(&item.body), content));
        let add = AddItems { file: record.file.clone(), items: std::mem::take(part), before, after: record.content };
        self.commit(tenant, CommandBody::AddItems(add)).await
    }

    /// Commits a command that must come to `Done`.
    pub(crate) async fn commit(&self, tenant: &str, body: CommandBody) -> Result<(), Refusal> {
        let outcome = self.backend.propose(tenant, Command { body: Some(body) }).await;
        let outcome = outcome.map_err(|code| Box::new(refuse(code, "")))?;
        match ResultCode::from_number(outcome.code) {
            Some(ResultCode::Done | ResultCode::Accepted) => Ok(()),
            Some(code) => Err(Box::new(refuse(code, &outcome.identity))),
            None => Err(Box::new(refuse(ResultCode::OutcomeUnknown, &outcome.identity))),
        }
    }

    pub(crate) async fn show_file(&self, tenant: String, file: &str) -> Response<Body> {
        let request = ReadRequest { tenant: tenant.clone(), file: file.to_owned(), ..ReadRequest::default() };
        match self.backend.read(request).await {
            Ok(answer) => match answer.file.filter(|record| record.tenant == tenant) {
                Some(record) => json(200, &file_object(&record)),
                None => refuse(ResultCode::NotFound, file),
            },
            Err(code) => refuse(code, file),
        }
    }

    /// Streams the lines of an input file, or the results of a job.
    pub(crate) async fn file_content(&self, tenant: String, file: &str) -> Response<Body> {
        let wanted = Wanted::of_name(file);
        let mut request = wanted.request(&tenant);
        let first = match self.backend.read(request.clone()).await {
            Ok(answer) => answer,
            Err(code) => return refuse(code, file),
        };
        let of_tenant = match wanted {
            Wanted::Input(_) => first.file.as_ref().is_some_and(|record| record.tenant == tenant),
            Wanted::Output(_) | Wanted::Errors(_) => first.jobs.first().is_some_and(|record| record.tenant == tenant),
        };
        if !of_tenant {
            return refuse(ResultCode::NotFound, file);
        }
        let (sender, body) = channel(4);
        let gateway = self.clone();
        tokio::spawn(async move {
            let mut answer = first;
            loop {
                let text: String =
                    answer.lines.iter().filter(|line| wanted.includes(line)).map(|line| wanted.line(line)).collect();
                if !text.is_empty() && !sender.send(text).await {
                    return;
                }
                let Some(end) = answer.lines.last().filter(|_| !answer.last) else { return };
                request.after = end.position + 1;
                answer = match gateway.backend.read(request.clone()).await {
                    Ok(answer) => answer,
                    // A broken-off body tells the reader that it isn't whole.
                    Err(_) => return sender.abort().await,
                };
            }
        });
        let mut response = Response::new(body);
        let value = hyper::header::HeaderValue::from_static("application/jsonl");
        response.headers_mut().insert(CONTENT_TYPE, value);
        response
    }
}

/// What a file's identity stands for.
enum Wanted {
    Input(String),
    Output(String),
    Errors(String),
}

impl Wanted {
    fn of_name(file: &str) -> Self {
        if let Some(job) = file.strip_prefix(OUTPUT_PREFIX) {
            return Wanted::Output(job.to_owned());
        }
        match file.strip_prefix(ERROR_PREFIX) {
            Some(job) => Wanted::Errors(job.to_owned()),
            None => Wanted::Input(file.to_owned()),
        }
    }

    fn request(&self, tenant: &str) -> ReadRequest {
        let base = ReadRequest { tenant: tenant.to_owned(), most: LINES_TOGETHER, ..ReadRequest::default() };
        match self {
            Wanted::Input(file) => ReadRequest { file: file.clone(), items: true, ..base },
            Wanted::Output(job) | Wanted::Errors(job) => ReadRequest { job: job.clone(), results: true, ..base },
        }
    }

    fn includes(&self, line: &ResultLine) -> bool {
        let done = line.code == ResultCode::Done.number();
        match self {
            Wanted::Input(_) => true,
            Wanted::Output(_) => done,
            Wanted::Errors(_) => !done,
        }
    }

    fn line(&self, line: &ResultLine) -> String {
        let custom_id = serde_json::Value::from(line.custom_id.as_str());
        let body = String::from_utf8_lossy(&line.body);
        match self {
            Wanted::Input(_) => format!("{{\"custom_id\":{custom_id},\"body\":{body}}}\n"),
            Wanted::Output(job) => format!(
                "{{\"id\":\"{job}-{}\",\"custom_id\":{custom_id},\"response\":{{\"status_code\":{},\"request_id\":\"{job}-{}\",\"body\":{body}}},\"error\":null}}\n",
                line.position, line.status, line.position
            ),
            Wanted::Errors(job) => {
                let message = serde_json::Value::from(body.as_ref());
                format!(
                    "{{\"id\":\"{job}-{}\",\"custom_id\":{custom_id},\"response\":null,\"error\":{{\"code\":{},\"message\":{message}}}}}\n",
                    line.position, line.code
                )
            }
        }
    }
}

/// Identity of the file with a job's results.
pub(crate) fn output_file(job: &str) -> String {
    format!("{OUTPUT_PREFIX}{job}")
}

/// Identity of the file with a job's failed items.
pub(crate) fn error_file(job: &str) -> String {
    format!("{ERROR_PREFIX}{job}")
}

/// Number of an object that a caller makes: it derives from tenant and
/// idempotency key, so that a resend finds the first one.
pub(crate) fn object_number(tenant: &str, key: Option<&str>) -> u128 {
    let Some(key) = key else { return rand::random() };
    let high = stable_hash(format!("{tenant}\n{key}").as_bytes());
    let low = stable_hash(format!("{key}\n{tenant}\n").as_bytes());
    u128::from(high) << 64 | u128::from(low)
}

/// Splits pieces of a body into lines.
#[derive(Default)]
struct LineSplitter {
    rest: Vec<u8>,
}

impl LineSplitter {
    /// Takes a piece, or the end of the body, and gives the whole lines.
    fn take(&mut self, piece: Option<Bytes>) -> Result<Vec<Vec<u8>>, Refusal> {
        let Some(piece) = piece else {
            let rest = std::mem::take(&mut self.rest);
            return Ok(if rest.trim_ascii().is_empty() { Vec::new() } else { vec![rest] });
        };
        self.rest.extend_from_slice(&piece);
        let mut lines = Vec::new();
        let mut start = 0;
        while let Some(length) = self.rest[start..].iter().position(|byte| *byte == b'\n') {
            let line = &self.rest[start..start + length];
            if !line.trim_ascii().is_empty() {
                lines.push(line.to_vec());
            }
            start += length + 1;
        }
        self.rest.drain(..start);
        if self.rest.len() > LINE_LIMIT {
            return Err(Box::new(refuse(ResultCode::TooLarge, "a line holds at most 1048576 bytes")));
        }
        Ok(lines)
    }
}

fn read_item(position: u64, line: &[u8]) -> Result<Item, Refusal> {
    let at_line = |text: String| bad(&format!("line {}: {text}", position + 1));
    read_object(line).map_err(|fault| at_line(format!("{fault:?}")))?;
    let input: InputLine = serde_json::from_slice(line).map_err(|fault| at_line(fault.to_string()))?;
    let body = input.body.ok_or_else(|| at_line("the line has no body".into()))?;
    let body = Bytes::copy_from_slice(body.get().as_bytes());
    Ok(Item { position, custom_id: input.custom_id, body })
}

/// A form as it arrives.
struct Form<'a> {
    parts: multer::Multipart<'a>,
    buffer: FormBuffer,
}

impl<'a> Form<'a> {
    async fn next_field(&mut self) -> Result<Option<multer::Field<'a>>, Refusal> {
        let field = tokio::time::timeout(PIECE_TIME, self.parts.next_field()).await;
        let field = field.map_err(|_| Box::new(refuse(ResultCode::SlowBody, "")))?;
        self.buffer.note_given();
        field.map_err(|fault| bad(&fault.to_string()))
    }
}

/// Holds memory for an upload: the line that is read, the items that are committed together,
/// and the copies of both.
fn hold_upload(extensions: &Extensions) -> Result<Option<Arc<ArrivingBody>>, NoRoom> {
    let Some(request) = extensions.get::<Arc<RequestHold>>() else { return Ok(None) };
    request.hold_arriving(UPLOAD_BYTES).map(|hold| Some(Arc::new(hold)))
}

/// Completes when the upload is to end for others.
async fn evicted(hold: Option<Arc<ArrivingBody>>) {
    match hold {
        Some(hold) => hold.evicted().await,
        None => std::future::pending().await,
    }
}

fn bad(detail: &str) -> Refusal {
    Box::new(refuse(ResultCode::BadRequest, detail))
}

fn file_object(record: &FileRecord) -> serde_json::Value {
    serde_json::json!({
        "id": record.file,
        "object": "file",
        "bytes": record.size,
        "created_at": record.created_seconds,
        "filename": record.name,
        "purpose": "batch",
        "status": "processed",
    })
}

pub(crate) fn wall_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs())
}
