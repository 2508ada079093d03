//! Parses and checks the head of a request.

use super::{BodyFraming, HeadError, Headers, MAX_HEADERS, head_length};

/// The head of a request.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestHead {
    pub method: String,
    /// Path and query as received, without normalization.
    pub target: String,
    /// The host without its port, in lower case; empty if a caller with HTTP/1.0 sent none.
    pub host: String,
    pub headers: Headers,
    pub framing: BodyFraming,
    /// Whether the caller keeps the connection open after the answer.
    pub is_kept_alive: bool,
    /// Whether the caller uses HTTP/1.0, which has no chunked transfer coding.
    pub is_http_10: bool,
}

impl RequestHead {
    /// Parses the head at the start of `buffer` and returns it with its length; `None` if it is
    /// incomplete.
    pub fn parse(buffer: &[u8]) -> Result<Option<(Self, usize)>, HeadError> {
        let empty_length = leading_empty_lines(buffer);
        let Some(length) = head_length(&buffer[empty_length..])? else {
            return Ok(None);
        };
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut fields);
        let status =
            parsed.parse(&buffer[empty_length..empty_length + length]).map_err(to_head_error)?;
        if status != httparse::Status::Complete(length) {
            return Err(HeadError::Malformed);
        }
        let headers = Headers::from_parsed(parsed.headers);
        let is_http_10 = parsed.version == Some(0);
        let target = parsed.path.unwrap_or_default();
        if !target.starts_with('/') {
            return Err(HeadError::BadTarget);
        }
        let framing = headers.framing()?.unwrap_or(BodyFraming::Empty);
        if is_http_10 && framing == BodyFraming::Chunked {
            return Err(HeadError::AmbiguousLength);
        }
        let head = Self {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: target.to_owned(),
            host: host(&headers, is_http_10)?,
            framing,
            is_kept_alive: headers.is_kept_alive(is_http_10),
            is_http_10,
            headers,
        };
        Ok(Some((head, empty_length + length)))
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split(['?', '#']).next().unwrap_or_default()
    }

    /// Whether a segment of the path is `.` or `..`, percent-encoded or not. Implementations that
    /// resolve such segments see another path.
    pub fn has_dot_segments(&self) -> bool {
        let is_dot_segment = |segment: &str| {
            let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
            decoded == "." || decoded == ".."
        };
        self.path().split('/').any(is_dot_segment)
    }

    /// Whether the caller waits for an interim answer before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.headers.has_token("expect", "100-continue")
    }
}

/// Length of the empty lines that a client may send after the body of the previous request.
fn leading_empty_lines(buffer: &[u8]) -> usize {
    buffer.chunks_exact(2).take_while(|pair| *pair == b"\r\n").count() * 2
}

fn to_head_error(error: httparse::Error) -> HeadError {
    match error {
        httparse::Error::TooManyHeaders => HeadError::TooManyHeaders,
        _ => HeadError::Malformed,
    }
}

fn host(headers: &Headers, is_http_10: bool) -> Result<String, HeadError> {
    let mut values = headers.values("host");
    let (first, second) = (values.next(), values.next());
    let value = match (first, second) {
        (Some(value), None) => std::str::from_utf8(value).map_err(|_| HeadError::BadHost)?,
        (None, None) if is_http_10 => "",
        _ => return Err(HeadError::BadHost),
    };
    let name = match value.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => value,
    };
    Ok(name.to_ascii_lowercase())
}
