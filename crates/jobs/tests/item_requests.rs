//! What servers get of a batch item is what its client handed in: path, headers, body and
//! identity, through the store and a worker. What forms no request is never sent.

use latchwheel_core::routes::RequestKind;
use latchwheel_jobs::{
    outgoing_of, run_worker, ItemBody, JobBody, JobDesk, Membership, NodeRecord, NodeRole, Nodes, OwnNode, OwnedJobs,
    Submission, WorkerHandle, WorkerRules,
};
use latchwheel_proxy::{Clock, Shared};
use latchwheel_records::memory::MemoryStore;
use latchwheel_records::{Contact, GuardedStore, WatchCache};
use raw::{head_of, until, whole, RawAct, RawNode, RawRequest, RawServer, LONG};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{TestDialect, HOST};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

#[path = "../../proxy/tests/support/raw.rs"]
mod raw;
#[path = "../../proxy/tests/support/mod.rs"]
mod support;

const SUBMISSION: Submission<'_> = Submission { host: HOST, path: "/path/x", tenant: None, route: None };
const JOB: &str = "job-1";
/// Headers that the node sets itself.
const OWN_HEADERS: [&str; 3] = ["t-deadline", "t-server", "content-length"];

fn item(id: &str, path: &str, headers: &[(&str, &str)], body: &str) -> ItemBody {
    let headers = headers.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned()));
    ItemBody { id: id.into(), path: path.into(), headers: headers.collect(), body: body.into(), tokens: 1 }
}

/// A worker with one server, and a desk on their store.
struct Site {
    desk: JobDesk<MemoryStore>,
    node: RawNode,
    server: RawServer,
    _worker: WorkerHandle,
    _membership: Membership<GuardedStore<MemoryStore>>,
}

impl Site {
    async fn start(acts: Vec<RawAct>) -> Self {
        let server = RawServer::start("server", acts).await;
        let node = RawNode::start(RequestKind::Batch, 3, &[&server]).await;
        let records = MemoryStore::default();
        let contact = Contact::default();
        let store = Arc::new(GuardedStore::new(records.clone(), contact.clone()));
        let cache = WatchCache::new(store.clone(), contact.clone(), Vec::new(), 0);
        let (shared, rules) = (node.shared.clone(), WorkerRules::default());
        let owned = OwnedJobs::new(contact.clone());
        let worker = run_worker(store.clone(), &cache, shared.clone(), owned, "worker", rules);
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let address = socket.local_addr().unwrap().to_string();
        let record = NodeRecord { role: NodeRole::Worker, address, is_upstream: false };
        let own = OwnNode { name: "worker".into(), record, sum_bytes_per_second: 1e6 };
        let membership = Membership::join(store, &cache, contact, shared, &own, socket);
        let desk = JobDesk::new(Arc::new(records), Nodes::default(), 2);
        Self { desk, node, server, _worker: worker, _membership: membership }
    }

    async fn hand_in(&self, items: Vec<ItemBody>) {
        self.desk.take(JOB, &SUBMISSION, JobBody { items }, soon()).await.unwrap();
    }

    /// Runs of the worker at the server.
    fn runs(&self) -> u32 {
        let reports = self.node.shared.dispatcher().reports(self.node.shared.clock.now());
        reports.iter().map(|report| report.own).sum()
    }
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

/// Hands the items in as one job, and gives back what a server got of each, by identity.
async fn run(items: Vec<ItemBody>) -> BTreeMap<String, RawRequest> {
    let count = items.len();
    let answer = RawAct::Write(whole(200, "", "id: 1\ndata: a\n\n"));
    let site = Site::start(vec![answer; count]).await;
    site.hand_in(items).await;
    let end = soon();
    loop {
        let page = site.desk.read(JOB, None, 0, 1 << 20, Duration::from_millis(200)).await;
        if page.is_ok_and(|page| page.results.len() == count) {
            break;
        }
        assert!(Instant::now() < end, "not every item has a result: {:?}", site.server.requests());
    }
    let requests = site.server.requests().into_iter();
    requests.map(|request| (String::from_utf8(request.values("t-id").concat()).unwrap(), request)).collect()
}

fn passed_on(request: &RawRequest) -> BTreeMap<String, Vec<Vec<u8>>> {
    let names = request.headers.iter().map(|(name, _)| name.clone());
    let names = names.filter(|name| !OWN_HEADERS.contains(&name.as_str()));
    names.map(|name| (name.clone(), request.values(&name))).collect()
}

#[tokio::test]
async fn paths_and_bodies_arrive_as_they_were_handed_in() {
    let paths = [
        "/path/item",
        "/path/item?",
        "/path//a/../b?c=%2f&c=%20&&=",
        "//path/a",
        "/path/%00%0d%0a?x=http://other/",
        "/path/caf\u{e9}",
        "/elsewhere",
    ];
    // Empty, one byte, line ends, bytes beyond ASCII, a request.
    let bodies: [(&str, &[u8]); 5] = [
        ("", b""),
        ("AA==", b"\0"),
        ("DQoNCg==", b"\r\n\r\n"),
        ("q83vEjRWeJA=", b"\xab\xcd\xef\x12\x34\x56\x78\x90"),
        ("UE9TVCAvIEhUVFAvMS4xDQoNCg==", b"POST / HTTP/1.1\r\n\r\n"),
    ];
    let mut items = Vec::new();
    let mut expected = BTreeMap::new();
    for (number, path) in paths.iter().enumerate() {
        let (encoded, body) = bodies[number % bodies.len()];
        let id = format!("Item-{number}");
        items.push(item(&id, path, &[], encoded));
        expected.insert(id, (format!("POST {path} HTTP/1.1").into_bytes(), body.to_vec()));
    }
    let got = run(items).await;
    let got: BTreeMap<_, _> = got.into_iter().map(|(id, request)| (id, (request.line, request.body))).collect();
    assert_eq!(got, expected);
}

/// All headers of an item but those that concern one connection, its identity, its host
/// and what the node sets itself.
#[tokio::test]
async fn headers_arrive_as_they_were_handed_in() {
    let headers = [
        ("Model", "m"),
        ("prefix", "9c2e41:300,5d07b8:240"),
        ("list", "b, a"),
        ("LIST", "c"),
        ("empty", ""),
        ("inner", "a  b\tc"),
        ("beyond-ascii", "caf\u{e9}"),
        ("T-Id", "another"),
        ("Host", "other.example"),
        ("Content-Length", "3"),
        ("Transfer-Encoding", "chunked"),
        ("T-Deadline", "5"),
        ("T-Server", "another"),
        ("t-tenant", "another"),
        ("keep-alive", "timeout=5"),
        ("hop", "dropped"),
        ("Connection", "hop, model, t-id, host"),
    ];
    let got = run(vec![item("Id-1", "/path/a", &headers, "YWJj")]).await;
    let request = &got["Id-1"];
    let expected: [(&str, &[&str]); 8] = [
        ("model", &["m"]),
        ("prefix", &["9c2e41:300,5d07b8:240"]),
        ("list", &["c", "b, a"]),
        ("empty", &[""]),
        ("inner", &["a  b\tc"]),
        ("beyond-ascii", &["caf\u{e9}"]),
        ("t-id", &["Id-1"]),
        ("host", &[HOST]),
    ];
    let bytes = |values: &[&str]| values.iter().map(|value| value.as_bytes().to_vec()).collect::<Vec<_>>();
    let expected: BTreeMap<_, _> =
        expected.into_iter().map(|(name, values)| (name.to_owned(), bytes(values))).collect();
    assert_eq!(passed_on(request), expected);
    assert_eq!((request.values("content-length"), &request.body[..]), (vec![b"3".to_vec()], &b"abc"[..]));
    assert_eq!(request.values("t-server"), [b"server"]);
    assert!(request.values("t-deadline").len() == 1 && request.values("t-deadline") != [b"5"]);
}

/// An item that can't be sent as it was handed in is refused with its job.
#[test]
fn what_forms_no_request_is_not_sent() {
    let shared = Shared::new(TestDialect::default(), Clock::start());
    let forms = |item: &ItemBody| outgoing_of(&shared, HOST, None, item).is_some();
    assert!(forms(&item("1", "/path/a", &[("model", "m")], "YWJj")));
    let paths =
        ["", "path/a", "item", "*", "host:80", "http://other/path/a", "/path/a b", "/path/a\r\nx: y", "/path/a\0"];
    for path in paths {
        assert!(!forms(&item("1", path, &[], "")), "path {path:?}");
    }
    for path in ["/path/a#b", "/path/a?b#c", "#"] {
        assert!(!forms(&item("1", path, &[], "")), "a part of the path {path:?} would be lost");
    }
    for id in ["", " ", "1 ", "\t1", "1\r\nx: y", "1\n", "\0"] {
        assert!(!forms(&item(id, "/path/a", &[], "")), "identity {id:?}");
    }
    for (name, value) in
        [("", "a"), ("a b", "a"), ("a:", "a"), ("a\r\nb", "a"), ("a", "a\r\nb: c"), ("a", "a\nb"), ("a", "\0")]
    {
        assert!(!forms(&item("1", "/path/a", &[(name, value)], "")), "header {name:?} {value:?}");
    }
    for body in ["a", "YWJ", "YWJj\n", "YW Jj", "YWJj=", "_-8=", "YWJjY"] {
        assert!(!forms(&item("1", "/path/a", &[], body)), "body {body:?}");
    }
}

/// A server reads late, and the job is ended meanwhile: what it reads afterwards is not
/// the item.
#[tokio::test]
async fn an_item_of_an_ended_job_does_not_arrive_later() {
    let go_on = Arc::new(Notify::new());
    let site = Site::start(vec![RawAct::WriteEarly(String::new(), go_on.clone())]).await;
    let body = "YWJj".repeat(LONG / 3);
    site.hand_in(vec![item("Id-1", "/path/a", &[], &body)]).await;
    until(|| site.server.received().iter().any(|bytes| head_of(bytes).is_some())).await;
    site.desk.end(JOB, None, soon()).await.unwrap();
    until(|| site.runs() == 0).await;
    go_on.notify_one();
    until(|| site.server.ended() == 1).await;
    assert_eq!(site.server.requests(), []);
}
