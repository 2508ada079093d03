//! Cursors: positions at which an answer can be resumed, sealed so that altered ones are refused.
//!
//! A cursor names the decode engine, the stream and the index of the next token, so any instance
//! that reaches the engine can resume the answer without stored state. It is bound to the request,
//! so that a caller can send the request with it and the rest can be computed again. Cursors
//! issued by earlier versions of the program have no binding.

use std::fmt;

use crate::at_most_once::SealKey;
use crate::ids::{ServerId, StreamId};
use crate::request::RequestBinding;

/// Separates the seals of cursors from those of tickets.
const SEAL_PURPOSE: &str = "cursor";

/// A position in an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct Cursor {
    /// Decode engine.
    pub server: ServerId,
    pub stream: StreamId,
    /// Index of the next token that the caller lacks.
    pub next_index: u64,
    /// `None` in cursors issued by earlier versions of the program.
    pub binding: Option<RequestBinding>,
}

impl Cursor {
    /// The sealed text for the caller.
    pub fn seal(&self, seal_key: &SealKey) -> String {
        seal_key.seal(SEAL_PURPOSE, &self.to_string())
    }

    /// Parses a sealed text; `None` where it was altered or issued by another deployment.
    pub fn unseal(text: &str, seal_key: &SealKey) -> Option<Self> {
        let body = seal_key.unseal(SEAL_PURPOSE, text)?;
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
