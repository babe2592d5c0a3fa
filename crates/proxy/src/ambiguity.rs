//! Requests that a server may read otherwise than the node.

use crate::dialect::HeaderNames;
use hyper::header::{HeaderMap, HeaderName, HOST, TRANSFER_ENCODING};

const CHUNKED: &str = "chunked";

/// Whether a server may take a request for another one than the node does: it carries
/// two identities, of itself or of what it continues, or two hosts, of which each may choose one, or a body in a coding that is
/// told in a header of this connection only, so that the server would take the coded
/// bytes for the body.
pub(crate) fn is_ambiguous(headers: &HeaderMap, names: &HeaderNames) -> bool {
    let identities = [&names.request_id, &names.resumes];
    identities.into_iter().any(|name| stands_twice(headers, name))
        || stands_twice(headers, &HOST)
        || has_coded_body(headers)
}

fn stands_twice(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers.get_all(name).iter().count() > 1
}

/// Chunks are taken apart here; any other coding would have to be undone too.
fn has_coded_body(headers: &HeaderMap) -> bool {
    let codings = || headers.get_all(TRANSFER_ENCODING).iter();
    let is_chunked = |coding: &str| coding.trim().eq_ignore_ascii_case(CHUNKED);
    codings().count() > 1 || codings().any(|coding| !coding.to_str().is_ok_and(is_chunked))
}
