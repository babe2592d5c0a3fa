//! `table`, `job` and `status`: calls to a node's operators' interface.

use crate::arguments::Arguments;
use crate::exit::Failure;
use bytes::Bytes;
use hyper::{Method, Request};
use latchwheel_http::{full, read_bounded, CallFault, Client};
use std::io::Read;
use std::time::Duration;

const DEFAULT_ADDRESS: &str = "127.0.0.1:8081";
const CALL_TIME: Duration = Duration::from_secs(15);
const ANSWER_LIMIT: usize = 64 << 20;

/// `table`.
pub(crate) async fn table(arguments: &Arguments) -> Result<(), Failure> {
    match (arguments.word(1), arguments.word(2)) {
        ("show", _) => call(arguments, Method::GET, "/admin/v1/table", Bytes::new()).await,
        ("history", _) => call(arguments, Method::GET, "/admin/v1/table/history", Bytes::new()).await,
        ("revisions", _) => call(arguments, Method::GET, "/admin/v1/table/revisions", Bytes::new()).await,
        ("put", "") | ("delete", "") => Err(Failure::Usage("the row's name is missing".into())),
        ("put", name) => {
            let row = read_file(&arguments.need("row")?)?;
            call(arguments, Method::PUT, &format!("/admin/v1/table/rows/{name}"), row).await
        }
        ("delete", name) => {
            call(arguments, Method::DELETE, &format!("/admin/v1/table/rows/{name}"), Bytes::new()).await
        }
        (other, _) => Err(Failure::Usage(format!("table has no command {other:?}"))),
    }
}

/// `job`.
pub(crate) async fn job(arguments: &Arguments) -> Result<(), Failure> {
    let tenant = arguments.need("tenant")?;
    match arguments.word(1) {
        "list" => call(arguments, Method::GET, &format!("/admin/v1/tenants/{tenant}/jobs"), Bytes::new()).await,
        "key" => call(arguments, Method::POST, &format!("/admin/v1/tenants/{tenant}/keys"), Bytes::new()).await,
        other => Err(Failure::Usage(format!("job has no command {other:?}"))),
    }
}

/// `status`.
pub(crate) async fn status(arguments: &Arguments) -> Result<(), Failure> {
    call(arguments, Method::GET, "/admin/v1/nodes", Bytes::new()).await?;
    call(arguments, Method::GET, "/admin/v1/servers", Bytes::new()).await
}

fn read_file(path: &str) -> Result<Bytes, Failure> {
    let fault = |fault: std::io::Error| Failure::Run(format!("{path}: {fault}"));
    if path == "-" {
        let mut text = Vec::new();
        std::io::stdin().read_to_end(&mut text).map_err(fault)?;
        return Ok(text.into());
    }
    std::fs::read(path).map(Bytes::from).map_err(fault)
}

async fn call(arguments: &Arguments, method: Method, path: &str, body: Bytes) -> Result<(), Failure> {
    let address = arguments.option("admin").unwrap_or_else(|| DEFAULT_ADDRESS.into());
    let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
    if let Some(revision) = arguments.option("if-match") {
        request = request.header("if-match", format!("\"{revision}\""));
    }
    if let Some(file) = arguments.option("key-file") {
        let key = read_file(&file)?;
        request = request.header("authorization", format!("Bearer {}", String::from_utf8_lossy(&key).trim()));
    }
    let request = request.body(full(body)).map_err(|fault| Failure::Usage(fault.to_string()))?;
    let exchange = async {
        let response = Client::http1().send(request).await?;
        let status = response.status();
        let bytes = read_bounded(response.into_body(), ANSWER_LIMIT, CALL_TIME).await;
        Ok::<_, CallFault>((status, bytes.map_err(|_| CallFault::MaybeSent)?))
    };
    let (status, bytes) = tokio::time::timeout(CALL_TIME, exchange)
        .await
        .unwrap_or(Err(CallFault::MaybeSent))
        .map_err(|fault| Failure::Unreachable(format!("{address}: {fault}")))?;
    let value: serde_json::Value = serde_json::from_slice(&bytes).unwrap_or_default();
    let text = serde_json::to_string_pretty(&value).unwrap_or_default();
    if status.is_success() {
        println!("{text}");
        return Ok(());
    }
    Err(Failure::Refused(text))
}
