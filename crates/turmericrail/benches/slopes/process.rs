//! Processor time and memory of a process, as the kernel reports them.

/// Unit of the process times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the processor time used so far, in milliseconds; 0 if it cannot be read.
pub fn processor_ms(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse().ok());
    let ticks: f64 = ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0);
    ticks * 1_000.0 / TICKS_PER_SECOND
}

/// Returns the resident memory in bytes; 0 if it cannot be read.
pub fn resident_bytes(id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    let kilobytes = line.split_whitespace().nth(1).and_then(|text| text.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) * 1024.0
}
