//! Typed log events and their catalogue.

use serde::Serialize;

/// Whether an event may be sampled when there are too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Importance {
    /// Frequent event of normal operation; sampled by request.
    Routine,
    /// A failure or a change of state; never sampled.
    Essential,
}

/// Outcome of an item of a batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemOutcome {
    /// The item has its complete output.
    Completed,
    /// The item failed for good.
    GivenUp,
}

macro_rules! events {
    ($($(#[doc = $text:literal])+ $name:ident = $number:literal, $importance:ident { $($(#[doc = $field_text:literal])+ $field:ident : $type:ty),* $(,)? };)+) => {
        /// A log event; durations are in milliseconds.
        #[derive(Clone, Debug, Serialize)]
        #[serde(untagged)]
        pub enum Event<'a> {
            $($(#[doc = $text])+ $name { $($(#[doc = $field_text])+ $field: $type),* }),+
        }

        impl Event<'_> {
            /// Number, name, importance and meaning of every event.
            pub const CATALOGUE: &'static [(u32, &'static str, Importance, &'static str)] =
                &[$(($number, stringify!($name), Importance::$importance, concat!($($text),+))),+];

            /// Number, name and importance of this event.
            pub fn kind(&self) -> (u32, &'static str, Importance) {
                match self { $(Event::$name { .. } => ($number, stringify!($name), Importance::$importance)),+ }
            }
        }
    };
}

events! {
    /// The process starts.
    Started = 8000, Essential {
        /// Role of the process.
        role: &'a str,
        /// Program version.
        version: &'a str,
        /// Listen addresses.
        listens: &'a str
    };
    /// A planned stop begins.
    Stopping = 8001, Essential {
        /// Time left for requests in progress.
        grace_ms: u64
    };
    /// The process ends.
    Stopped = 8002, Essential {
        /// Requests still in progress.
        unfinished: usize,
        /// Connections of clients that are still open.
        connections: usize
    };
    /// The settings were read again.
    Reloaded = 8003, Essential {
        /// Whether any setting changed.
        changed: bool
    };
    /// Log lines were dropped.
    LinesDropped = 8004, Essential {
        /// Lines dropped because of the line budget.
        over_budget: u64,
        /// Lines dropped because the reader of the log is slow or a line is too long.
        not_taken: u64
    };
    /// A dependency does not answer.
    DependencyLost = 8010, Essential {
        /// Name of the dependency.
        dependency: &'a str,
        /// Reason.
        reason: &'a str
    };
    /// A dependency answers again.
    DependencyRegained = 8011, Essential {
        /// Name of the dependency.
        dependency: &'a str,
        /// Length of the outage.
        away_ms: u64
    };
    /// The node follows records from another source.
    RecordSourceChanged = 8012, Essential {
        /// `store`, or `upstream`: another node that watches the store.
        source: &'a str,
        /// Address of the upstream that was polled last.
        upstream: &'a str,
        /// Whether this upstream answered.
        answered: bool,
        /// Time since the upstream last had an answer from the store.
        age_ms: u64,
        /// Time for which the upstream's calls to the store have failed.
        outage_ms: u64
    };
    /// A source of followed records is behind this node: its records were ignored.
    OlderRecordsNotTaken = 8013, Essential {
        /// Prefix of the records.
        prefix: &'a str,
        /// Revision of the source.
        told: u64,
        /// Revision of this node.
        known: u64
    };
    /// Records from a snapshot are in use, because the store does not answer and no newer records
    /// are available.
    RecordsFromSnapshot = 8050, Essential {
        /// Prefix of the records.
        prefix: &'a str,
        /// Where the snapshot comes from: the own disk, another node, or an upstream without
        /// contact to the store.
        from: &'a str,
        /// Revision of the records.
        revision: u64,
        /// Time since the store last confirmed the records, by the clocks of two nodes.
        age_ms: u64,
        /// Number of records.
        records: usize
    };
    /// A snapshot of records could not be written to disk.
    SnapshotNotKept = 8052, Essential {
        /// Prefix of the records.
        prefix: &'a str,
        /// Reason.
        reason: &'a str
    };
    /// A snapshot file from an earlier start can't be used and is ignored.
    SnapshotUnusable = 8053, Essential {
        /// Folder or file.
        path: &'a str,
        /// Reason.
        reason: &'a str
    };
    /// An upstream did not accept the snapshot that it had requested; it will request one again.
    SnapshotNotHandedOn = 8054, Routine {
        /// Address of the upstream.
        upstream: &'a str,
        /// Reason.
        reason: &'a str
    };
    /// The records in use under a prefix come from another source.
    RecordsOriginChanged = 8055, Essential {
        /// Prefix of the records.
        prefix: &'a str,
        /// The store, an upstream, or a snapshot from before the start.
        origin: &'a str,
        /// Revision of the records.
        revision: u64,
        /// Time since the store confirmed the records, if known.
        age_ms: Option<u64>
    };
    /// The process has a routing table and servers for the first time: held requests continue.
    ServesFromNowOn = 8051, Essential {
        /// Time since the start of the process.
        after_ms: u64,
        /// Number of held requests.
        held: usize
    };
    /// A routing table came into force.
    TableInForce = 8020, Essential {
        /// Version of the table.
        version: u64,
        /// Version of the previous table.
        previous: u64,
        /// Number of routes.
        routes: usize
    };
    /// A routing table was rejected.
    TableRefused = 8021, Essential {
        /// Version of the table in force.
        in_force: u64,
        /// Reason.
        reason: &'a str
    };
    /// A server accepts requests.
    ServerReady = 8030, Essential {
        /// Server id.
        server: &'a str,
        /// Service of the server.
        service: &'a str,
        /// Address of the server.
        address: &'a str,
        /// Version of its software.
        version: &'a str,
        /// Sequence number of its registration.
        sequence: u64
    };
    /// A server is draining: it accepts no new requests.
    ServerDraining = 8031, Essential {
        /// Server id.
        server: &'a str
    };
    /// A server's registration was removed.
    ServerGone = 8032, Essential {
        /// Server id.
        server: &'a str
    };
    /// A server's registration disappeared during a store outage; the server stays in use for now.
    ServerUnconfirmed = 8033, Essential {
        /// Server id.
        server: &'a str
    };
    /// A server ended without draining, and a later start registered under its name.
    ServerRestarted = 8039, Essential {
        /// Server id of the start that ended.
        server: &'a str
    };
    /// A server's registration was ignored: a later one is known.
    ServerRecordIgnored = 8037, Essential {
        /// Server id.
        server: &'a str,
        /// Sequence number of the registration.
        sequence: u64,
        /// Start of the server that wrote the later one, in milliseconds since 1970.
        known_start_ms: u64,
        /// Sequence number of the later one.
        known: u64
    };
    /// A registration was ignored, since it can't be read: it names no server to use.
    ServerRecordUnreadable = 8038, Essential {
        /// Name under which it is registered.
        server: &'a str
    };
    /// A server's process ended while it worked on requests of this node.
    ServerEnded = 8036, Essential {
        /// Server id.
        server: &'a str,
        /// Key of the server in messages between nodes.
        key: &'a str,
        /// Requests of this node that the server worked on.
        requests: usize
    };
    /// Requests with this content, or with this part in their prompts, are quarantined: each server
    /// that ran them ended.
    RequestQuarantined = 8040, Essential {
        /// Digest of the request content, or key of the prompt part.
        request: &'a str,
        /// Whether a content or a prompt part is quarantined.
        kind: &'a str,
        /// Servers that ended while running requests with it, as far as this node knows.
        servers: usize,
        /// Keys of the servers listed in the verdict.
        ended: &'a str,
        /// How often it was quarantined.
        offences: u32,
        /// Length of the quarantine.
        for_ms: u64,
        /// Source of the verdict: this node, another node, or the store.
        source: &'a str
    };
    /// Requests with this content or prompt part are sent to servers again: one ran to completion, or an operator
    /// lifted the quarantine.
    QuarantineLifted = 8041, Essential {
        /// Digest of the request content, or key of the prompt part.
        request: &'a str,
        /// Whether a content or a prompt part was quarantined.
        kind: &'a str,
        /// Source of the change: this node, another node, or the store.
        source: &'a str
    };
    /// A node that decides on quarantines received the first report of a server's end.
    ServerEndNoted = 8044, Essential {
        /// Key of the server.
        key: &'a str,
        /// Digests of the contents that the server worked on, as far as the report lists them.
        requests: &'a str
    };
    /// Several servers ended together without a common request: no request is held for this.
    ServersLostTogether = 8045, Essential {
        /// Keys of the servers.
        ended: &'a str
    };
    /// A request waits for a decision on its quarantine: servers ended while running its content.
    RequestAwaitsVerdict = 8046, Essential {
        /// Request or item id.
        id: &'a str,
        /// Digest of the request content.
        request: &'a str,
        /// Longest wait, unless another server ends.
        left_ms: u64
    };
    /// Reports of ended servers for other nodes were dropped, because too many wait to be sent.
    CrashNewsDropped = 8042, Essential {
        /// Reports that wait to be sent.
        waiting: usize
    };
    /// A quarantine verdict could not be written to the store; the write is retried.
    VerdictNotStored = 8043, Essential {
        /// Digest of the request content.
        request: &'a str,
        /// Reason.
        reason: &'a str
    };
    /// Many servers changed at once, as at a start: the number of servers by change.
    ServersChanged = 8035, Essential {
        /// Servers that accept requests.
        ready: usize,
        /// Servers that are draining.
        draining: usize,
        /// Servers whose registration was removed.
        gone: usize,
        /// Servers whose registration disappeared during a store outage; they stay in use for now.
        unconfirmed: usize
    };
    /// The node became ready or stopped being ready.
    Readiness = 8034, Essential {
        /// Whether the node is ready.
        ready: bool,
        /// Version of the routing table.
        table_version: u64,
        /// Known servers that accept requests.
        servers: usize
    };
    /// A request was sent to a server.
    RequestSent = 8100, Routine {
        /// Request id.
        id: &'a str,
        /// Route of the request.
        route: &'a str,
        /// Server id.
        server: &'a str,
        /// Version of the server's software.
        version: &'a str,
        /// Last event that the client has of the stream; the server continues after it.
        after_event: Option<u64>,
        /// Id of the client's request that brought the first event of the stream, where the
        /// client names one.
        resumes: &'a str,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Expected wait for a slot.
        expected_wait_ms: u64,
        /// Prompt tokens expected not to be in the server's cache.
        uncached_tokens: u32,
        /// Estimated load of the server.
        load: f64,
        /// Whether the server is asked to preempt deferrable work.
        displaces: bool,
        /// Version of the routing table.
        table_version: u64,
        /// Time left until the request's deadline.
        left_ms: u64
    };
    /// A request was answered.
    RequestAnswered = 8101, Routine {
        /// Request id.
        id: &'a str,
        /// Route of the request.
        route: &'a str,
        /// HTTP status.
        status: u16,
        /// Time since the request was read.
        total_ms: u64,
        /// Time from reading the request to the first chunk of the answer.
        first_piece_ms: u64,
        /// Number of attempts.
        attempts: u32,
        /// How the server marked the end of the answer: length, chunks or connection.
        framing: &'a str
    };
    /// An attempt at a server failed.
    AttemptFailed = 8102, Essential {
        /// Request id.
        id: &'a str,
        /// Server id.
        server: &'a str,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Observed failure.
        reason: &'a str,
        /// Connection of the attempt: `new`, `kept` from an earlier request, or `none`.
        connection: &'a str,
        /// Time since the attempt was sent.
        after_ms: u64,
        /// Whether the request is retried at another server.
        goes_on: bool
    };
    /// This node refused a request or gave it up.
    RequestRefused = 8103, Essential {
        /// Request id.
        id: &'a str,
        /// Route of the request.
        route: &'a str,
        /// Result code.
        code: u32,
        /// HTTP status.
        status: u16,
        /// Time since the request was read.
        after_ms: u64,
        /// Time after which the caller should retry.
        come_back_ms: u64,
        /// Version of the routing table.
        table_version: u64
    };
    /// An answer was aborted after its head had been sent to the client.
    AnswerCut = 8104, Essential {
        /// Request id.
        id: &'a str,
        /// Server that sent the last part.
        server: &'a str,
        /// Observed failure.
        reason: &'a str,
        /// How the server marked the end of the answer: length, chunks or connection.
        framing: &'a str,
        /// Time since the request was read.
        after_ms: u64
    };
    /// The client disconnected before its answer was complete.
    ClientGone = 8105, Essential {
        /// Request id.
        id: &'a str,
        /// Server that worked on the request.
        server: &'a str,
        /// Time since the request was read.
        after_ms: u64
    };
    /// The process ended while a request was in progress: its client got no complete answer.
    RequestUnfinished = 8114, Essential {
        /// Request id.
        id: &'a str,
        /// Route of the request.
        route: &'a str,
        /// Server that worked on it; empty if none did.
        server: &'a str,
        /// Time since the request was read.
        after_ms: u64,
        /// Time since it was sent to that server; 0 if there is none.
        sent_ms: u64
    };
    /// A request that would have missed its latency target was held to wait for a free slot.
    RequestHeld = 8106, Essential {
        /// Request id.
        id: &'a str,
        /// Route of the request.
        route: &'a str,
        /// Time for which the request was held.
        held_ms: u64,
        /// Whether the request got a slot in the end.
        served: bool
    };
    /// A request continues a stream that another request began, at the version that began it.
    StreamContinued = 8109, Routine {
        /// Request id.
        id: &'a str,
        /// Route of the request.
        route: &'a str,
        /// Whether a node had a record of the version; otherwise only one version has served for
        /// longer than any stream lasts.
        recorded: bool,
        /// Time since the request was read.
        after_ms: u64
    };
    /// A second attempt at another server ended, or the first attempt ended meanwhile.
    SecondAttempt = 8120, Essential {
        /// Request id.
        id: &'a str,
        /// Route of the request.
        route: &'a str,
        /// Server whose first chunk was overdue.
        server: &'a str,
        /// Expected time to the first chunk at this server.
        expected_ms: u64,
        /// Time from the first attempt to the second.
        waited_ms: u64,
        /// Server of the second attempt.
        second_server: &'a str,
        /// Expected time to the first chunk at the second server.
        second_expected_ms: u64,
        /// The attempt whose answer was delivered: `first`, `second` or `neither`.
        won: &'a str
    };
    /// A request that found no free slot got one after waiting in the queue.
    ClaimGranted = 8110, Routine {
        /// Request id.
        id: &'a str,
        /// Route of the request.
        route: &'a str,
        /// Tenant of the request; empty without one.
        tenant: &'a str,
        /// Precedence; zero goes first.
        precedence: u32,
        /// Work in prompt tokens.
        work: u64,
        /// Time spent waiting.
        waited_ms: u64,
        /// Whether the slot came too late for the latency target.
        late: bool,
        /// Claims ahead in the queue when the request joined it.
        ahead: u32,
        /// Claims in the queue at that moment.
        waiting: u32,
        /// Claims of the same tenant and precedence at that moment.
        tenant_waiting: u32,
        /// Tenants with claims of the same precedence.
        tenants: u32,
        /// Keepers that lost the claim.
        lost: u32
    };
    /// A request got no slot while its caller waited: other claims went first.
    ClaimRefused = 8111, Essential {
        /// Request id.
        id: &'a str,
        /// Route of the request.
        route: &'a str,
        /// Tenant of the request; empty without one.
        tenant: &'a str,
        /// Precedence; zero goes first.
        precedence: u32,
        /// Work in prompt tokens.
        work: u64,
        /// Time spent waiting.
        waited_ms: u64,
        /// Claims ahead in the queue.
        ahead: u32,
        /// Claims in the queue.
        waiting: u32,
        /// Claims of the same tenant and precedence.
        tenant_waiting: u32,
        /// Tenants with claims of the same precedence.
        tenants: u32,
        /// Keepers that lost the claim.
        lost: u32,
        /// Time after which a slot is expected.
        come_back_ms: u64
    };
    /// Claims for slots wait at this node, which is the keeper of the servers; logged at most once
    /// a second.
    ClaimsWait = 8112, Essential {
        /// Claims in the queue.
        claims: usize,
        /// Tenants whose shares are recorded, including those with waiting claims.
        tenants: usize,
        /// Other nodes that have claims here, or had some recently.
        nodes: usize
    };
    /// A new routing table changed the precedence of claims that wait here.
    ClaimsReordered = 8113, Essential {
        /// Version of the table.
        version: u64,
        /// Claims whose precedence changed.
        claims: usize
    };
    /// The connection to a server was lost while the server worked on a request or an item.
    ConnectionLost = 8107, Essential {
        /// Request or item id.
        id: &'a str,
        /// Server id.
        server: &'a str,
        /// Digest of the content; a resend has the same digest.
        request: &'a str,
        /// Keys of the parts of its prompt that other requests may share.
        parts: &'a str,
        /// Time since the request was sent.
        after_ms: u64
    };
    /// A request or item was not sent to any server, because its content or a part of its prompt
    /// is quarantined.
    RequestKeptBack = 8108, Essential {
        /// Request or item id.
        id: &'a str,
        /// Digest of the request content, or key of the prompt part.
        request: &'a str,
        /// Whether the content or a prompt part is quarantined.
        kind: &'a str,
        /// Time until the end of the quarantine.
        left_ms: u64
    };
    /// A batch job was stored, or recognized as a resend.
    JobAccepted = 8200, Essential {
        /// Job id.
        job: &'a str,
        /// Number of items.
        items: usize,
        /// Whether the job was known before.
        resent: bool,
        /// Number of disks that stored the job; zero if the store did.
        disks: usize,
        /// Time taken.
        after_ms: u64
    };
    /// A batch job was refused.
    JobRefused = 8201, Essential {
        /// Job id.
        job: &'a str,
        /// HTTP status.
        status: u16,
        /// Reason.
        reason: &'a str,
        /// Time taken.
        after_ms: u64
    };
    /// A batch job was refused, because its route has too many queued tokens.
    QueueLimitReached = 8231, Essential {
        /// Job id.
        job: &'a str,
        /// Route of the job.
        route: &'a str,
        /// Tokens of the job's items.
        tokens: u64,
        /// Tokens queued on the route at all nodes, as far as reported.
        queued: u64,
        /// Queue limit of the route in tokens.
        limit: u64
    };
    /// A client's request to end a batch job was answered.
    JobEnded = 8202, Essential {
        /// Job id.
        job: &'a str,
        /// HTTP status of the answer.
        status: u16
    };
    /// This worker starts to run the items of a job.
    JobTaken = 8210, Essential {
        /// Job id.
        job: &'a str,
        /// Number of items.
        items: usize,
        /// Results that are already listed.
        listed: usize,
        /// Workers assumed to be alive.
        workers: usize
    };
    /// The state of a job could not be read, so that it may have been ended; the read is retried.
    JobNotConfirmed = 8224, Essential {
        /// Job id.
        job: &'a str,
        /// Reason.
        reason: &'a str
    };
    /// No items of a job are started, because the job may have been ended.
    ItemStartsHeld = 8225, Essential {
        /// Job id.
        job: &'a str,
        /// Items that are ready to start.
        waiting: usize,
        /// Age of the last confirmed state of the job.
        known_ms: u64
    };
    /// Items of a job are started again.
    ItemStartsResumed = 8226, Essential {
        /// Job id.
        job: &'a str,
        /// Time for which no item was started.
        held_ms: u64
    };
    /// Items of this worker's jobs have had no run for a while, for this reason.
    ItemsNotStarted = 8235, Essential {
        /// Reason for which their jobs last started no further item.
        reason: &'a str,
        /// Number of jobs.
        jobs: usize,
        /// Number of items.
        items: usize,
        /// Job of the item that waits longest.
        job: &'a str,
        /// Item that waits longest.
        item: &'a str,
        /// Time since its last run, or since the worker took the job.
        idle_ms: u64
    };
    /// A request on the path of a job went to a server: whether it names an accepted job was not
    /// known.
    JobCallForwarded = 8238, Essential {
        /// Job id in the path.
        job: &'a str,
        /// Reason.
        reason: &'a str
    };
    /// This worker runs a job and has lost its registration meanwhile: another worker may have
    /// run the job, so that the list of results is read again.
    JobMayBeElsewhere = 8239, Essential {
        /// Job id.
        job: &'a str,
        /// Listed results, as known.
        listed: usize
    };
    /// The routing table has no route for an open job: its items do not start.
    JobRouteMissing = 8236, Essential {
        /// Job id.
        job: &'a str,
        /// Host of the job.
        host: &'a str,
        /// Path of the job.
        path: &'a str,
        /// Version of the table.
        version: u64,
        /// Items without a result.
        open: usize
    };
    /// The routing table has a route for an open job again.
    JobRouteFound = 8237, Essential {
        /// Job id.
        job: &'a str,
        /// Route.
        route: &'a str,
        /// Version of the table.
        version: u64,
        /// Time for which the job had no route.
        missing_ms: u64
    };
    /// A spool folder can't be read and is read again later, or a file in it is not a valid job.
    SpoolUnread = 8015, Essential {
        /// Folder or file.
        path: &'a str,
        /// Reason.
        reason: &'a str
    };
    /// This worker's run of a job ended while the job is still open in the store: the worker runs
    /// the job again.
    JobTakenAgain = 8014, Essential {
        /// Job id.
        job: &'a str
    };
    /// This worker stopped running a job.
    JobLeft = 8211, Essential {
        /// Job id.
        job: &'a str,
        /// Reason.
        reason: &'a str,
        /// Listed results.
        listed: usize
    };
    /// An item was sent to a server.
    ItemSent = 8212, Routine {
        /// Job id.
        job: &'a str,
        /// Item id.
        item: &'a str,
        /// Server id.
        server: &'a str,
        /// Version of the server's software.
        version: &'a str,
        /// Estimated load of the server.
        load: f64,
        /// Events kept from earlier runs of the item.
        events_kept: u64,
        /// Time between the choice of the server and the send.
        chosen_ms: u64,
        /// Age of the last confirmed state of the job; the job may have been ended since.
        known_ms: u64,
        /// Whether the run is a trial: earlier runs lost their servers.
        trial: bool
    };
    /// An item starts over: the version that wrote its kept events is away or was too long full.
    ItemStartsOver = 8227, Essential {
        /// Job id.
        job: &'a str,
        /// Item id.
        item: &'a str,
        /// Events that are dropped.
        events: u64,
        /// Version of the software of its next server.
        version: &'a str
    };
    /// No waiting item of a job can finish in time any more: the items start after those of all
    /// other jobs.
    JobOverdue = 8240, Essential {
        /// Job id.
        job: &'a str,
        /// Waiting items.
        waiting: usize,
        /// Time until the job is due.
        left_ms: u64,
        /// Expected time of an item from its first start on.
        needed_ms: u64
    };
    /// A run of an item failed or was interrupted.
    ItemAttemptFailed = 8213, Essential {
        /// Job id.
        job: &'a str,
        /// Item id.
        item: &'a str,
        /// Server id.
        server: &'a str,
        /// Observed failure.
        reason: &'a str,
        /// Failures of the item so far.
        failures: u32,
        /// Events kept of the item's output.
        events_kept: u64
    };
    /// An item has its result.
    ItemEnded = 8214, Routine {
        /// Job id.
        job: &'a str,
        /// Item id.
        item: &'a str,
        /// Outcome of the item.
        end: ItemOutcome,
        /// Reason for the outcome.
        reason: &'a str,
        /// Failures before the result.
        failures: u32,
        /// Time since this worker took the job.
        after_ms: u64
    };
    /// Results were added to a job's result list.
    ResultsListed = 8215, Routine {
        /// Job id.
        job: &'a str,
        /// Position of the first result.
        first: usize,
        /// Number of results.
        count: usize,
        /// Revision of the record.
        revision: u64
    };
    /// Results could not be added to a job's result list; the list is read again.
    ListingFailed = 8216, Essential {
        /// Job id.
        job: &'a str,
        /// Position of the first result.
        first: usize,
        /// Reason.
        reason: &'a str
    };
    /// The failure counts of items could not be stored; the write is retried.
    FailuresNotRecorded = 8219, Essential {
        /// Job id.
        job: &'a str,
        /// Reason.
        reason: &'a str
    };
    /// A job that no longer runs was removed from the store.
    JobRemoved = 8217, Essential {
        /// Job id.
        job: &'a str
    };
    /// A worker left a job before its results or failure counts were stored: those items run again,
    /// or their failures are counted from the stored value.
    LeftUnlisted = 8141, Essential {
        /// Job id.
        job: &'a str,
        /// Results that are not listed.
        ready: usize
    };
    /// This worker stops although jobs that it left are still storing their results.
    JobsNotLeft = 8142, Essential {
        /// Number of such jobs.
        jobs: usize
    };
    /// Old jobs could not be removed from the store; the removal is retried.
    JobsNotRemoved = 8143, Essential {
        /// Number of such jobs.
        jobs: usize,
        /// Reason for the first of them.
        reason: &'a str
    };
    /// The items or the result list of a job can't be read, so that the job does not run; the read
    /// is retried.
    JobNotLoaded = 8145, Essential {
        /// Job id.
        job: &'a str,
        /// Reason.
        reason: &'a str,
        /// Attempts so far.
        tries: u32
    };
    /// Another worker listed the result of an item that runs here: the run is cancelled.
    RunNotNeeded = 8146, Essential {
        /// Job id.
        job: &'a str,
        /// Item id.
        item: &'a str,
        /// Server id.
        server: &'a str
    };
    /// The set of workers changed.
    WorkersChanged = 8220, Essential {
        /// Names of the workers.
        workers: &'a str
    };
    /// Nodes were registered, or registered with other addresses.
    NodesSeen = 8221, Essential {
        /// Number of these nodes.
        added: usize,
        /// Name of one of them.
        peer: &'a str,
        /// Address of that node.
        address: &'a str,
        /// Number of all other known nodes.
        known: usize
    };
    /// Another node's registration was removed.
    NodeGone = 8222, Essential {
        /// Name of the node.
        peer: &'a str
    };
    /// This node wrote its registration to the record store.
    NodeRegistered = 8228, Essential {
        /// Lease that the registration ends with.
        lease: u64,
        /// Revision of the write.
        revision: u64
    };
    /// The record store holds another registration of this node than the one it wrote, or none.
    RegistrationLost = 8229, Essential {
        /// Revision of the change.
        revision: u64,
        /// Whether another write replaced the registration; otherwise it was removed.
        replaced: bool
    };
    /// The state of a machine that is given up could not be reported; this is tried again.
    RetireStatusNotWritten = 8234, Essential {
        /// State to report.
        state: &'a str,
        /// Why the store did not take it.
        reason: &'a str
    };
    /// The record of this worker's disk could not be written or removed; this is tried again.
    DiskRecordNotChanged = 8233, Essential {
        /// Why the store did not change it.
        reason: &'a str
    };
    /// The registration of a node that stops was not removed; it ends with its lease.
    RegistrationNotRemoved = 8232, Essential {
        /// Why the store did not remove it.
        reason: &'a str
    };
    /// This machine is close to a resource limit: answers may soon be late.
    MachineBusy = 8130, Essential {
        /// Processor time left, in percent.
        processor: u8,
        /// Task delay left before answers are late, in percent.
        delay: u8,
        /// Memory left, in percent.
        memory: u8,
        /// File descriptors left, in percent.
        descriptors: u8,
        /// Mean delay of tasks.
        delay_ms: u64,
        /// Other nodes that report their headroom.
        others: u32,
        /// Busy nodes among them.
        others_busy: u32
    };
    /// This machine is no longer close to a resource limit.
    MachineFree = 8131, Essential {
        /// Percent left of the scarcest resource.
        room: u8,
        /// Time for which the machine was busy.
        busy_ms: u64
    };
    /// Lowest headroom of this machine in the last seconds; logged regularly if the machine has
    /// limits.
    MachineRoom = 8132, Essential {
        /// Processor time left, in percent.
        processor: u8,
        /// Task delay left before answers are late, in percent.
        delay: u8,
        /// Memory left, in percent.
        memory: u8,
        /// File descriptors left, in percent.
        descriptors: u8,
        /// Whether this node is a keeper of servers.
        keeps_servers: bool
    };
    /// The set of keepers, the nodes that track the slots of servers, changed in this node's view.
    KeepersChanged = 8223, Essential {
        /// Number of keepers.
        keepers: usize,
        /// Whether this node is a keeper.
        own: bool,
        /// Whether deputies have to receive the reports of all nodes, because no upstream receives
        /// enough of them.
        deputies_needed: bool
    };
    /// A job was stored on this disk until the record store accepts it.
    JobSpooled = 8203, Essential {
        /// Job id.
        job: &'a str,
        /// Size in bytes.
        bytes: usize
    };
    /// A job was moved from this disk to the record store.
    SpoolDrained = 8204, Essential {
        /// Job id.
        job: &'a str,
        /// Whether the store had the job already.
        present: bool
    };
    /// A job on this disk could not be written to the record store, or its file could not be
    /// removed; both are retried.
    SpoolNotDrained = 8140, Essential {
        /// Job id.
        job: &'a str,
        /// Reason.
        reason: &'a str,
        /// Consecutive scans of the disk that left files behind.
        looks: u32
    };
    /// The file that marks a retired disk as registered can't be removed, so that the disk stays
    /// registered; the removal is retried.
    DiskNoteKept = 8144, Essential {
        /// Folder.
        path: &'a str,
        /// Reason.
        reason: &'a str
    };
    /// A job, or the end of a job, could not be stored on this disk.
    SpoolFailed = 8205, Essential {
        /// Job id.
        job: &'a str,
        /// Reason.
        reason: &'a str
    };
    /// The end of a job was stored before the job itself arrived in the store.
    EndKept = 8206, Essential {
        /// Job id.
        job: &'a str
    };
    /// A job arrived in the store after its end: none of its items runs.
    JobCameEnded = 8207, Essential {
        /// Job id.
        job: &'a str
    };
    /// The store did not accept the end of a job before the caller's deadline; this node keeps
    /// retrying.
    EndOutstanding = 8208, Essential {
        /// Job id.
        job: &'a str,
        /// Ends that this node retries.
        waiting: usize
    };
    /// The store did not accept the end of a job in time; the end was sent to the disks of workers.
    EndHandedOut = 8016, Essential {
        /// Job id.
        job: &'a str,
        /// Whether enough disks stored the end.
        kept: bool
    };
    /// The end of a job was stored on this disk until the record store accepts it.
    EndSpooled = 8017, Essential {
        /// Job id.
        job: &'a str
    };
    /// The end of a job was moved from this disk to the record store.
    EndDrained = 8018, Essential {
        /// Job id.
        job: &'a str,
        /// False if the job belongs to another caller; true also if the job is not known yet.
        found: bool
    };
    /// A caller asked this node to end a job before the node had a routing table; the end waits for
    /// the table.
    EndAwaitsTable = 8047, Essential {
        /// Job id.
        job: &'a str,
        /// Ends that wait for the table.
        waiting: usize
    };
    /// The store accepted the end of a job that could not be completed when the caller asked.
    EndMadeUp = 8209, Essential {
        /// Job id.
        job: &'a str,
        /// Whether the job was known, or may be on a disk.
        found: bool
    };
    /// The end of a job is no longer retried.
    EndGivenUp = 8218, Essential {
        /// Job id.
        job: &'a str,
        /// Reason.
        reason: &'a str
    };
    /// Clients were refused or their connections closed, in the time since the last such line: they
    /// kept to no limits, or all of them together would take too much memory or too many descriptors.
    ClientsLimited = 8241, Essential {
        /// Bytes that clients make the process keep.
        used_bytes: usize,
        /// Most bytes that they may.
        limit_bytes: usize,
        /// Open connections of clients.
        connections: usize,
        /// Most connections.
        limit_connections: usize,
        /// Connections that were closed when they were accepted.
        refused_connections: u64,
        /// Connections without a request that were closed for others.
        closed_connections: u64,
        /// Bodies that were dropped before they were whole, for others.
        dropped_bodies: u64,
        /// Requests that were refused for want of memory.
        refused_requests: u64,
        /// Heads over the limit.
        oversized_heads: u64,
        /// Heads that did not end in time.
        slow_heads: u64
    };
    /// This machine was asked to retire.
    Retiring = 8230, Essential {
        /// State that the machine reported.
        state: &'a str
    };
}
