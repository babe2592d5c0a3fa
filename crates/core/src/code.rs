//! Numbered result codes. `docs/RESULT-CODES.md` holds the table; a test
//! compares the two.

use serde::Serialize;

/// Whether a request ran, as far as the answer can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// No byte of the request reached an engine, or the engine refused it.
    NotRun,
    /// The request ran, at least in part.
    Ran,
    /// It can't be told whether the request ran.
    Unknown,
}

impl Ran {
    /// The word used in answers.
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
        /// Result of a request or an item; numbers are never used again.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[repr(u32)]
        pub enum ResultCode { $($(#[doc = $text])+ $name = $number,)+ }

        impl ResultCode {
            /// Every code, in order.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$name,)+];

            /// HTTP status that goes with the code.
            pub fn http_status(self) -> u16 {
                match self { $(ResultCode::$name => $status,)+ }
            }

            /// Whether the request ran.
            pub fn ran(self) -> Ran {
                match self { $(ResultCode::$name => Ran::$ran,)+ }
            }

            /// Name as used in answers and in the table.
            pub fn name(self) -> &'static str {
                match self { $(ResultCode::$name => stringify!($name),)+ }
            }

            /// One sentence on what happened.
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
    /// The request is no valid JSON object of this interface.
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
    /// The method does not go with the path.
    BadMethod = 2006, 405, NotRun;
    /// No row of the table matches the request.
    NoRow = 2007, 404, NotRun;
    /// Another body was sent before under the same idempotency key.
    KeyReused = 2008, 409, NotRun;
    /// The caller went away before its answer was whole.
    CallerGone = 2009, 499, Unknown;
    /// A field stands twice in the body.
    DuplicateField = 2010, 400, NotRun;
    /// The row's rate limit is used up.
    RateLimited = 3000, 429, NotRun;
    /// The row's queue is full.
    QueueFull = 3001, 429, NotRun;
    /// The predicted wait is longer than the row's limit.
    WaitTooLong = 3002, 429, NotRun;
    /// No server offers the service at present.
    NoServer = 3003, 503, NotRun;
    /// The node is leaving and takes no new work.
    Leaving = 3004, 503, NotRun;
    /// The request's deadline passed before it was started.
    DeadlinePassed = 3005, 504, NotRun;
    /// The node does not know enough to serve this yet, or no more.
    NotReady = 3006, 503, NotRun;
    /// Servers that ran this request ended; it is not run for now.
    Quarantined = 3007, 503, NotRun;
    /// Others go first for the slots of its time, by precedence or by their tenants' shares.
    CrowdedOut = 3010, 429, NotRun;
    /// The request was started before and its result can't be told.
    OutcomeUnknown = 4000, 502, Unknown;
    /// The engine broke off the answer; the request may be sent again.
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
    /// The node that was asked does not lead the store group.
    NotLeader = 6000, 503, NotRun;
    /// The store group has no quorum at present.
    NoQuorum = 6001, 503, Unknown;
    /// The disk refused a write.
    DiskFault = 6002, 507, Unknown;
    /// A stored record is damaged.
    Damaged = 6003, 500, Unknown;
    /// The file is not sealed yet or holds no item.
    FileNotReady = 6004, 409, NotRun;
    /// The job has ended and takes no change.
    JobEnded = 6005, 409, NotRun;
    /// An order with a higher fencing epoch was seen before.
    Fenced = 7000, 409, NotRun;
}

impl ResultCode {
    /// The number as sent between processes.
    pub fn number(self) -> u32 {
        self as u32
    }
}
