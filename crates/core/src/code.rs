//! Numbered result codes. `docs/RESULT-CODES.md` is generated from them, and a test
//! checks that it is current.

use serde::Serialize;

/// Whether a request ran on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// No byte of the request reached an engine, or the engine refused it.
    NotRun,
    /// The request ran, at least in part.
    Ran,
    /// Whether the request ran is unknown.
    Unknown,
}

impl Ran {
    /// Text used in answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::NotRun => "not-run",
            Ran::Ran => "ran",
            Ran::Unknown => "unknown",
        }
    }
}

macro_rules! result_codes {
    ($($(#[doc = $text:literal])+ $name:ident = $number:literal, $status:literal, $ran:ident;)+) => {
        /// Result of a request or an item. Numbers are never reused.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[repr(u32)]
        pub enum ResultCode { $($(#[doc = $text])+ $name = $number,)+ }

        impl ResultCode {
            /// All codes in order.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$name,)+];

            /// HTTP status for the code.
            pub fn http_status(self) -> u16 {
                match self { $(ResultCode::$name => $status,)+ }
            }

            /// Whether the request ran.
            pub fn ran(self) -> Ran {
                match self { $(ResultCode::$name => Ran::$ran,)+ }
            }

            /// Name used in answers and in the generated page.
            pub fn name(self) -> &'static str {
                match self { $(ResultCode::$name => stringify!($name),)+ }
            }

            /// Description of the result in one sentence.
            pub fn text(self) -> &'static str {
                match self { $(ResultCode::$name => concat!($($text),+).trim_ascii(),)+ }
            }

            /// The code with this number.
            pub fn from_number(number: u32) -> Option<ResultCode> {
                match number { $($number => Some(ResultCode::$name),)+ _ => None }
            }
        }
    };
}

result_codes! {
    /// Done.
    Done = 1000, 200, Ran;
    /// Accepted and committed; the work goes on.
    Accepted = 1001, 200, NotRun;
    /// The work was cancelled by its owner.
    Cancelled = 1002, 200, Unknown;
    /// The request is not a valid JSON object for this interface.
    BadRequest = 2000, 400, NotRun;
    /// The key is missing or wrong.
    Unauthorized = 2001, 401, NotRun;
    /// There is no such path or object.
    NotFound = 2002, 404, NotRun;
    /// The body is larger than this interface takes.
    TooLarge = 2003, 413, NotRun;
    /// The body did not arrive in time.
    SlowBody = 2004, 408, NotRun;
    /// A header has an invalid value.
    BadHeader = 2005, 400, NotRun;
    /// The path does not support the method.
    BadMethod = 2006, 405, NotRun;
    /// No row of the table matches the request.
    NoRow = 2007, 404, NotRun;
    /// Another body was sent before under the same idempotency key.
    KeyReused = 2008, 409, NotRun;
    /// The caller disconnected before the answer was complete.
    CallerGone = 2009, 499, Unknown;
    /// A field occurs twice in the body.
    DuplicateField = 2010, 400, NotRun;
    /// The row's rate limit is used up.
    RateLimited = 3000, 429, NotRun;
    /// The row's queue is full.
    QueueFull = 3001, 429, NotRun;
    /// The predicted wait is longer than the row's limit.
    WaitTooLong = 3002, 429, NotRun;
    /// No server offers the service at present.
    NoServer = 3003, 503, NotRun;
    /// The node is draining and accepts no new work.
    Leaving = 3004, 503, NotRun;
    /// The request's deadline passed before it was started.
    DeadlinePassed = 3005, 504, NotRun;
    /// The node does not have the current state needed to serve this request.
    NotReady = 3006, 503, NotRun;
    /// Servers crashed while running this request, or requests with the same prompt part; it is
    /// quarantined for a limited time.
    Quarantined = 3007, 503, NotRun;
    /// No server of the version that began the stream accepts requests.
    StreamVersionAway = 3008, 503, NotRun;
    /// It is unknown which version began the stream that the request continues.
    StreamOriginUnknown = 3009, 503, NotRun;
    /// Other requests go first for the free slots, by precedence or by tenant share.
    CrowdedOut = 3010, 429, NotRun;
    /// The process has no memory left for the request.
    NoMemory = 3011, 503, NotRun;
    /// The request was started before and its result is unknown.
    OutcomeUnknown = 4000, 502, Unknown;
    /// The engine ended the answer early; the request may be sent again.
    StreamCut = 4001, 502, Ran;
    /// The engine refused the request as invalid.
    EngineRejected = 4002, 400, NotRun;
    /// The engine could not be reached.
    EngineUnreachable = 4003, 503, NotRun;
    /// Another request with this idempotency key is still running.
    InProgress = 4004, 409, NotRun;
    /// The revision named in If-Match is not the one in force.
    RevisionConflict = 5000, 412, NotRun;
    /// The row is invalid.
    BadRow = 5001, 400, NotRun;
    /// The key-value service did not answer; the edit may be in force later.
    PlatformAway = 5002, 503, Unknown;
    /// The node that received the request is not the leader of the store group.
    NotLeader = 6000, 503, NotRun;
    /// The store group has no quorum at present.
    NoQuorum = 6001, 503, Unknown;
    /// The disk refused a write.
    DiskFault = 6002, 507, Unknown;
    /// A stored record is damaged.
    Damaged = 6003, 500, Unknown;
    /// The file is not sealed yet or holds no item.
    FileNotReady = 6004, 409, NotRun;
    /// The job has ended and cannot be changed.
    JobEnded = 6005, 409, NotRun;
    /// An order with a higher fencing epoch was seen before.
    Fenced = 7000, 409, NotRun;
}

impl ResultCode {
    /// Number sent between processes.
    pub fn number(self) -> u32 {
        self as u32
    }
}
