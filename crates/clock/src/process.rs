//! What this process uses, from `/proc`; `None` where it can't be told.

use std::time::Duration;

/// Clock ticks a second of the processor times in `/proc`.
const TICKS_PER_SECOND: u32 = 100;
/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4096;
/// Bytes of the unit of memory figures.
const BYTES_PER_KIBIBYTE: u64 = 1024;
/// Processor time in user and in kernel mode, among the fields after the program's name.
const USER_FIELD: usize = 11;
const KERNEL_FIELD: usize = 12;

/// Processor time since the process's start.
pub fn processor_time() -> Option<Duration> {
    let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
    // The second field is the program's name in brackets and may hold spaces.
    let (_, rest) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<u32>().ok();
    Some(Duration::from_secs(1) * (ticks(USER_FIELD)? + ticks(KERNEL_FIELD)?) / TICKS_PER_SECOND)
}

/// Bytes of resident memory.
pub fn resident_bytes() -> Option<u64> {
    let pages = std::fs::read_to_string("/proc/self/statm").ok()?;
    let resident = pages.split_whitespace().nth(1)?.parse::<u64>().ok()?;
    Some(resident * PAGE_BYTES)
}

/// Open descriptors. Kernels before 6.2 tell no number without a look at each.
pub fn open_descriptors() -> Option<u64> {
    let open = std::fs::metadata("/proc/self/fd").ok()?.len();
    (open > 0).then_some(open)
}

/// Memory of the machine in bytes.
pub fn machine_memory_bytes() -> Option<u64> {
    let kibibytes = number_in("/proc/meminfo", "MemTotal:")?;
    Some(kibibytes * BYTES_PER_KIBIBYTE)
}

/// Most descriptors that the process may open.
pub fn descriptor_limit() -> Option<u64> {
    number_in("/proc/self/limits", "Max open files")
}

/// The first number behind a label in a file.
fn number_in(path: &str, label: &str) -> Option<u64> {
    let text = std::fs::read_to_string(path).ok()?;
    let rest = text.lines().find_map(|line| line.strip_prefix(label))?;
    rest.split_whitespace().next()?.parse().ok()
}
