//! Processor time and memory of a process, as the kernel reports them.

/// Unit of the process times in `/proc`.
const TICKS_PER_SECOND: u64 = 100;

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUse {
    /// Processor time since the start of the process, in user and kernel mode.
    pub processor_ms: u64,
    /// Resident memory.
    pub memory_kib: u64,
}

impl ProcessUse {
    /// Reads the current figures of a process; zero where they cannot be read.
    pub fn read(process: u32) -> Self {
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
        let used = ticks(11).unwrap_or_default() + ticks(12).unwrap_or_default();
        let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
        let resident_kib = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident_kib =
            resident_kib.and_then(|text| text.split_whitespace().next()?.parse().ok());
        Self {
            processor_ms: used * 1_000 / TICKS_PER_SECOND,
            memory_kib: resident_kib.unwrap_or_default(),
        }
    }
}
