//! Kinds of failure and their exit codes, which scripts can rely on.

use std::fmt;
use std::process::ExitCode;

/// Why a command failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The command line is wrong: exit code 2.
    Usage(String),
    /// The settings have faults: exit code 3.
    Settings(String),
    /// The node that was asked did not answer: exit code 4.
    Unreachable(String),
    /// The node refused, with a numbered result code: exit code 5.
    Refused(String),
    /// Anything else: exit code 1.
    Run(String),
}

impl Failure {
    /// The exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Run(_) => 1,
            Failure::Usage(_) => 2,
            Failure::Settings(_) => 3,
            Failure::Unreachable(_) => 4,
            Failure::Refused(_) => 5,
        })
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Usage(text) => write!(formatter, "{text}; see latchwheel --help"),
            Failure::Settings(text) => write!(formatter, "the settings have faults:\n{text}"),
            Failure::Unreachable(text) | Failure::Refused(text) | Failure::Run(text) => formatter.write_str(text),
        }
    }
}
