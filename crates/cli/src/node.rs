//! `node` and `check-settings`.

use crate::arguments::Arguments;
use crate::exit::Failure;
use latchwheel_node::settings::{Settings, SettingsFault};
use latchwheel_node::{logging, Node};
use tokio::signal::unix::{signal, SignalKind};

/// Runs a node until it is told to stop.
pub(crate) async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let (path, text) = read_settings(arguments)?;
    let settings = Settings::parse(&text).map_err(|faults| describe(&path, &faults))?;
    logging::start(&settings.name, settings.log_level, &settings.log_file)
        .map_err(|fault| Failure::Run(format!("the log can't be written: {fault}")))?;
    let node = Node::start(settings).await.map_err(|fault| Failure::Run(format!("{fault:#}")))?;
    // Whoever started the node reads its addresses from this line.
    println!("{}", serde_json::to_string(&node.addresses).unwrap_or_default());
    wait_for_stop().await;
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

/// Completes at SIGTERM or SIGINT.
pub(crate) async fn wait_for_stop() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}
