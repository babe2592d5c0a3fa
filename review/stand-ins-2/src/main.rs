//! Checks of the second review: each starts the project's programs as processes, disturbs
//! them, and judges what clients and servers saw. Exit 1: the rule was broken, 0: it held,
//! 2: the case couldn't run.

mod client;
mod reborn_server;
mod record;
mod route_removed;
mod server;
mod site;
mod stale_worker;

use eyre::Result;
use record::Record;
use site::Site;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Longest time of a run.
const LONGEST: Duration = Duration::from_secs(112);

/// What a case came to.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Broken,
    Held,
    CouldNotRun,
}

/// Surroundings of a case.
pub struct Case {
    pub record: Record,
    /// Files of the processes.
    pub folder: PathBuf,
    /// Whether the disruption is made.
    pub trouble: bool,
}

/// Waits until all fronts are ready; `false` if they are not in time.
pub async fn all_ready(site: &Site) -> bool {
    for _ in 0..100 {
        let mut ready = true;
        for machine in site.machines.iter().filter(|machine| machine.role == site::Role::Front) {
            ready &= client::is_ready(machine.ready).await;
        }
        if ready {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    false
}

async fn told_to_stop() {
    use tokio::signal::unix::{signal, SignalKind};
    let Ok(mut told) = signal(SignalKind::terminate()) else { return std::future::pending().await };
    tokio::select! {
        _ = told.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

async fn run(name: &str, folder: &Path) -> Result<Verdict> {
    let temporary = tempfile::tempdir()?;
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = Record::create(folder)?;
    record.tell(&format!("case {name}, {}", if trouble { "with the disruption" } else { "without the disruption" }));
    let case = Case { record, folder: temporary.path().to_owned(), trouble };
    let checked = async {
        match name {
            "stale-worker" => stale_worker::run(&case).await,
            "route-removed" => route_removed::run(&case).await,
            "reborn-server" => reborn_server::run(&case).await,
            _ => Err(eyre::eyre!("no such case: {name}")),
        }
    };
    // What is dropped ends its processes.
    let verdict = tokio::select! {
        verdict = tokio::time::timeout(LONGEST, checked) => verdict.unwrap_or(Err(eyre::eyre!("it took too long"))),
        () = told_to_stop() => Err(eyre::eyre!("it was told to stop")),
    };
    if std::env::var("KEEP").is_ok() {
        println!("logs: {}", temporary.keep().display());
    }
    verdict
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-stand-ins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime");
    let verdict = runtime.block_on(run(&name, Path::new(&folder)));
    runtime.shutdown_timeout(Duration::from_millis(200));
    match verdict {
        Ok(Verdict::Broken) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Ok(Verdict::Held) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::CouldNotRun) => {
            println!("the case couldn't run");
            ExitCode::from(2)
        }
        Err(fault) => {
            println!("the case couldn't run: {fault:#}");
            ExitCode::from(2)
        }
    }
}
