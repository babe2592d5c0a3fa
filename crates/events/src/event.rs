//! The events.

use serde::Serialize;

/// Whether an event may be left out when there are too many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Importance {
    /// One of many of a request that went well; sampled by request.
    Routine,
    /// A failure or a change of what the process believes.
    Essential,
}

/// How an item of a batch job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemOutcome {
    /// With its whole output.
    Completed,
    /// Given up.
    GivenUp,
}

macro_rules! events {
    ($($(#[doc = $text:literal])+ $name:ident = $number:literal, $weight:ident { $($(#[doc = $field_text:literal])+ $field:ident : $type:ty),* $(,)? };)+) => {
        /// An event; fields of time are in milliseconds.
        #[derive(Clone, Debug, Serialize)]
        #[serde(untagged)]
        pub enum Event<'a> {
            $($(#[doc = $text])+ $name { $($(#[doc = $field_text])+ $field: $type),* }),+
        }

        impl Event<'_> {
            /// Number, name, whether it may be left out, and meaning of every event.
            pub const CATALOGUE: &'static [(u32, &'static str, Importance, &'static str)] =
                &[$(($number, stringify!($name), Importance::$weight, concat!($($text),+))),+];

            /// Number, name and weight.
            pub fn kind(&self) -> (u32, &'static str, Importance) {
                match self { $(Event::$name { .. } => ($number, stringify!($name), Importance::$weight)),+ }
            }
        }
    };
}

events! {
    /// The process starts.
    Started = 8000, Essential {
        /// Role of the process.
        role: &'a str,
        /// Version of the program.
        version: &'a str,
        /// Addresses that it serves on.
        listens: &'a str
    };
    /// A planned stop begins.
    Stopping = 8001, Essential {
        /// Time that is left for requests in progress.
        grace_ms: u64
    };
    /// The process ends.
    Stopped = 8002, Essential {
        /// Requests that were still in progress.
        unfinished: usize
    };
    /// The settings were read again.
    Reloaded = 8003, Essential {
        /// Whether anything differs.
        changed: bool
    };
    /// Lines of the log were dropped.
    LinesDropped = 8004, Essential {
        /// Lines beyond the budget.
        over_budget: u64,
        /// Lines that the reader did not take.
        not_taken: u64
    };
    /// A dependency does not answer.
    DependencyLost = 8010, Essential {
        /// What it is.
        dependency: &'a str,
        /// Why.
        reason: &'a str
    };
    /// A dependency answers again.
    DependencyRegained = 8011, Essential {
        /// What it is.
        dependency: &'a str,
        /// Time that it was away.
        away_ms: u64
    };
    /// Followed records come from elsewhere from now on.
    RecordSourceChanged = 8012, Essential {
        /// The store, or an upstream: another node that watches it.
        source: &'a str,
        /// Address of the upstream that was polled last.
        upstream: &'a str,
        /// Whether it answered.
        answered: bool,
        /// Time since the store was last known to answer it.
        age_ms: u64,
        /// Time since which its calls to the store fail.
        outage_ms: u64
    };
    /// A source of followed records knows less than this node: nothing was taken from it.
    OlderRecordsNotTaken = 8013, Essential {
        /// Prefix of the records.
        prefix: &'a str,
        /// Revision up to which the source knows them.
        told: u64,
        /// Revision up to which this node knows them.
        known: u64
    };
    /// Records that were kept before a start are used: the store answers nobody, and nothing
    /// newer is known.
    RecordsFromSnapshot = 8050, Essential {
        /// Prefix of the records.
        prefix: &'a str,
        /// The own disk, another node that handed them on, or an upstream that is out of
        /// touch with the store.
        from: &'a str,
        /// Revision up to which they are known.
        revision: u64,
        /// Time since the store last confirmed them, by the clocks of two nodes.
        age_ms: u64,
        /// Their number.
        records: usize
    };
    /// Records could not be kept on the disk for the next start.
    SnapshotNotKept = 8052, Essential {
        /// Prefix of the records.
        prefix: &'a str,
        /// Why.
        reason: &'a str
    };
    /// A file of an earlier start is passed over.
    SnapshotUnusable = 8053, Essential {
        /// Folder or file.
        path: &'a str,
        /// Why.
        reason: &'a str
    };
    /// An upstream did not take the snapshot that it asked for; it asks again.
    SnapshotNotHandedOn = 8054, Routine {
        /// The upstream.
        upstream: &'a str,
        /// Why.
        reason: &'a str
    };
    /// The records under a prefix that are used were told by another source from now on.
    RecordsOriginChanged = 8055, Essential {
        /// Prefix of the records.
        prefix: &'a str,
        /// The store, an upstream, or a snapshot that was kept before a start.
        origin: &'a str,
        /// Revision up to which they are known.
        revision: u64,
        /// Time since the store confirmed them, if that is known.
        age_ms: Option<u64>
    };
    /// The process knows a table and servers for the first time: what was held goes on.
    ServesFromNowOn = 8051, Essential {
        /// Time since its start.
        after_ms: u64,
        /// Requests that were held until now.
        held: usize
    };
    /// A routing table is in force from now on.
    TableInForce = 8020, Essential {
        /// Its version.
        version: u64,
        /// The version before it.
        previous: u64,
        /// Number of routes.
        routes: usize
    };
    /// A routing table was not taken.
    TableRefused = 8021, Essential {
        /// The version in force.
        in_force: u64,
        /// Why.
        reason: &'a str
    };
    /// A server takes work.
    ServerReady = 8030, Essential {
        /// Identity of the server.
        server: &'a str,
        /// Its service.
        service: &'a str,
        /// Its address.
        address: &'a str,
        /// Number of its registration.
        sequence: u64
    };
    /// A server takes no new work.
    ServerDraining = 8031, Essential {
        /// Identity of the server.
        server: &'a str
    };
    /// A server's registration is gone.
    ServerGone = 8032, Essential {
        /// Identity of the server.
        server: &'a str
    };
    /// A server's registration vanished in an outage; it is kept for now.
    ServerUnconfirmed = 8033, Essential {
        /// Identity of the server.
        server: &'a str
    };
    /// A server's process ended while it worked on requests of this node.
    ServerEnded = 8036, Essential {
        /// Identity of the server.
        server: &'a str,
        /// Its key, by which nodes name it to each other.
        key: &'a str,
        /// Requests of this node that it worked on.
        requests: usize
    };
    /// Requests of one content are kept from all servers: each server that ran them ended.
    RequestQuarantined = 8040, Essential {
        /// Digest of the content.
        request: &'a str,
        /// Servers that ended under it, as far as this node knows.
        servers: usize,
        /// Keys of these servers; those that are named in the verdict.
        ended: &'a str,
        /// How often it was quarantined.
        offences: u32,
        /// Time for which it is kept from servers.
        for_ms: u64,
        /// Where this node has it from: itself, another node, or the store.
        source: &'a str
    };
    /// Requests of one content are sent to servers again: one ran to its end, or an
    /// operator let them go.
    QuarantineLifted = 8041, Essential {
        /// Digest of the content.
        request: &'a str,
        /// Where this node has it from: itself, another node, or the store.
        source: &'a str
    };
    /// The first word of a server's end came to a node that weighs which request was the
    /// cause.
    ServerEndNoted = 8044, Essential {
        /// Key of the server.
        key: &'a str,
        /// Digests of the contents that it worked on, as far as they were told at once.
        requests: &'a str
    };
    /// Servers ended together without a request in common: no request is held for it.
    ServersLostTogether = 8045, Essential {
        /// Keys of the servers.
        ended: &'a str
    };
    /// A request waits: servers ended under its content, and whether it was the cause is
    /// being weighed.
    RequestAwaitsVerdict = 8046, Essential {
        /// Request or item.
        id: &'a str,
        /// Digest of the content.
        request: &'a str,
        /// Time that it waits at most, unless a further server ends.
        left_ms: u64
    };
    /// News of servers that ended could not be kept for other nodes.
    CrashNewsDropped = 8042, Essential {
        /// News that wait to be sent.
        waiting: usize
    };
    /// A verdict could not be written to the store; it is tried again.
    VerdictNotStored = 8043, Essential {
        /// Digest of the content.
        request: &'a str,
        /// Why.
        reason: &'a str
    };
    /// Many servers changed together, as at a start: their number by change.
    ServersChanged = 8035, Essential {
        /// Servers that take work.
        ready: usize,
        /// Servers that take no new work.
        draining: usize,
        /// Servers whose registration is gone.
        gone: usize,
        /// Servers whose registration vanished in an outage; they are kept for now.
        unconfirmed: usize
    };
    /// Readiness changed.
    Readiness = 8034, Essential {
        /// Whether the node is ready.
        ready: bool,
        /// Version of the routing table.
        table_version: u64,
        /// Known servers that take work.
        servers: usize
    };
    /// A request was sent to a server.
    RequestSent = 8100, Routine {
        /// Request.
        id: &'a str,
        /// Its route.
        route: &'a str,
        /// Server.
        server: &'a str,
        /// Attempt, from 1.
        attempt: u32,
        /// Expected wait for a slot.
        expected_wait_ms: u64,
        /// Prompt tokens that are expected to be read anew.
        uncached_tokens: u32,
        /// Load that is believed of the server.
        load: f64,
        /// Whether deferrable work there is asked to give way.
        displaces: bool,
        /// Version of the routing table.
        table_version: u64,
        /// Time that the request has left.
        left_ms: u64
    };
    /// A request was answered.
    RequestAnswered = 8101, Routine {
        /// Request.
        id: &'a str,
        /// Its route.
        route: &'a str,
        /// Status.
        status: u16,
        /// Time since it was read.
        total_ms: u64,
        /// Time from its read to the first piece.
        first_piece_ms: u64,
        /// Attempts that were made.
        attempts: u32
    };
    /// An attempt at a server failed.
    AttemptFailed = 8102, Essential {
        /// Request.
        id: &'a str,
        /// Server.
        server: &'a str,
        /// Attempt, from 1.
        attempt: u32,
        /// What was seen.
        reason: &'a str,
        /// Time since it was sent.
        after_ms: u64,
        /// Whether it goes on at another server.
        goes_on: bool
    };
    /// A request was refused or given up by this node.
    RequestRefused = 8103, Essential {
        /// Request.
        id: &'a str,
        /// Its route.
        route: &'a str,
        /// Result code.
        code: u32,
        /// Status.
        status: u16,
        /// Time since it was read.
        after_ms: u64,
        /// Time after which to come back.
        come_back_ms: u64,
        /// Version of the routing table.
        table_version: u64
    };
    /// An answer was broken off after its head had been passed on.
    AnswerCut = 8104, Essential {
        /// Request.
        id: &'a str,
        /// Server that sent last.
        server: &'a str,
        /// What was seen.
        reason: &'a str,
        /// Time since the request was read.
        after_ms: u64
    };
    /// The client left before its answer was whole.
    ClientGone = 8105, Essential {
        /// Request.
        id: &'a str,
        /// Server that worked on it.
        server: &'a str,
        /// Time since the request was read.
        after_ms: u64
    };
    /// A request that would have been late waited apart until a slot was free.
    RequestHeld = 8106, Essential {
        /// Request.
        id: &'a str,
        /// Its route.
        route: &'a str,
        /// Time for which it waited.
        held_ms: u64,
        /// Whether it got a place in the end.
        served: bool
    };
    /// A second attempt at another server ended, or the first one did meanwhile.
    SecondAttempt = 8120, Essential {
        /// Request.
        id: &'a str,
        /// Its route.
        route: &'a str,
        /// Server whose first piece was overdue.
        server: &'a str,
        /// Time in which it was expected there.
        expected_ms: u64,
        /// Time from the first attempt to the second.
        waited_ms: u64,
        /// Server of the second attempt.
        second_server: &'a str,
        /// Time in which the first piece was expected there.
        second_expected_ms: u64,
        /// The attempt that was delivered: `first`, `second` or `neither`.
        won: &'a str
    };
    /// A request that found no free slot got one in its turn.
    ClaimGranted = 8110, Routine {
        /// Request.
        id: &'a str,
        /// Its route.
        route: &'a str,
        /// Its tenant, empty without one.
        tenant: &'a str,
        /// Its precedence; zero goes first.
        precedence: u32,
        /// Its work in prompt tokens.
        work: u64,
        /// Time for which it waited.
        waited_ms: u64,
        /// Whether it came too late to be in time.
        late: bool,
        /// Claims that went before it when it came.
        ahead: u32,
        /// Claims that waited then.
        waiting: u32,
        /// Those of its tenant and precedence.
        tenant_waiting: u32,
        /// Tenants that competed in its precedence.
        tenants: u32,
        /// Keepers that lost its claim.
        lost: u32
    };
    /// A request found no slot while its caller stayed: others went before it.
    ClaimRefused = 8111, Essential {
        /// Request.
        id: &'a str,
        /// Its route.
        route: &'a str,
        /// Its tenant, empty without one.
        tenant: &'a str,
        /// Its precedence; zero goes first.
        precedence: u32,
        /// Its work in prompt tokens.
        work: u64,
        /// Time for which it waited.
        waited_ms: u64,
        /// Claims that go before it.
        ahead: u32,
        /// Claims that wait.
        waiting: u32,
        /// Those of its tenant and precedence.
        tenant_waiting: u32,
        /// Tenants that compete in its precedence.
        tenants: u32,
        /// Keepers that lost its claim.
        lost: u32,
        /// Time after which there is room.
        come_back_ms: u64
    };
    /// Claims wait at this node, the keeper of servers; told once a second.
    ClaimsWait = 8112, Essential {
        /// Claims that wait.
        claims: usize,
        /// Tenants whose shares are remembered, those with waiting claims among them.
        tenants: usize,
        /// Other nodes that have claims here, or had some and are heard still.
        nodes: usize
    };
    /// A new table changed the precedence of claims that wait here.
    ClaimsReordered = 8113, Essential {
        /// Version of the table.
        version: u64,
        /// Claims whose precedence changed.
        claims: usize
    };
    /// The connection to a server was lost while it worked on a request or an item.
    ConnectionLost = 8107, Essential {
        /// Request or item.
        id: &'a str,
        /// Server.
        server: &'a str,
        /// Digest of its content; one that comes again has the same.
        request: &'a str,
        /// Time since it was sent.
        after_ms: u64
    };
    /// A request or item was not sent to any server: its content is quarantined.
    RequestKeptBack = 8108, Essential {
        /// Request or item.
        id: &'a str,
        /// Digest of its content.
        request: &'a str,
        /// Time until the quarantine's end.
        left_ms: u64
    };
    /// A batch job was kept, or a resend of it was recognized.
    JobAccepted = 8200, Essential {
        /// Job.
        job: &'a str,
        /// Its items.
        items: usize,
        /// Whether it was known before.
        resent: bool,
        /// Where it was kept: the store, or this many disks.
        disks: usize,
        /// Time that it took.
        after_ms: u64
    };
    /// A batch job was not kept.
    JobRefused = 8201, Essential {
        /// Job.
        job: &'a str,
        /// Status.
        status: u16,
        /// Why.
        reason: &'a str,
        /// Time that it took.
        after_ms: u64
    };
    /// A batch job is refused: too much waits on its route already.
    QueueLimitReached = 8231, Essential {
        /// Job.
        job: &'a str,
        /// Its route.
        route: &'a str,
        /// Tokens of its items.
        tokens: u64,
        /// Tokens that wait on the route at all nodes, as far as they told.
        queued: u64,
        /// Tokens that may wait there.
        limit: u64
    };
    /// A batch job was ended by its client.
    JobEnded = 8202, Essential {
        /// Job.
        job: &'a str,
        /// Status of the answer.
        status: u16
    };
    /// This worker runs the items of a job from now on.
    JobTaken = 8210, Essential {
        /// Job.
        job: &'a str,
        /// Its items.
        items: usize,
        /// Results that are listed already.
        listed: usize,
        /// Workers that are believed to live.
        workers: usize
    };
    /// It can't be found out whether a job is still open; it is asked again.
    JobNotConfirmed = 8224, Essential {
        /// Job.
        job: &'a str,
        /// Why.
        reason: &'a str
    };
    /// Items of a job don't start: it may have been ended.
    ItemStartsHeld = 8225, Essential {
        /// Job.
        job: &'a str,
        /// Items that would start.
        waiting: usize,
        /// Age of what is known of the job.
        known_ms: u64
    };
    /// Items of a job start again.
    ItemStartsResumed = 8226, Essential {
        /// Job.
        job: &'a str,
        /// Time for which none started.
        held_ms: u64
    };
    /// A disk does not give what is kept on it for the store: it is read again; or a file
    /// there is no job.
    SpoolUnread = 8015, Essential {
        /// Folder or file.
        path: &'a str,
        /// Why.
        reason: &'a str
    };
    /// This worker's run of a job has ended, and the store says that the job is open: it
    /// is run again.
    JobTakenAgain = 8014, Essential {
        /// Job.
        job: &'a str
    };
    /// This worker runs a job no longer.
    JobLeft = 8211, Essential {
        /// Job.
        job: &'a str,
        /// Why.
        reason: &'a str,
        /// Results that are listed.
        listed: usize
    };
    /// An item was sent to a server.
    ItemSent = 8212, Routine {
        /// Job.
        job: &'a str,
        /// Item.
        item: &'a str,
        /// Server.
        server: &'a str,
        /// Load that is believed of the server.
        load: f64,
        /// Events that are kept from earlier runs.
        events_kept: u64,
        /// Time since the server was chosen.
        chosen_ms: u64,
        /// Age of what is known of the job: an end that was acknowledged within that time
        /// may be unknown here.
        known_ms: u64
    };
    /// None of the items that a job would start can be in time any more: they start after
    /// those of all other jobs.
    JobOverdue = 8240, Essential {
        /// Job.
        job: &'a str,
        /// Items that wait.
        waiting: usize,
        /// Time until the job is due.
        left_ms: u64,
        /// Time that an item is expected to need from its first start on.
        needed_ms: u64
    };
    /// A run of an item failed or was broken off.
    ItemAttemptFailed = 8213, Essential {
        /// Job.
        job: &'a str,
        /// Item.
        item: &'a str,
        /// Server.
        server: &'a str,
        /// What was seen.
        reason: &'a str,
        /// Failures of the item so far.
        failures: u32,
        /// Events that are kept.
        events_kept: u64
    };
    /// An item has its result.
    ItemEnded = 8214, Routine {
        /// Job.
        job: &'a str,
        /// Item.
        item: &'a str,
        /// How.
        end: ItemOutcome,
        /// Failures before.
        failures: u32,
        /// Time since its job was taken by this worker.
        after_ms: u64
    };
    /// Results were listed.
    ResultsListed = 8215, Routine {
        /// Job.
        job: &'a str,
        /// Position of the first.
        first: usize,
        /// Their number.
        count: usize,
        /// Revision of the record.
        revision: u64
    };
    /// Results could not be listed; the list is read again.
    ListingFailed = 8216, Essential {
        /// Job.
        job: &'a str,
        /// Position of the first.
        first: usize,
        /// Why.
        reason: &'a str
    };
    /// How often items failed could not be recorded; it is tried again.
    FailuresNotRecorded = 8219, Essential {
        /// Job.
        job: &'a str,
        /// Why.
        reason: &'a str
    };
    /// A job that ran no longer was removed from the store.
    JobRemoved = 8217, Essential {
        /// Job.
        job: &'a str
    };
    /// A job was left while results of it, or its items' failures, could not be put on
    /// record in time: those items run again, or are counted anew.
    LeftUnlisted = 8141, Essential {
        /// Job.
        job: &'a str,
        /// Results that are not listed.
        ready: usize
    };
    /// This worker ends although jobs that it left are still listing what they have.
    JobsNotLeft = 8142, Essential {
        /// Jobs.
        jobs: usize
    };
    /// Old jobs could not be removed from the store; that is tried again.
    JobsNotRemoved = 8143, Essential {
        /// Jobs.
        jobs: usize,
        /// Why the first of them was not.
        reason: &'a str
    };
    /// The items of a job or the list of their results can't be read, so that the job does
    /// not run; that is tried again.
    JobNotLoaded = 8145, Essential {
        /// Job.
        job: &'a str,
        /// Why.
        reason: &'a str,
        /// Tries so far.
        tries: u32
    };
    /// Another worker listed the result of an item that runs here: its run is broken off.
    RunNotNeeded = 8146, Essential {
        /// Job.
        job: &'a str,
        /// Item.
        item: &'a str,
        /// Server.
        server: &'a str
    };
    /// The set of workers changed.
    WorkersChanged = 8220, Essential {
        /// Their names.
        workers: &'a str
    };
    /// Further nodes are registered, or registered at other addresses.
    NodesSeen = 8221, Essential {
        /// Number of these.
        added: usize,
        /// Name of one of them.
        peer: &'a str,
        /// Its address.
        address: &'a str,
        /// All other nodes that are known now.
        known: usize
    };
    /// Another node's registration is gone.
    NodeGone = 8222, Essential {
        /// Its name.
        peer: &'a str
    };
    /// This machine has too little room: answers may be late soon.
    MachineBusy = 8130, Essential {
        /// Percent that is left of its processor time.
        processor: u8,
        /// Percent that is left of the delay with which answers can be in time.
        delay: u8,
        /// Percent that is left of its memory.
        memory: u8,
        /// Percent that is left of its descriptors.
        descriptors: u8,
        /// Mean delay of its tasks.
        delay_ms: u64,
        /// Other nodes that tell their room.
        others: u32,
        /// Those of them that are busy.
        others_busy: u32
    };
    /// This machine is busy no more.
    MachineFree = 8131, Essential {
        /// Percent that is left of the scarcest limit.
        room: u8,
        /// Time for which it was busy.
        busy_ms: u64
    };
    /// The least room of this machine in some seconds; told at this pace where it has limits.
    MachineRoom = 8132, Essential {
        /// Percent that was left of its processor time.
        processor: u8,
        /// Percent that was left of the delay with which answers can be in time.
        delay: u8,
        /// Percent that was left of its memory.
        memory: u8,
        /// Percent that was left of its descriptors.
        descriptors: u8,
        /// Whether it keeps servers.
        keeps_servers: bool
    };
    /// Other nodes keep servers from now on, as this one believes.
    KeepersChanged = 8223, Essential {
        /// How many.
        keepers: usize,
        /// Whether this node is one of them.
        own: bool,
        /// Whether deputies have to hear of all: no upstream hears enough others.
        deputies_needed: bool
    };
    /// A job was kept on this disk until the record store takes it.
    JobSpooled = 8203, Essential {
        /// Job.
        job: &'a str,
        /// Bytes.
        bytes: usize
    };
    /// A job went from this disk to the record store.
    SpoolDrained = 8204, Essential {
        /// Job.
        job: &'a str,
        /// Whether it was there already.
        present: bool
    };
    /// A job on this disk did not get into the record store, or its file could not be
    /// removed; it is tried again.
    SpoolNotDrained = 8140, Essential {
        /// Job.
        job: &'a str,
        /// Why.
        reason: &'a str,
        /// Looks in a row at the disk that left something there.
        looks: u32
    };
    /// A disk that is given up can't remove its note that it is on record, and stays there;
    /// that is tried again.
    DiskNoteKept = 8144, Essential {
        /// Folder.
        path: &'a str,
        /// Why.
        reason: &'a str
    };
    /// The disk did not keep a job, or the end of one.
    SpoolFailed = 8205, Essential {
        /// Job.
        job: &'a str,
        /// Why.
        reason: &'a str
    };
    /// The end of a job that is not in the store was put on record there, for when the job comes.
    EndKept = 8206, Essential {
        /// Job.
        job: &'a str
    };
    /// A job came into the store after its end: none of its items runs.
    JobCameEnded = 8207, Essential {
        /// Job.
        job: &'a str
    };
    /// The store did not take the end of a job in its caller's time; this node goes on trying.
    EndOutstanding = 8208, Essential {
        /// Job.
        job: &'a str,
        /// Ends that this node tries.
        waiting: usize
    };
    /// The store did not take the end of a job in time; it was handed to the disks of workers.
    EndHandedOut = 8016, Essential {
        /// Job.
        job: &'a str,
        /// Whether as many disks keep it as make it last.
        kept: bool
    };
    /// The end of a job was kept on this disk until the record store takes it.
    EndSpooled = 8017, Essential {
        /// Job.
        job: &'a str
    };
    /// The end of a job went from this disk to the record store.
    EndDrained = 8018, Essential {
        /// Job.
        job: &'a str,
        /// Whether the caller may end the job, or it is not known yet.
        found: bool
    };
    /// An end of a job was asked for at a node that knows no table yet, which keeps it.
    EndAwaitsTable = 8047, Essential {
        /// Job.
        job: &'a str,
        /// Ends that are kept so.
        waiting: usize
    };
    /// The store took the end of a job that could not be done when its caller asked.
    EndMadeUp = 8209, Essential {
        /// Job.
        job: &'a str,
        /// Whether the job was known, or may be on a disk.
        found: bool
    };
    /// An end that the store did not take is tried no more.
    EndGivenUp = 8218, Essential {
        /// Job.
        job: &'a str,
        /// Why.
        reason: &'a str
    };
    /// This machine was asked to give up its work.
    Retiring = 8230, Essential {
        /// What it answered.
        state: &'a str
    };
}
