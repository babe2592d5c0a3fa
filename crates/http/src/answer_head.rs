//! Whether the head of an answer can be used.
//!
//! The HTTP library rejects what it can't parse. It accepts heads that state the end of the body
//! in two ways or in a way that it can't find, and statuses that end no request. Whoever reads an
//! answer checks its head with [`check_head`] before anything of it is used or passed on.

use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode};
use latchwheel_core::answer_end::Framing;
use std::sync::Arc;
use tokio::sync::Notify;

/// The only transfer coding that requests of this program allow.
const CHUNKED: &str = "chunked";

/// Why a head can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadFault {
    /// The status ends no request: it is interim or beyond the defined classes.
    Status,
    /// The body has other codings than chunks, or chunks more than once.
    TransferCoding,
    /// The length is no number, or several differ.
    Length,
    /// A length stands beside chunks (RFC 9112, section 6.3).
    LengthBesideChunks,
    /// The head states a body that its status can't have (RFC 9110, section 8.6).
    BodyNotAllowed,
}

impl HeadFault {
    /// Reason for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            HeadFault::Status => "unusable_status",
            HeadFault::TransferCoding => "unusable_transfer_coding",
            HeadFault::Length => "unusable_length",
            HeadFault::LengthBesideChunks => "length_beside_chunks",
            HeadFault::BodyNotAllowed => "body_not_allowed",
        }
    }
}

/// Checks the head of the answer to a request of this method, and returns how the end of its body
/// is marked. A length that is stated several times stands in the head once afterwards.
///
/// # Errors
/// [`HeadFault`]; nothing of the answer may be used, nor its connection.
pub fn check_head<B>(method: &Method, answer: &mut Response<B>) -> Result<Framing, HeadFault> {
    let status = answer.status();
    if status.is_informational() || status.as_u16() > 599 {
        return Err(HeadFault::Status);
    }
    let is_chunked = is_chunked(answer.headers())?;
    let length = content_length(answer.headers())?;
    if is_chunked && length.is_some() {
        return Err(HeadFault::LengthBesideChunks);
    }
    if status == StatusCode::NO_CONTENT && (is_chunked || length.is_some_and(|length| length > 0)) {
        return Err(HeadFault::BodyNotAllowed);
    }
    if let Some(length) = length {
        answer.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    let has_no_body = *method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    Ok(match () {
        () if is_chunked => Framing::Chunks,
        () if has_no_body || length.is_some() => Framing::Length,
        () => Framing::Connection,
    })
}

fn is_chunked(headers: &HeaderMap) -> Result<bool, HeadFault> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return Ok(false) };
    let is_chunked = coding.to_str().is_ok_and(|coding| coding.trim().eq_ignore_ascii_case(CHUNKED));
    if is_chunked && codings.next().is_none() {
        Ok(true)
    } else {
        Err(HeadFault::TransferCoding)
    }
}

fn content_length(headers: &HeaderMap) -> Result<Option<u64>, HeadFault> {
    let mut length = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        for stated in value.to_str().map_err(|_| HeadFault::Length)?.split(',') {
            let stated = parse_length(stated.trim()).ok_or(HeadFault::Length)?;
            if length.is_some_and(|length| length != stated) {
                return Err(HeadFault::Length);
            }
            length = Some(stated);
        }
    }
    Ok(length)
}

fn parse_length(text: &str) -> Option<u64> {
    // Parsing a number accepts a sign.
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok())?
}

/// Tells of interim answers that state a body, which none can have. The HTTP library skips the
/// heads of interim answers and waits for the next one, which never follows where a server sent
/// its answer under such a status.
#[derive(Clone, Debug, Default)]
pub struct InterimHeads(Arc<Notify>);

impl InterimHeads {
    /// Observes the interim answers to a request that will be sent over HTTP/1.1.
    pub fn of<B>(request: &mut Request<B>) -> Self {
        let observed = Self::default();
        let fault = observed.0.clone();
        hyper::ext::on_informational(request, move |interim| {
            let headers = interim.headers();
            if headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING) {
                fault.notify_one();
            }
        });
        observed
    }

    /// Waits for an interim answer that states a body.
    pub async fn fault(&self) -> HeadFault {
        self.0.notified().await;
        HeadFault::Status
    }
}
