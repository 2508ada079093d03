//! The identity of a request by its content.

use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::Xxh3;

use crate::ids::IdError;

/// Hash that a request and its repeats have in common, the same in every process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestFingerprint(pub u128);

impl RequestFingerprint {
    /// The fingerprint of a request with these fields, in their order.
    pub fn of(fields: &[&[u8]]) -> Self {
        let mut hasher = Xxh3::new();
        for field in fields {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        Self(hasher.digest128())
    }

    /// Half of the fingerprint, for comparisons within one process.
    pub fn to_u64(self) -> u64 {
        self.0 as u64
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestFingerprint {
    type Err = IdError;

    fn from_str(value: &str) -> Result<Self, IdError> {
        let is_hash = value.len() == 32 && value.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = is_hash.then(|| u128::from_str_radix(value, 16).ok()).flatten();
        number
            .map(Self)
            .ok_or_else(|| IdError { kind: "request fingerprint", value: value.to_owned() })
    }
}
