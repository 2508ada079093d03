//! The header fields of one head, and what they say about connection and body.

use super::{BodyFraming, HeadError, Header};

/// Fields that apply to one connection only, besides those that the `connection` field lists.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Limit of the digits of a body length, so that it fits into 64 bits.
const MAX_LENGTH_DIGITS: usize = 18;

/// The header fields of one head, in the order in which they were received.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Headers(pub Vec<Header>);

impl Headers {
    pub(super) fn from_parsed(parsed: &[httparse::Header<'_>]) -> Self {
        let copy = |field: &httparse::Header<'_>| Header {
            name: field.name.to_owned(),
            value: field.value.to_owned(),
        };
        Self(parsed.iter().map(copy).collect())
    }

    /// The values of all fields with this name.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.0.iter().filter(move |field| field.has_name(name)).map(|field| &*field.value)
    }

    /// The value of the first field with this name; `None` if it is not UTF-8.
    pub fn text<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.values(name).next().and_then(|value| std::str::from_utf8(value).ok())
    }

    /// Whether the comma-separated list in the fields with this name contains `token`.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.tokens(name).any(|listed| listed.eq_ignore_ascii_case(token))
    }

    fn tokens<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let texts = self.values(name).filter_map(|value| std::str::from_utf8(value).ok());
        texts.flat_map(|text| text.split(',')).map(str::trim)
    }

    /// The fields that a proxy forwards: all but hop-by-hop fields and the body length.
    pub fn end_to_end(&self) -> impl Iterator<Item = &Header> {
        self.0.iter().filter(|field| !self.is_hop_by_hop(field))
    }

    fn is_hop_by_hop(&self, field: &Header) -> bool {
        field.has_name("content-length")
            || HOP_BY_HOP.iter().any(|name| field.has_name(name))
            || self.has_token("connection", &field.name)
    }

    /// Whether the sender keeps the connection open after this message.
    pub(super) fn is_kept_alive(&self, is_http_10: bool) -> bool {
        if self.has_token("connection", "close") {
            return false;
        }
        !is_http_10 || self.has_token("connection", "keep-alive")
    }

    /// Seconds for which the sender keeps an idle connection, if it says so.
    pub fn keep_alive_s(&self) -> Option<u64> {
        let timeout = self.tokens("keep-alive").find_map(|token| token.strip_prefix("timeout="));
        timeout.and_then(|seconds| seconds.parse().ok())
    }

    /// The framing of the body; `None` if no field determines it.
    pub(super) fn framing(&self) -> Result<Option<BodyFraming>, HeadError> {
        let codings: Vec<_> = self.values("transfer-encoding").collect();
        let lengths: Vec<_> = self.values("content-length").collect();
        match (&*codings, &*lengths) {
            ([], []) => Ok(None),
            ([], [length]) => parse_length(length).map(|length| Some(BodyFraming::Length(length))),
            ([coding], []) if coding.eq_ignore_ascii_case(b"chunked") => {
                Ok(Some(BodyFraming::Chunked))
            }
            ([_], []) => Err(HeadError::UnsupportedCoding),
            _ => Err(HeadError::AmbiguousLength),
        }
    }

    /// Appends the fields and the empty line that ends the head.
    pub fn write_to(&self, out: &mut Vec<u8>) {
        for field in &self.0 {
            out.extend_from_slice(field.name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(&field.value);
            out.extend_from_slice(b"\r\n");
        }
        out.extend_from_slice(b"\r\n");
    }
}

fn parse_length(digits: &[u8]) -> Result<u64, HeadError> {
    let is_number = (1..=MAX_LENGTH_DIGITS).contains(&digits.len())
        && digits.iter().all(|digit| digit.is_ascii_digit());
    if !is_number {
        return Err(HeadError::AmbiguousLength);
    }
    Ok(digits.iter().fold(0, |length, digit| length * 10 + u64::from(digit - b'0')))
}
