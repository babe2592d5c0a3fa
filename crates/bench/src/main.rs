//! The `latchwheel-bench` program: runs scenarios against separate processes
//! on loopback, with baselines in the same run, and measures slopes.

mod batches;
mod faults;
mod load;
mod processes;
mod recorder;
mod report;
mod run;
mod scenario;
mod variant;

use eyre::{bail, eyre, Result};
use getopts::{Matches, Options};
use report::Report;
use scenario::Scenario;
use std::path::Path;
use std::process::ExitCode;
use variant::Variant;

const EXIT_USAGE: u8 = 2;
const EXIT_FAULT: u8 = 1;
const USAGE: &str = "latchwheel-bench COMMAND [options]

Commands:
    run SCENARIO      run a scenario with its baselines";

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options.optopt("o", "output", "file for the report as JSON", "FILE");
    options.optopt("s", "seconds", "length of the measured part instead of the scenario's", "NUMBER");
    options.optopt("v", "variants", "variants, by commas (default all)", "NAMES");
    options
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = options();
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(fault) => {
            eprintln!("{fault}\n{}", options.usage(USAGE));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches.opt_present("help") || matches.free.is_empty() {
        println!("{}", options.usage(USAGE));
        return if matches.opt_present("help") { ExitCode::SUCCESS } else { ExitCode::from(EXIT_USAGE) };
    }
    if matches.opt_present("version") {
        println!("latchwheel-bench {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match start(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("latchwheel-bench: {fault:#}");
            ExitCode::from(EXIT_FAULT)
        }
    }
}

fn start(matches: &Matches) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        match matches.free[0].as_str() {
            "run" => run_scenario(matches).await,
            other => bail!("no command is called {other:?}"),
        }
    })
}

async fn run_scenario(matches: &Matches) -> Result<()> {
    let path = matches.free.get(1).ok_or_else(|| eyre!("run needs a scenario file"))?;
    let mut scenario = Scenario::read(Path::new(path))?;
    if let Some(seconds) = matches.opt_get("seconds").map_err(|fault| eyre!("--seconds: {fault}"))? {
        scenario.seconds = seconds;
    }
    let mut report =
        Report { scenario: scenario.name.clone(), seed: scenario.seed, seconds: scenario.seconds, variants: vec![] };
    for variant in chosen_variants(matches)? {
        report.variants.push(run::run_variant(&scenario, variant).await?);
    }
    print!("{}", report.text());
    if let Some(file) = matches.opt_str("output") {
        std::fs::write(file, serde_json::to_string_pretty(&report)?)?;
    }
    Ok(())
}

fn chosen_variants(matches: &Matches) -> Result<Vec<Variant>> {
    let Some(names) = matches.opt_str("variants") else { return Ok(Variant::ALL.to_vec()) };
    names.split(',').map(|name| Variant::of_name(name).ok_or_else(|| eyre!("no variant is called {name:?}"))).collect()
}
