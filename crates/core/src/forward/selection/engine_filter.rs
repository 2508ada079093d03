//! Which engines a call may use.

use crate::forward::{ServerRun, SoftwareVersion};

/// The software version that the next engine of a call must run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum VersionNeed<'a> {
    /// Any: no event has been written.
    #[default]
    Any,
    /// That of the engine which wrote before. Without a version, only engines that state none
    /// either.
    Same(Option<&'a SoftwareVersion>),
}

/// The engines that a call may not use, and the version that it needs.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineFilter<'a> {
    /// Runs that were tried or are full.
    pub excluded: &'a [ServerRun],
    /// The version of what the engine goes on with.
    pub version: VersionNeed<'a>,
}

impl EngineFilter<'_> {
    /// Whether an engine may be used.
    pub fn allows(&self, run: &ServerRun, version: Option<&SoftwareVersion>) -> bool {
        let is_version = match self.version {
            VersionNeed::Any => true,
            VersionNeed::Same(needed) => needed == version,
        };
        is_version && !self.excluded.contains(run)
    }
}

impl<'a> From<&'a [ServerRun]> for EngineFilter<'a> {
    fn from(excluded: &'a [ServerRun]) -> Self {
        Self { excluded, version: VersionNeed::Any }
    }
}

impl<'a> From<&'a Vec<ServerRun>> for EngineFilter<'a> {
    fn from(excluded: &'a Vec<ServerRun>) -> Self {
        Self::from(excluded.as_slice())
    }
}

impl<'a, const COUNT: usize> From<&'a [ServerRun; COUNT]> for EngineFilter<'a> {
    fn from(excluded: &'a [ServerRun; COUNT]) -> Self {
        Self::from(excluded.as_slice())
    }
}
