//! Processor time and memory of processes, from `/proc`.

/// Clock ticks a second of the processor times in `/proc`.
const CLOCK_TICKS: f64 = 100.0;
const KILOBYTES_PER_MEGABYTE: f64 = 1024.0;

/// Processor seconds of a process, or of this one for `None`.
pub fn processor_seconds(process: Option<u32>) -> f64 {
    let stat = std::fs::read_to_string(path(process, "stat")).unwrap_or_default();
    // The second field is the program's name in brackets and may hold spaces.
    let fields: Vec<&str> = stat.rsplit_once(')').map_or(Vec::new(), |(_, rest)| rest.split_whitespace().collect());
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / CLOCK_TICKS
}

/// Resident megabytes of a process, or of this one for `None`.
pub fn resident_megabytes(process: Option<u32>) -> f64 {
    status_megabytes(process, "VmRSS")
}

/// The most resident megabytes that a process has had.
pub fn peak_megabytes(process: Option<u32>) -> f64 {
    status_megabytes(process, "VmHWM")
}

fn status_megabytes(process: Option<u32>, field: &str) -> f64 {
    let status = std::fs::read_to_string(path(process, "status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(field));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)).and_then(|text| text.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / KILOBYTES_PER_MEGABYTE
}

fn path(process: Option<u32>, file: &str) -> String {
    process.map_or_else(|| format!("/proc/self/{file}"), |id| format!("/proc/{id}/{file}"))
}
