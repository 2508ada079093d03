//! The software version that an answer is bound to.

use turmericrail_core::forward::{SoftwareVersion, VersionNeed};

/// Where an answer has begun, at this instance or before the caller took it up.
#[derive(Clone, Debug, Default)]
pub enum BegunVersion {
    /// It hasn't begun.
    #[default]
    None,
    /// It hasn't begun, but an engine of this version may have run it. Others of its version alone
    /// may run it now, so that a run that an engine reports tells the version of the stream.
    SentTo(SoftwareVersion),
    /// At an engine of this software version; `None` if it states none.
    At(Option<SoftwareVersion>),
}

impl BegunVersion {
    /// The version that the next engine must have; `None` if no engine may go on with the answer,
    /// since the one that began it states no version.
    pub fn need(&self) -> Option<VersionNeed<'_>> {
        match self {
            BegunVersion::None => Some(VersionNeed::Any),
            BegunVersion::SentTo(version) | BegunVersion::At(Some(version)) => {
                Some(VersionNeed::Same(Some(version)))
            }
            BegunVersion::At(None) => None,
        }
    }
}
