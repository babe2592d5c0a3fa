//! `node` and `check-settings`.

use crate::arguments::Arguments;
use crate::exit::Failure;
use latchwheel_node::settings::{Settings, SettingsFault};
use latchwheel_node::{logging, Node};
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Runs a node until it is told to stop.
pub(crate) async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let (path, text) = read_settings(arguments)?;
    let settings = Settings::parse(&text).map_err(|faults| describe(&path, &faults))?;
    logging::start(&settings.name, settings.log_level, &settings.log_file)
        .map_err(|fault| Failure::Run(format!("the log can't be written: {fault}")))?;
    // Taken over before the node serves: from then on a signal cuts off nothing.
    let mut signals = StopSignals::new()?;
    let node = Node::start(settings).await.map_err(|fault| Failure::Run(format!("{fault:#}")))?;
    // Whoever started the node reads its addresses from this line.
    println!("{}", serde_json::to_string(&node.addresses).unwrap_or_default());
    signals.wait().await;
    node.stop().await;
    Ok(())
}

/// Checks settings and prints what is in force.
pub(crate) fn check_settings(arguments: &Arguments) -> Result<(), Failure> {
    let (path, text) = read_settings(arguments)?;
    print!("{}", Settings::in_force(&text).map_err(|faults| describe(&path, &faults))?);
    Ok(())
}

fn read_settings(arguments: &Arguments) -> Result<(String, String), Failure> {
    let path = arguments.need("settings")?;
    let text = std::fs::read_to_string(&path).map_err(|fault| Failure::Settings(format!("{path}: {fault}")))?;
    Ok((path, text))
}

fn describe(path: &str, faults: &[SettingsFault]) -> Failure {
    let lines: Vec<String> = faults.iter().map(|fault| format!("  {path}: {fault}")).collect();
    Failure::Settings(lines.join("\n"))
}

/// The signals that stop a program as planned. Further ones, also during the stop, do nothing.
#[derive(Debug)]
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl StopSignals {
    /// Takes the signals over.
    pub(crate) fn new() -> Result<Self, Failure> {
        let take = |kind| signal(kind).map_err(|fault| Failure::Run(format!("signals can't be taken over: {fault}")));
        Ok(Self {
            terminate: take(SignalKind::terminate())?,
            interrupt: take(SignalKind::interrupt())?,
            hang_up: take(SignalKind::hangup())?,
        })
    }

    /// Completes at SIGTERM, SIGINT or SIGHUP.
    pub(crate) async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
            _ = self.hang_up.recv() => {}
        }
    }
}
