//! The scripts of the review's cases: `review-stand-ins CASE FOLDER`, started at the root of
//! the project. Exit 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.

mod client;
mod cluster;
mod cut_short;
mod http;
mod job_check;
mod late_leave;
mod late_link;
mod late_result;
mod record;
mod same_identity;
mod server;
mod site;
mod surplus;

use record::Record;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Longest time of a run.
const RUN_TIME: Duration = Duration::from_secs(115);

/// What came of a run.
pub enum Outcome {
    /// The rule held.
    Held,
    /// It was broken.
    Broken,
    /// The case couldn't run.
    NotRun(String),
}

impl From<std::io::Error> for Outcome {
    fn from(fault: std::io::Error) -> Self {
        Outcome::NotRun(fault.to_string())
    }
}

/// How a case is run.
pub struct Run {
    /// Root of the project.
    pub root: PathBuf,
    /// Temporary folder for the files of the processes.
    pub folder: PathBuf,
    /// Record of the run.
    pub record: Record,
    /// Whether there is a disruption.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-stand-ins CASE FOLDER");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(Path::new(folder)) else { return ExitCode::from(2) };
    let files = std::env::temp_dir().join(format!("latchwheel-review-{}", std::process::id()));
    let run = Run {
        root: std::env::current_dir().unwrap_or_default(),
        folder: files.clone(),
        record: record.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    record.line(format!("case {case}, with trouble: {}", run.trouble));
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    let outcome = match runtime {
        Ok(runtime) => {
            let ended = runtime.block_on(async { tokio::time::timeout(RUN_TIME, run_case(case, &run)).await });
            ended.unwrap_or_else(|_| Outcome::NotRun("time is over".to_owned()))
        }
        Err(fault) => fault.into(),
    };
    // `KEEP=1` leaves the logs of the processes for a look at them.
    if std::env::var("KEEP").as_deref() == Ok("1") {
        eprintln!("files of the processes: {}", files.display());
    } else {
        let _ = std::fs::remove_dir_all(&files);
    }
    let (word, code) = match &outcome {
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::Broken => ("the rule was broken".to_owned(), 1),
        Outcome::NotRun(reason) => (format!("the case couldn't run: {reason}"), 2),
    };
    record.line(&word);
    println!("{word}");
    ExitCode::from(code)
}

async fn run_case(case: &str, run: &Run) -> Outcome {
    match case {
        "cut-short" => cut_short::run(run).await,
        "same-identity" => same_identity::run(run).await,
        "surplus" => surplus::run(run).await,
        "late-leave" => late_leave::run(run).await,
        "late-result" => late_result::run(run).await,
        _ => Outcome::NotRun(format!("no case {case}")),
    }
}
