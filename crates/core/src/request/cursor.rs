//! Cursors: where an answer can be continued, sealed so that altered ones are refused.
//!
//! A cursor names the decode engine, the stream and the index of the next token, so that any
//! instance that reaches the engine can continue the answer with nothing stored. The request that
//! it is bound to lets a caller bring its request along, so that the rest can be computed again.
//! Earlier releases issued cursors without it.

use std::fmt;

use crate::at_most_once::SealKey;
use crate::ids::{ServerId, StreamId};
use crate::request::RequestBinding;

/// Purpose that separates seals of cursors from those of tickets.
const PURPOSE: &str = "cursor";

/// A place in an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cursor {
    /// The decode engine.
    pub server: ServerId,
    /// The stream.
    pub stream: StreamId,
    /// Index of the next token that the caller lacks.
    pub next_index: u64,
    /// The request; nothing in cursors of earlier releases.
    pub binding: Option<RequestBinding>,
}

impl Cursor {
    /// The text handed to the caller.
    pub fn seal(&self, seal: &SealKey) -> String {
        seal.seal(PURPOSE, &self.to_string())
    }

    /// The cursor in a text, or nothing where it was altered or issued elsewhere.
    pub fn unseal(text: &str, seal: &SealKey) -> Option<Self> {
        let body = seal.unseal(PURPOSE, text)?;
        let mut parts = body.split('/');
        let mut cursor = Cursor {
            server: parts.next()?.parse().ok()?,
            stream: parts.next()?.parse().ok()?,
            next_index: parts.next()?.parse().ok()?,
            binding: None,
        };
        if let Some(version) = parts.next() {
            let version = version.parse().ok()?;
            let fingerprint = u64::from_str_radix(parts.next()?, 16).ok()?;
            cursor.binding = Some(RequestBinding { version, fingerprint });
        }
        parts.next().is_none().then_some(cursor)
    }
}

impl fmt::Display for Cursor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.server, self.stream, self.next_index)?;
        match &self.binding {
            Some(binding) => write!(f, "/{binding}"),
            None => Ok(()),
        }
    }
}
