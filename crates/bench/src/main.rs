//! The `latchwheel-bench` program: runs scenarios against separate processes
//! on loopback, with baselines in the same run, and measures slopes.

use eyre::{bail, eyre, Result, WrapErr};
use getopts::{Matches, Options};
use latchwheel_bench::load;
use latchwheel_bench::report::Report;
use latchwheel_bench::run;
use latchwheel_bench::scenario::Scenario;
use latchwheel_bench::slopes;
use latchwheel_bench::variant::Variant;
use std::path::Path;
use std::process::ExitCode;

const EXIT_USAGE: u8 = 2;
const EXIT_FAULT: u8 = 1;
const USAGE: &str = "latchwheel-bench COMMAND [options]

Commands:
    run SCENARIO      run a scenario with its baselines
    replay SCENARIO TRACE
                      run a scenario with the online requests of a trace
    compare A B       put two reports (JSON) side by side
    slopes            measure decisions, store groups, and what a node adds";

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options.optopt("o", "output", "file for the report as JSON", "FILE");
    options.optopt("s", "seconds", "length of the measured part instead of the scenario's", "NUMBER");
    options.optopt("r", "record", "run: file for the online requests as a trace", "FILE");
    options.optopt("p", "plots", "folder for plots", "FOLDER");
    options.optopt("", "items", "slopes: items of a store group (default 100000)", "NUMBER");
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
    if matches.opt_present("version") {
        println!("latchwheel-bench {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("help") || matches.free.is_empty() {
        println!("{}", options.usage(USAGE));
        return if matches.opt_present("help") { ExitCode::SUCCESS } else { ExitCode::from(EXIT_USAGE) };
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
            "run" | "replay" => run_scenario(matches).await,
            "compare" => compare(matches),
            "slopes" => run_slopes(matches).await,
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
    let requests = match matches.free[0].as_str() {
        "replay" => {
            let trace = matches.free.get(2).ok_or_else(|| eyre!("replay needs a trace"))?;
            load::read_trace(Path::new(trace), scenario.online.len())?
        }
        _ => load::plan(&scenario),
    };
    if let Some(file) = matches.opt_str("record") {
        load::record(&requests, Path::new(&file))?;
    }
    for variant in chosen_variants(matches)? {
        report.variants.push(run::run_requests(&scenario, variant, requests.clone()).await?);
    }
    print!("{}", report.text());
    if let Some(file) = matches.opt_str("output") {
        std::fs::write(file, serde_json::to_string_pretty(&report)?)?;
    }
    Ok(())
}

fn compare(matches: &Matches) -> Result<()> {
    let read = |position: usize| -> Result<Report> {
        let path = matches.free.get(position).ok_or_else(|| eyre!("compare needs two reports"))?;
        let text = std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {path}"))?;
        serde_json::from_str(&text).wrap_err_with(|| format!("{path} is no report"))
    };
    print!("{}", latchwheel_bench::report::compare(&read(1)?, &read(2)?));
    Ok(())
}

fn chosen_variants(matches: &Matches) -> Result<Vec<Variant>> {
    let Some(names) = matches.opt_str("variants") else { return Ok(Variant::ALL.to_vec()) };
    names.split(',').map(|name| Variant::of_name(name).ok_or_else(|| eyre!("no variant is called {name:?}"))).collect()
}

async fn run_slopes(matches: &Matches) -> Result<()> {
    let items = matches.opt_get_default("items", 100_000).map_err(|fault| eyre!("--items: {fault}"))?;
    let seconds = matches.opt_get_default("seconds", 8).map_err(|fault| eyre!("--seconds: {fault}"))?;
    let command = std::env::args().skip(1).collect::<Vec<_>>().join(" ");
    let report = slopes::run(format!("latchwheel-bench {command}"), items, seconds).await?;
    print!("{}", report.text());
    if let Some(folder) = matches.opt_str("plots") {
        report.draw(Path::new(&folder))?;
    }
    if let Some(file) = matches.opt_str("output") {
        std::fs::write(file, serde_json::to_string_pretty(&report)?)?;
    }
    Ok(())
}
