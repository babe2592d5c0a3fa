//! The command line.

use crate::exit::Failure;
use getopts::{Matches, Options};

const USAGE: &str = "latchwheel COMMAND [options]

Commands:
    node --settings FILE            run a node
    dev                             run a whole site on loopback: stand-ins, two engines, a node
    check-settings --settings FILE  check settings and print what is in force
    table show                      print the table of rows
    table put NAME --row FILE       write a row (JSON; - for standard input)
    table delete NAME               remove a row
    table history                   print recent revisions
    table revisions                 print how far the present revision is in force
    job list --tenant NAME          print a tenant's batch jobs
    job key --tenant NAME           make a key for a tenant
    status                          print nodes and servers
    explain ID [FILE...]            the way of a request, job or item through log lines, to its cause
    report [FILE...]                outcomes and failures of log lines, in figures

Exit codes: 0 done, 1 failed, 2 command line, 3 settings, 4 node unreachable, 5 node refused";

/// The command line, parsed.
#[derive(Debug)]
pub struct Arguments {
    matches: Matches,
}

impl Arguments {
    /// Parses the command line.
    ///
    /// # Errors
    /// [`Failure::Usage`].
    pub fn parse(arguments: &[String]) -> Result<Self, Failure> {
        let matches = options().parse(arguments).map_err(|fault| Failure::Usage(fault.to_string()))?;
        Ok(Self { matches })
    }

    /// The help text.
    pub fn usage() -> String {
        options().usage(USAGE)
    }

    pub(crate) fn wants_help(&self) -> bool {
        self.matches.opt_present("help")
    }

    pub(crate) fn wants_version(&self) -> bool {
        self.matches.opt_present("version")
    }

    pub(crate) fn command(&self) -> &str {
        self.word(0)
    }

    /// A word of the command line; empty if there is none.
    pub(crate) fn word(&self, position: usize) -> &str {
        self.matches.free.get(position).map(String::as_str).unwrap_or_default()
    }

    /// An option that has no default.
    pub(crate) fn need(&self, name: &str) -> Result<String, Failure> {
        self.matches.opt_str(name).ok_or_else(|| Failure::Usage(format!("--{name} is missing")))
    }

    /// An option, if given.
    pub(crate) fn option(&self, name: &str) -> Option<String> {
        self.matches.opt_str(name)
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options.optopt("s", "settings", "settings of a node, TOML", "FILE");
    options.optopt("a", "admin", "operators' address of a node (default 127.0.0.1:8081)", "ADDRESS");
    options.optopt("k", "key-file", "file with the operators' key", "FILE");
    options.optopt("r", "row", "table put: file with the row", "FILE");
    options.optopt("m", "if-match", "table put, delete: only if the table is at this revision", "REVISION");
    options.optopt("t", "tenant", "job: tenant", "NAME");
    options.optopt("l", "listen", "dev: callers' address (default 127.0.0.1:8080)", "ADDRESS");
    options
}
