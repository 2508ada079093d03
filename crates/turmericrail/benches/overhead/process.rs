//! What a process has used, as the kernel tells it.

/// Clock ticks a second of the kernel's process times.
const TICKS_PER_SECOND: u64 = 100;

/// What a process has used.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUse {
    /// Processor time, in user and kernel mode.
    pub processor_ms: u64,
    /// Memory in use.
    pub memory_kib: u64,
}

impl ProcessUse {
    /// Reads the present figures of a process.
    pub fn read(process: u32) -> Self {
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
        let used = ticks(11).unwrap_or_default() + ticks(12).unwrap_or_default();
        let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.and_then(|text| text.split_whitespace().next()?.parse().ok());
        Self {
            processor_ms: used * 1_000 / TICKS_PER_SECOND,
            memory_kib: resident.unwrap_or_default(),
        }
    }
}
