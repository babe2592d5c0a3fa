//! Output of events: `log` and `fern` with a writer that never blocks.

use crate::budget::LineBudget;
use crate::event::Event;
use crate::metrics;
use eyre::Result;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Log target of the events.
const EVENT_TARGET: &str = "event";

/// Longest line; a pipe that polls as writable accepts this much without blocking.
const MAX_LINE_BYTES: usize = 4096;

static BUDGET: Mutex<Option<LineBudget>> = Mutex::new(None);
static UNREAD_LINES: AtomicU64 = AtomicU64::new(0);

/// Initializes the log, once per process. Earlier events are dropped.
///
/// # Errors
/// If a logger is installed already.
pub fn start(node: &str, role: &str) -> Result<()> {
    let node = serde_json::to_string(node)?;
    let role = serde_json::to_string(role)?;
    let origin = Instant::now();
    fern::Dispatch::new()
        .level(log::LevelFilter::Info)
        .filter(|metadata| metadata.target() == EVENT_TARGET)
        .format(move |out, message, _| {
            let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
            let steady = origin.elapsed().as_millis();
            out.finish(format_args!(
                "{{\"time\":{time},\"steady\":{steady},\"node\":{node},\"role\":{role},{message}}}"
            ));
        })
        .chain(Box::new(StandardOutput) as Box<dyn Write + Send>)
        .apply()?;
    if let Ok(mut budget) = BUDGET.lock() {
        *budget = Some(LineBudget::default());
    }
    Ok(())
}

/// Counts an event and writes its line. `subject` is the id of the request or job of the
/// event, or empty; all nodes sample the same requests.
pub fn emit(subject: &str, event: &Event<'_>) {
    let (number, name, importance) = event.kind();
    metrics::count(event);
    let second = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    let Ok(mut guard) = BUDGET.lock() else { return };
    let Some(budget) = guard.as_mut() else { return };
    if !budget.admit(second, importance, sample_hash(subject)) {
        return;
    }
    let over_budget = budget.take_dropped();
    drop(guard);
    let not_taken = UNREAD_LINES.swap(0, Ordering::Relaxed);
    if over_budget + not_taken > 0 {
        metrics::count_dropped(over_budget + not_taken);
        let dropped = Event::LinesDropped { over_budget, not_taken };
        let (number, name, _) = dropped.kind();
        write_line(number, name, &dropped);
    }
    write_line(number, name, event);
}

fn write_line(number: u32, name: &str, event: &Event<'_>) {
    let Ok(fields) = serde_json::to_string(event) else { return };
    // The fields become part of the object of the line.
    let fields = fields.trim_start_matches('{').trim_end_matches('}');
    log::info!(target: EVENT_TARGET, "\"event\":\"E{number}\",\"name\":\"{name}\",{fields}");
}

/// FNV-1a hash of the subject, the same on every node.
fn sample_hash(subject: &str) -> u64 {
    subject.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Standard output that drops lines if the reader is too slow.
struct StandardOutput;

impl Write for StandardOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut ready = libc::pollfd { fd: libc::STDOUT_FILENO, events: libc::POLLOUT, revents: 0 };
        if bytes.len() > MAX_LINE_BYTES {
            UNREAD_LINES.fetch_add(1, Ordering::Relaxed);
            return Ok(bytes.len());
        }
        // SAFETY: one valid entry is passed, and the timeout of zero keeps the call from blocking.
        let polled = unsafe { libc::poll(&mut ready, 1, 0) };
        if polled == 0 {
            UNREAD_LINES.fetch_add(1, Ordering::Relaxed);
            return Ok(bytes.len());
        }
        std::io::stdout().write_all(bytes).map(|()| bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        std::io::stdout().flush()
    }
}
