//! Online requests: read, checked, and made ready for an engine.

use crate::error::refuse;
use crate::strict_json::{read_object, JsonFault};
use bytes::Bytes;
use hyper::{HeaderMap, Response};
use latchwheel_core::code::ResultCode;
use latchwheel_core::identity::stable_hash;
use latchwheel_core::prefix::block_hashes;
use latchwheel_core::table::{Class, Row, Table};
use latchwheel_http::Body;
use serde_json::{Map, Value};
use std::sync::Arc;
use std::time::Duration;

/// Header that names the row.
pub const ROW_HEADER: &str = "x-latchwheel-row";
const REPEATABLE_HEADER: &str = "x-latchwheel-repeatable";
const DEADLINE_HEADER: &str = "x-latchwheel-deadline-ms";
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const IDEMPOTENCY_LIMIT: usize = 256;
const DEFAULT_TOKENS: u64 = 16;
/// Bytes of text per token, for the estimate of cost.
const BYTES_PER_TOKEN: usize = 4;
const TOKEN_LIMIT: u64 = 1_000_000;

/// An online request that has passed all checks.
#[derive(Clone, Debug)]
pub struct OnlineRequest {
    /// Identity drawn by the gateway, or given by a forwarding node.
    pub identity: String,
    /// Tenant.
    pub tenant: String,
    /// Row that it belongs to.
    pub row: Arc<Row>,
    /// Path of the engine's interface.
    pub path: String,
    /// Body for the engine.
    pub body: Bytes,
    /// Whether the answer is streamed.
    pub streamed: bool,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// Hash of what the caller sent, for the idempotency key.
    pub request_hash: u64,
    /// Time until the answer is worth nothing.
    pub deadline: Option<Duration>,
    /// Tokens of the prompt and the longest answer.
    pub cost: u32,
    /// Hashes of the prompt's blocks.
    pub blocks: Arc<[u64]>,
}

/// Reads an online request.
///
/// # Errors
/// The refusal to send.
pub fn read_online(
    table: &Table,
    tenant: String,
    path: &str,
    headers: &HeaderMap,
    bytes: &[u8],
) -> Result<OnlineRequest, Box<Response<Body>>> {
    let mut object = read_object(bytes).map_err(|fault| Box::new(refuse_json(&fault)))?;
    let row = find_row(table, headers, &object)?;
    let prompt = prompt_of(path, &object)?;
    let streamed = boolean(&object, "stream")?;
    let wanted = wanted_tokens(&object)?;
    if !row.model.is_empty() {
        object.insert("model".into(), Value::String(row.model.clone()));
    }
    object.insert("priority".into(), Value::from(0));
    object.insert("max_tokens".into(), Value::from(wanted));
    let cost = prompt.len().div_ceil(BYTES_PER_TOKEN) as u64 + wanted;
    let deadline = header_number(headers, DEADLINE_HEADER)?
        .or((row.deadline_milliseconds > 0).then_some(row.deadline_milliseconds))
        .map(Duration::from_millis);
    Ok(OnlineRequest {
        identity: format!("{:032x}", rand::random::<u128>()),
        tenant,
        row,
        path: path.to_owned(),
        body: serde_json::to_vec(&object).unwrap_or_default().into(),
        streamed,
        repeatable: header_boolean(headers, REPEATABLE_HEADER)?.unwrap_or(true),
        idempotency_key: idempotency_key(headers)?,
        request_hash: stable_hash(bytes),
        deadline,
        cost: cost.min(u64::from(u32::MAX)) as u32,
        blocks: block_hashes(prompt.as_bytes()).into(),
    })
}

/// Makes a batch item's body ready for an engine. Returns the body, the
/// tokens of prompt and longest answer, and the prompt's block hashes.
///
/// # Errors
/// What is wrong with the item.
pub fn prepare_item(path: &str, row: &Row, priority: i32, bytes: &[u8]) -> Result<(Bytes, u32, Arc<[u64]>), String> {
    let mut object = read_object(bytes).map_err(|fault| format!("{fault:?}"))?;
    let prompt = prompt_text(path, &object).ok_or("the item has no prompt")?;
    let wanted = object.get("max_tokens").and_then(Value::as_u64).unwrap_or(DEFAULT_TOKENS).clamp(1, TOKEN_LIMIT);
    if !row.model.is_empty() {
        object.insert("model".into(), Value::String(row.model.clone()));
    }
    object.insert("stream".into(), Value::Bool(false));
    object.insert("priority".into(), Value::from(priority));
    object.insert("on_disconnect".into(), Value::from("pause"));
    let cost = prompt.len().div_ceil(BYTES_PER_TOKEN) as u64 + wanted;
    let body = serde_json::to_vec(&object).unwrap_or_default().into();
    Ok((body, cost as u32, block_hashes(prompt.as_bytes()).into()))
}

pub(crate) fn refuse_json(fault: &JsonFault) -> Response<Body> {
    match fault {
        JsonFault::Invalid(text) => refuse(ResultCode::BadRequest, text),
        JsonFault::Duplicate(field) => refuse(ResultCode::DuplicateField, field),
    }
}

fn find_row(table: &Table, headers: &HeaderMap, object: &Map<String, Value>) -> Result<Arc<Row>, Box<Response<Body>>> {
    let model = object.get("model").and_then(Value::as_str).unwrap_or_default();
    let row = match headers.get(ROW_HEADER) {
        None => table.row_for(Class::Online, model),
        Some(value) => {
            let name = value.to_str().map_err(|_| Box::new(refuse(ResultCode::BadHeader, ROW_HEADER)))?;
            table.rows.get(name).filter(|row| row.class == Class::Online)
        }
    };
    row.cloned().ok_or_else(|| Box::new(refuse(ResultCode::NoRow, model)))
}

fn prompt_of(path: &str, object: &Map<String, Value>) -> Result<String, Box<Response<Body>>> {
    let missing = || Box::new(refuse(ResultCode::BadRequest, "the request has no prompt or messages"));
    prompt_text(path, object).filter(|prompt| !prompt.is_empty()).ok_or_else(missing)
}

/// The prompt as the engine will see it, for its length and its prefix.
fn prompt_text(path: &str, object: &Map<String, Value>) -> Option<String> {
    if !path.ends_with("/chat/completions") {
        return object.get("prompt")?.as_str().map(str::to_owned);
    }
    let part = |message: &Value, name: &str| message.get(name).and_then(Value::as_str).unwrap_or_default().to_owned();
    let messages = object.get("messages")?.as_array()?;
    Some(messages.iter().map(|message| format!("{}: {}\n", part(message, "role"), part(message, "content"))).collect())
}

fn boolean(object: &Map<String, Value>, name: &str) -> Result<bool, Box<Response<Body>>> {
    match object.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(Box::new(refuse(ResultCode::BadRequest, &format!("{name} is no boolean")))),
    }
}

fn wanted_tokens(object: &Map<String, Value>) -> Result<u64, Box<Response<Body>>> {
    let value = object.get("max_tokens").or_else(|| object.get("max_completion_tokens"));
    match value {
        None | Some(Value::Null) => Ok(DEFAULT_TOKENS),
        Some(value) => match value.as_u64() {
            Some(number) if (1..=TOKEN_LIMIT).contains(&number) => Ok(number),
            _ => Err(Box::new(refuse(ResultCode::BadRequest, "max_tokens is not from 1 to 1000000"))),
        },
    }
}

fn header_number(headers: &HeaderMap, name: &'static str) -> Result<Option<u64>, Box<Response<Body>>> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    number.map(Some).ok_or_else(|| Box::new(refuse(ResultCode::BadHeader, name)))
}

pub(crate) fn header_boolean(headers: &HeaderMap, name: &'static str) -> Result<Option<bool>, Box<Response<Body>>> {
    match headers.get(name).map(|value| value.as_bytes()) {
        None => Ok(None),
        Some(b"true") => Ok(Some(true)),
        Some(b"false") => Ok(Some(false)),
        Some(_) => Err(Box::new(refuse(ResultCode::BadHeader, name))),
    }
}

pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Box<Response<Body>>> {
    let Some(value) = headers.get(IDEMPOTENCY_HEADER) else { return Ok(None) };
    match value.to_str() {
        Ok(key) if (1..=IDEMPOTENCY_LIMIT).contains(&key.len()) => Ok(Some(key.to_owned())),
        _ => Err(Box::new(refuse(ResultCode::BadHeader, IDEMPOTENCY_HEADER))),
    }
}

pub(crate) fn repeatable_header(headers: &HeaderMap) -> Result<bool, Box<Response<Body>>> {
    Ok(header_boolean(headers, REPEATABLE_HEADER)?.unwrap_or(true))
}
