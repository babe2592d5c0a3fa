//! The `latchwheel-emulator` program: stand-ins on loopback for tests and
//! experiments.

use eyre::{bail, eyre, Result, WrapErr};
use getopts::{Matches, Options};
use latchwheel_emulator::engine::{Engine, EngineSettings};
use latchwheel_emulator::platform::{KeyValue, KeyValueSettings, MachineList, WeightSettings, WeightStore};
use latchwheel_emulator::relay::{LinkRule, LinkState, Relay};
use latchwheel_emulator::site::{Site, SiteSettings};
use serde::de::DeserializeOwned;
use std::process::ExitCode;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;

const EXIT_USAGE: u8 = 2;
const EXIT_FAULT: u8 = 1;
const USAGE: &str = "latchwheel-emulator engine|kv|machines|weights|relay|site [options]";

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options.optopt("s", "settings", "TOML settings of the stand-in", "FILE");
    options.optopt("l", "listen", "address to listen on (default 127.0.0.1:0)", "ADDRESS");
    options.optopt("a", "admin", "relay: address of its administration calls", "ADDRESS");
    options.optopt("t", "target", "relay: address to pass on to", "ADDRESS");
    options.optopt("d", "delay", "relay: one-way delay in microseconds", "NUMBER");
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
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("latchwheel-emulator {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match start(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("latchwheel-emulator: {fault:#}");
            ExitCode::from(EXIT_FAULT)
        }
    }
}

fn start(matches: &Matches) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(run(matches))
}

async fn run(matches: &Matches) -> Result<()> {
    let (stop_sender, stop) = watch::channel(false);
    tokio::spawn(async move {
        let _ = tokio::signal::ctrl_c().await;
        stop_sender.send_replace(true);
    });
    let kind = matches.free.first().map(String::as_str).unwrap_or_default();
    if kind == "site" {
        let settings: SiteSettings = settings(matches)?.ok_or_else(|| eyre!("site needs --settings FILE"))?;
        let site = Site::start(&settings, &stop).await?;
        println!("{}", serde_json::to_string(&site.addresses)?);
        site.stopped().await;
        return Ok(());
    }
    let address = matches.opt_str("listen").unwrap_or_else(|| "127.0.0.1:0".into());
    let listener = TcpListener::bind(&address).await.wrap_err_with(|| format!("cannot listen on {address}"))?;
    println!("{}", serde_json::json!({ "address": listener.local_addr()?.to_string() }));
    match kind {
        "engine" => Engine::new(settings::<EngineSettings>(matches)?.unwrap_or_default()).run(listener, stop).await,
        "kv" => KeyValue::new(&settings::<KeyValueSettings>(matches)?.unwrap_or_default()).run(listener, stop).await,
        "machines" => MachineList::new(Duration::ZERO).run(listener, stop).await,
        "weights" => {
            WeightStore::new(settings::<WeightSettings>(matches)?.unwrap_or_default()).run(listener, stop).await;
        }
        "relay" => run_relay(matches, listener, stop).await?,
        other => bail!("no stand-in is called {other:?}; allowed: engine, kv, machines, weights, relay, site"),
    }
    Ok(())
}

async fn run_relay(matches: &Matches, listener: TcpListener, stop: watch::Receiver<bool>) -> Result<()> {
    let target = matches.opt_str("target").ok_or_else(|| eyre!("relay needs --target ADDRESS"))?;
    let delay_microseconds = matches.opt_get_default("delay", 0).map_err(|fault| eyre!("--delay: {fault}"))?;
    let everyone = LinkRule { delay_microseconds, ..LinkRule::default() };
    let state = LinkState { rules: vec![everyone] };
    let relay = Relay::new(target.parse().wrap_err("--target is no address")?, state);
    if let Some(admin) = matches.opt_str("admin") {
        let admin = TcpListener::bind(admin).await?;
        tokio::spawn(relay.clone().run_admin(admin, stop.clone()));
    }
    let datagrams = UdpSocket::bind(listener.local_addr()?).await.wrap_err("cannot bind the UDP port of the link")?;
    relay.run(listener, datagrams, stop).await;
    Ok(())
}

fn settings<T: DeserializeOwned>(matches: &Matches) -> Result<Option<T>> {
    let Some(path) = matches.opt_str("settings") else { return Ok(None) };
    let text = std::fs::read_to_string(&path).wrap_err_with(|| format!("cannot read {path}"))?;
    toml::from_str(&text).map(Some).wrap_err_with(|| format!("{path} has a fault"))
}
