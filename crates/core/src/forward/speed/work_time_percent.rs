//! The figure that a server states about its momentary speed.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// Greatest figure; a server that is a hundred times as slow as usual would time out.
const MAX_PERCENT: f64 = 10_000.0;

/// How long work takes at a server at the moment, in percent of usual.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WorkTimePercent(u32);

/// Why a figure can't be used.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{text:?} is not a percentage from 1 to {MAX_PERCENT}")]
pub struct WorkTimeError {
    text: String,
}

impl WorkTimePercent {
    /// The figure as a factor on the usual time.
    pub fn ratio(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl fmt::Display for WorkTimePercent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for WorkTimePercent {
    type Err = WorkTimeError;

    fn from_str(text: &str) -> Result<Self, WorkTimeError> {
        let error = || WorkTimeError { text: text.to_owned() };
        let percent: f64 = text.parse().map_err(|_| error())?;
        // NaN is not contained.
        if !(1.0..=MAX_PERCENT).contains(&percent) {
            return Err(error());
        }
        Ok(Self(percent.round() as u32))
    }
}
