//! Sizes, times and rates as newtypes, each with `Display` and `FromStr`.
//!
//! The text form has a unit (`250ms`, `2s`, `64KiB`, `800tokens`, `1.5GB/s`). On the wire a
//! quantity is a plain integer in the unit that the field name ends in.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A quantity could not be parsed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum UnitError {
    /// The number or the unit is missing or unknown.
    #[error("bad quantity {value:?}: expected a number followed by one of {units}")]
    Malformed {
        /// The rejected text.
        value: String,
        /// Accepted units, separated by commas.
        units: &'static str,
    },
    /// The number exceeds the limit.
    #[error("bad quantity {value:?}: too large")]
    TooLarge {
        /// The rejected text.
        value: String,
    },
}

/// Limit on parsed quantities, so that their sums stay within `u64`.
pub(crate) const MAX_QUANTITY: u64 = 1 << 53;

fn parse_quantity(
    text: &str,
    units: &'static str,
    scales: &[(&str, f64)],
) -> Result<u64, UnitError> {
    let error = || UnitError::Malformed { value: text.to_owned(), units };
    let split = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (number, unit) = text.split_at(split);
    let scale = scales.iter().find(|(name, _)| *name == unit.trim()).ok_or_else(error)?.1;
    let number: f64 = number.parse().map_err(|_| error())?;
    let scaled = number * scale;
    if !scaled.is_finite() || scaled > MAX_QUANTITY as f64 {
        return Err(UnitError::TooLarge { value: text.to_owned() });
    }
    Ok(scaled.round() as u64)
}

macro_rules! quantity {
    ($name:ident, $doc:literal, $suffix:literal, $units:literal, $scales:expr) => {
        #[doc = $doc]
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            Deserialize,
            Eq,
            Hash,
            Ord,
            PartialEq,
            PartialOrd,
            Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            #[expect(missing_docs, reason = "the name says it")]
            pub const ZERO: Self = Self(0);

            /// The difference, or zero where `other` is larger.
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl From<u64> for $name {
            fn from(count: u64) -> Self {
                Self(count)
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl Sub for $name {
            type Output = Self;

            fn sub(self, other: Self) -> Self {
                self.saturating_sub(other)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $suffix), self.0)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                parse_quantity(text, $units, &$scales).map(Self)
            }
        }
    };
}

quantity!(
    Millis,
    "A duration, or a monotonic instant, in milliseconds.",
    "ms",
    "ms, s, m, h",
    [("ms", 1.0), ("s", 1e3), ("m", 6e4), ("h", 3.6e6)]
);
quantity!(
    WallMillis,
    "Wall-clock time in milliseconds since 1970-01-01 UTC.",
    "ms",
    "ms, s",
    [("ms", 1.0), ("s", 1e3)]
);
quantity!(
    Bytes,
    "A size in bytes.",
    "B",
    "B, KB, MB, GB, KiB, MiB, GiB",
    [
        ("B", 1.0),
        ("KB", 1e3),
        ("MB", 1e6),
        ("GB", 1e9),
        ("KiB", 1024.0),
        ("MiB", 1048576.0),
        ("GiB", 1073741824.0)
    ]
);
quantity!(Tokens, "A count of tokens.", "tokens", "tokens", [("tokens", 1.0)]);
quantity!(KvPieces, "A count of KV cache pieces.", "pieces", "pieces", [("pieces", 1.0)]);
quantity!(Streams, "A count of streams.", "streams", "streams", [("streams", 1.0)]);
quantity!(
    BytesPerSecond,
    "A rate in bytes a second.",
    "B/s",
    "B/s, KB/s, MB/s, GB/s",
    [("B/s", 1.0), ("KB/s", 1e3), ("MB/s", 1e6), ("GB/s", 1e9)]
);
quantity!(
    TokensPerSecond,
    "A rate in tokens a second.",
    "tokens/s",
    "tokens/s",
    [("tokens/s", 1.0)]
);

/// A number of calls a second; positive and finite.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct CallRate(f64);

// Never NaN.
impl Eq for CallRate {}

impl CallRate {
    /// A rate; `None` unless it is positive and finite.
    pub fn new(calls_per_second: f64) -> Option<Self> {
        let is_valid = calls_per_second.is_finite() && calls_per_second > 0.0;
        is_valid.then_some(Self(calls_per_second))
    }

    /// The number of calls a second.
    pub fn calls_per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for CallRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}calls/s", self.0)
    }
}

impl FromStr for CallRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let error = || UnitError::Malformed { value: text.to_owned(), units: "calls/s" };
        let number = text.strip_suffix("calls/s").ok_or_else(error)?;
        number.trim().parse().ok().and_then(Self::new).ok_or_else(error)
    }
}
