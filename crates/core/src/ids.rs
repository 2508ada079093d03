//! Identifiers as newtypes, each with `Display` and `FromStr`.
//!
//! Text ids are non-empty and contain only ASCII letters, digits, `-`, `_` and `.`, so they need no
//! quoting in log lines, cursors and paths. Numeric ids are plain integers.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use thiserror::Error;

const MAX_ID_BYTES: usize = 128;

/// An id could not be parsed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("bad {kind} {value:?}: use 1 to 128 letters, digits, '-', '_' or '.'")]
pub struct IdError {
    /// Kind of thing that the id identifies.
    pub kind: &'static str,
    /// The rejected text; a text id is cut to the longest valid length.
    pub value: String,
}

fn validate_text_id(kind: &'static str, value: &str) -> Result<(), IdError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    let is_valid = (1..=MAX_ID_BYTES).contains(&value.len()) && value.bytes().all(is_allowed);
    if !is_valid {
        return Err(IdError { kind, value: value.chars().take(MAX_ID_BYTES).collect() });
    }
    Ok(())
}

macro_rules! text_id {
    ($name:ident, $kind:literal) => {
        #[doc = concat!("Text id: ", $kind, ".")]
        #[derive(
            Clone, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
        )]
        pub struct $name(String);

        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(value: &str) -> Result<Self, IdError> {
                validate_text_id($kind, value)?;
                Ok(Self(value.to_owned()))
            }
        }
    };
}

macro_rules! number_id {
    ($name:ident, $kind:literal) => {
        #[doc = concat!("Numeric id: ", $kind, ".")]
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

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(value: &str) -> Result<Self, IdError> {
                let error = |_| IdError { kind: $kind, value: value.to_owned() };
                value.parse().map(Self).map_err(error)
            }
        }
    };
}

text_id!(InstanceId, "instance");
text_id!(DataCentreId, "data centre");
text_id!(ServerId, "backend server");
text_id!(CallerKind, "caller kind");
text_id!(WorkspaceId, "workspace");
text_id!(ModelId, "model");
text_id!(ModelVersion, "model version");
text_id!(AdapterId, "adapter");
text_id!(StreamId, "stream");
text_id!(RouteId, "route");
text_id!(ServiceId, "service");
text_id!(TenantId, "tenant");

number_id!(Incarnation, "incarnation");
number_id!(MemberKey, "member key");
number_id!(ConfigVersion, "configuration version");
number_id!(FencingNumber, "fencing number");
number_id!(RequestId, "request");
number_id!(ConnectionId, "connection");

/// Id of a part of a prompt that several requests may share, in hexadecimal.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PromptPartId(pub u64);

impl fmt::Display for PromptPartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PromptPartId {
    type Err = IdError;

    fn from_str(value: &str) -> Result<Self, IdError> {
        let error = || IdError { kind: "prompt part", value: value.to_owned() };
        let is_number = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = is_number.then(|| u64::from_str_radix(value, 16).ok()).flatten();
        number.map(Self).ok_or_else(error)
    }
}
