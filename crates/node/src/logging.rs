//! The log: one JSON object a line, each with a numbered event.
//! `docs/LOG-EVENTS.md` is the catalogue.

use eyre::Result;
use std::time::{SystemTime, UNIX_EPOCH};

/// Sets the log up, once a process. A line's event number is its target.
///
/// # Errors
/// If the file can't be opened, or a log was set up before.
pub fn start(node: &str, level: log::LevelFilter, file: &str) -> Result<()> {
    let node = node.to_owned();
    let dispatch = fern::Dispatch::new().level(log::LevelFilter::Off).format(move |out, message, record| {
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let line = serde_json::json!({
            "time": time.as_millis() as u64,
            "level": record.level().as_str(),
            "node": node,
            "event": record.target(),
            "text": message.to_string(),
        });
        out.finish(format_args!("{line}"));
    });
    // Only numbered events are logged; libraries' lines are not.
    let dispatch = dispatch.level(level).filter(|metadata| is_event(metadata.target()));
    let dispatch =
        if file.is_empty() { dispatch.chain(std::io::stderr()) } else { dispatch.chain(fern::log_file(file)?) };
    dispatch.apply()?;
    Ok(())
}

fn is_event(target: &str) -> bool {
    target.strip_prefix('E').is_some_and(|number| number.bytes().all(|byte| byte.is_ascii_digit()))
}
