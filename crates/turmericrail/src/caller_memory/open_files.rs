//! How many descriptors callers' connections may take.

use rustix::process::{Resource, getrlimit};

/// Part of the process's descriptors for callers' connections. Each request may need one more, and
/// the store, other instances and operators need some.
const CALLERS_DIVISOR: u64 = 2;

/// Most connections of callers, by the limit on open files in force and the configured number.
pub fn max_connections(configured: u64) -> u64 {
    match getrlimit(Resource::Nofile).current {
        Some(open_files) => configured.min((open_files / CALLERS_DIVISOR).max(1)),
        None => configured,
    }
}
