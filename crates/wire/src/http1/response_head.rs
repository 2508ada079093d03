//! Parses and checks the head of an answer.

use std::ops::RangeInclusive;

use super::{BodyFraming, HeadError, Headers, MAX_HEADERS, head_length};

/// The statuses that HTTP defines.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// The head of an answer.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// The reason phrase; empty if there is none.
    pub reason: String,
    pub headers: Headers,
    pub framing: BodyFraming,
    /// Whether the server keeps the connection open after this answer.
    pub is_kept_alive: bool,
}

impl ResponseHead {
    /// Parses the head at the start of `buffer` and returns it with its length; `None` if it is
    /// incomplete. `method` is that of the request, since answers to HEAD have no body.
    pub fn parse(buffer: &[u8], method: &str) -> Result<Option<(Self, usize)>, HeadError> {
        let Some(length) = head_length(buffer)? else {
            return Ok(None);
        };
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut fields);
        let status = parsed.parse(&buffer[..length]).map_err(|_| HeadError::Malformed)?;
        if status != httparse::Status::Complete(length) {
            return Err(HeadError::Malformed);
        }
        let status = parsed.code.unwrap_or_default();
        if !STATUSES.contains(&status) {
            return Err(HeadError::UndefinedStatus(status));
        }
        let headers = Headers::from_parsed(parsed.headers);
        let has_no_body = method == "HEAD" || status < 200 || status == 204 || status == 304;
        let framing = headers.framing()?.unwrap_or(BodyFraming::UntilClose);
        let framing = if has_no_body { BodyFraming::Empty } else { framing };
        let is_http_10 = parsed.version == Some(0);
        let head = Self {
            status,
            reason: parsed.reason.unwrap_or_default().to_owned(),
            framing,
            is_kept_alive: headers.is_kept_alive(is_http_10) && framing != BodyFraming::UntilClose,
            headers,
        };
        Ok(Some((head, length)))
    }

    /// Whether this is an interim answer, after which the final one follows.
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }

    /// Whether the status is a success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}
