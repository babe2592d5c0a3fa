//! The operators' interface under `/admin/v1`.

use crate::backend::{Backend, TenantKey};
use crate::error::refuse;
use crate::keys::{hash_key, new_key};
use crate::router::Gateway;
use crate::strict_json::read_object;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ETAG, IF_MATCH};
use hyper::{HeaderMap, Method, Request, Response};
use latchwheel_core::code::ResultCode;
use latchwheel_core::configuration::EditOutcome;
use latchwheel_core::table::{Change, Edit, Row, Table, TenantKeyHash, MAX_ROWS};
use latchwheel_http::{json, Body};
use latchwheel_protocol::v1::ReadRequest;

const OPERATOR_HEADER: &str = "x-latchwheel-operator";
const KEY_LIST_LIMIT: u32 = 100;

type Refusal = Box<Response<Body>>;

impl<B: Backend> Gateway<B> {
    pub(crate) async fn route_operator(&self, request: Request<Incoming>, path: &str) -> Response<Body> {
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let method = request.method().clone();
        match (&method, parts.as_slice()) {
            (&Method::GET, ["admin", "v1", "table"]) => table_response(&self.backend.table()),
            (&Method::GET, ["admin", "v1", "table", "history"]) => self.history(),
            (&Method::GET, ["admin", "v1", "table", "revisions"]) => self.revisions(),
            (&Method::GET, ["admin", "v1", "table", "rows", name]) => self.show_row(name),
            (&Method::PUT, ["admin", "v1", "table", "rows", name]) => self.put_row(request, name).await,
            (&Method::DELETE, ["admin", "v1", "table", "rows", name]) => self.delete_row(request.headers(), name).await,
            (&Method::GET, ["admin", "v1", "nodes"]) => json(200, &self.backend.nodes()),
            (&Method::GET, ["admin", "v1", "servers"]) => json(200, &self.backend.servers()),
            (&Method::GET, ["admin", "v1", "tenants", tenant, "jobs"]) => self.jobs_of(tenant).await,
            (&Method::POST, ["admin", "v1", "tenants", tenant, "keys"]) => {
                self.make_key(request.headers(), tenant).await
            }
            (_, ["admin", "v1", "table" | "nodes" | "servers" | "tenants", ..]) => {
                refuse(ResultCode::BadMethod, method.as_str())
            }
            _ => refuse(ResultCode::NotFound, path),
        }
    }

    fn history(&self) -> Response<Body> {
        let records: Vec<serde_json::Value> = self
            .backend
            .history()
            .iter()
            .map(|record| {
                serde_json::json!({
                    "revision": record.revision,
                    "operator": record.edit.operator,
                    "change": record.edit.change,
                })
            })
            .collect();
        json(200, &records)
    }

    /// How far the present revision is in force.
    fn revisions(&self) -> Response<Body> {
        let revision = self.backend.table().revision;
        let nodes = self.backend.nodes();
        let behind: Vec<&str> =
            nodes.iter().filter(|node| node.revision < revision).map(|node| node.name.as_str()).collect();
        json(200, &serde_json::json!({ "revision": revision, "nodes": nodes.len(), "behind": behind }))
    }

    fn show_row(&self, name: &str) -> Response<Body> {
        let table = self.backend.table();
        match table.rows.get(name) {
            Some(row) => with_revision(json(200, row), table.revision),
            None => refuse(ResultCode::NotFound, name),
        }
    }

    async fn put_row(&self, request: Request<Incoming>, name: &str) -> Response<Body> {
        let (head, body) = request.into_parts();
        let body = match self.read_body(&head, body).await {
            Ok(body) => body,
            Err(refusal) => return *refusal,
        };
        let row = match read_row(&body.bytes, name) {
            Ok(row) => row,
            Err(refusal) => return *refusal,
        };
        let table = self.backend.table();
        if table.rows.len() >= MAX_ROWS && !table.rows.contains_key(name) {
            return refuse(ResultCode::BadRow, "the table holds at most 20000 rows");
        }
        self.edit(&head.headers, Change::Put(row)).await
    }

    async fn delete_row(&self, headers: &HeaderMap, name: &str) -> Response<Body> {
        if !self.backend.table().rows.contains_key(name) {
            return refuse(ResultCode::NotFound, name);
        }
        self.edit(headers, Change::Delete(name.to_owned())).await
    }

    async fn edit(&self, headers: &HeaderMap, change: Change) -> Response<Body> {
        let based_on = match if_match(headers) {
            Ok(based_on) => based_on,
            Err(refusal) => return *refusal,
        };
        let operator = headers.get(OPERATOR_HEADER).and_then(|value| value.to_str().ok()).unwrap_or("operator");
        let edit = Edit { identity: rand::random(), operator: operator.to_owned(), change };
        match self.backend.edit(edit, based_on).await {
            EditOutcome::InForce(revision) => {
                with_revision(json(200, &serde_json::json!({ "revision": revision })), revision)
            }
            EditOutcome::Conflict(revision) => {
                with_revision(refuse(ResultCode::RevisionConflict, &format!("present: {revision}")), revision)
            }
            EditOutcome::Unknown => refuse(ResultCode::PlatformAway, ""),
        }
    }

    async fn jobs_of(&self, tenant: &str) -> Response<Body> {
        let request =
            ReadRequest { tenant: tenant.to_owned(), jobs: true, most: KEY_LIST_LIMIT, ..ReadRequest::default() };
        match self.backend.read(request).await {
            Ok(answer) => {
                let jobs: Vec<serde_json::Value> = answer
                    .jobs
                    .iter()
                    .map(|record| {
                        serde_json::json!({
                            "id": record.job,
                            "row": record.row,
                            "items": record.items,
                            "completed": record.completed,
                            "failed": record.failed,
                            "cancelled": record.cancelled,
                        })
                    })
                    .collect();
                json(200, &jobs)
            }
            Err(code) => refuse(code, tenant),
        }
    }

    async fn make_key(&self, headers: &HeaderMap, tenant: &str) -> Response<Body> {
        let key = new_key();
        let added = TenantKeyHash { tenant: tenant.to_owned(), hash: hash_key(&key) };
        let answer = self.edit(headers, Change::AddKey(added)).await;
        if !answer.status().is_success() {
            return answer;
        }
        json(200, &TenantKey { tenant: tenant.to_owned(), key })
    }
}

fn table_response(table: &Table) -> Response<Body> {
    let rows: Vec<&Row> = table.rows.values().map(AsRef::as_ref).collect();
    let body = serde_json::json!({ "revision": table.revision, "rows": rows });
    with_revision(json(200, &body), table.revision)
}

fn with_revision(mut response: Response<Body>, revision: u64) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(&format!("\"{revision}\"")) {
        response.headers_mut().insert(ETAG, value);
    }
    response
}

fn if_match(headers: &HeaderMap) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(IF_MATCH) else { return Ok(None) };
    let revision = value.to_str().ok().and_then(|text| text.trim_matches('"').parse().ok());
    revision.map(Some).ok_or_else(|| Box::new(refuse(ResultCode::BadHeader, "if-match")))
}

fn read_row(bytes: &[u8], name: &str) -> Result<Row, Refusal> {
    let mut object = read_object(bytes).map_err(|fault| Box::new(crate::online::refuse_json(&fault)))?;
    if object.get("name").is_some_and(|given| given != name) {
        return Err(Box::new(refuse(ResultCode::BadRow, "name differs from the path")));
    }
    object.insert("name".into(), name.into());
    let row: Row = serde_json::from_value(object.into())
        .map_err(|fault| Box::new(refuse(ResultCode::BadRow, &fault.to_string())))?;
    row.check().map_err(|fault| {
        Box::new(refuse(ResultCode::BadRow, &format!("{}: allowed: {}", fault.field, fault.allowed)))
    })?;
    Ok(row)
}
