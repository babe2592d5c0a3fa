//! The callers' interface.

use crate::backend::Backend;
use crate::error::refuse;
use crate::online::read_online;
use crate::router::Gateway;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use latchwheel_core::code::ResultCode;
use latchwheel_core::table::Class;
use latchwheel_http::{json, Body};
use std::collections::BTreeSet;

impl<B: Backend> Gateway<B> {
    pub(crate) async fn route_caller(&self, request: Request<Incoming>, path: &str, tenant: String) -> Response<Body> {
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let method = request.method().clone();
        match (&method, parts.as_slice()) {
            (&Method::GET, ["v1", "models"]) => self.models(),
            (&Method::POST, ["v1", "completions"] | ["v1", "chat", "completions"]) => {
                self.online(request, path, tenant).await
            }
            (&Method::POST, ["v1", "files"]) => self.upload_file(request, tenant).await,
            (&Method::GET, ["v1", "files", file]) => self.show_file(tenant, file).await,
            (&Method::GET, ["v1", "files", file, "content"]) => self.file_content(tenant, file).await,
            (&Method::POST, ["v1", "batches"]) => self.create_batch(request, tenant).await,
            (&Method::GET, ["v1", "batches"]) => self.list_batches(request.uri().query(), tenant).await,
            (&Method::GET, ["v1", "batches", job]) => self.show_batch(tenant, job).await,
            (&Method::POST, ["v1", "batches", job, "cancel"]) => self.cancel_batch(tenant, job).await,
            (_, ["v1", "models" | "completions" | "files" | "batches", ..] | ["v1", "chat", "completions"]) => {
                refuse(ResultCode::BadMethod, method.as_str())
            }
            _ => refuse(ResultCode::NotFound, path),
        }
    }

    fn models(&self) -> Response<Body> {
        let table = self.backend.table();
        let online = table.rows.values().filter(|row| row.class == Class::Online);
        let names: BTreeSet<&str> =
            online.map(|row| if row.model.is_empty() { row.service.as_str() } else { row.model.as_str() }).collect();
        let data: Vec<serde_json::Value> = names
            .into_iter()
            .map(|name| serde_json::json!({ "id": name, "object": "model", "created": 0, "owned_by": "latchwheel" }))
            .collect();
        json(200, &serde_json::json!({ "object": "list", "data": data }))
    }

    async fn online(&self, request: Request<Incoming>, path: &str, tenant: String) -> Response<Body> {
        if let Some(refusal) = self.refuse_new_work() {
            return refusal;
        }
        let (head, body) = request.into_parts();
        let body = match self.read_body(&head, body).await {
            Ok(body) => body,
            Err(refusal) => return *refusal,
        };
        match read_online(&self.backend.table(), tenant, path, &head.headers, &body.bytes) {
            Ok(online) => self.backend.online(online).await,
            Err(refusal) => *refusal,
        }
    }
}
