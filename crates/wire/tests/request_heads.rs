//! Parsing of request heads: the target stays as received, and heads that client and server could
//! interpret differently are refused.

use turmericrail_wire::http1::{BodyFraming, HeadError, RequestHead};

fn parse(text: &str) -> Result<Option<(RequestHead, usize)>, HeadError> {
    RequestHead::parse(text.as_bytes())
}

fn head(text: &str) -> RequestHead {
    parse(text).unwrap().unwrap().0
}

#[test]
fn unchanged_targets() {
    for target in ["/a/../b", "/a/./b?x=1&y=%20", "/%2e%2e/", "/a//b/;p=1", "/a?b=/../c"] {
        let parsed = head(&format!("GET {target} HTTP/1.1\r\nHost: a.example\r\n\r\n"));
        assert_eq!(parsed.target, target);
    }
}

#[test]
fn dot_segments() {
    let has = |target: &str| {
        head(&format!("GET {target} HTTP/1.1\r\nHost: a\r\n\r\n")).has_dot_segments()
    };
    for target in ["/a/../b", "/.", "/a/%2E%2e/b", "/.%2e", "/a/..?x=1"] {
        assert!(has(target), "{target}");
    }
    for target in ["/a..b/", "/...", "/a?b=/../c", "/a/.b/", "/"] {
        assert!(!has(target), "{target}");
    }
}

#[test]
fn host_names() {
    for (host, name) in
        [("A.example:80", "a.example"), ("a.example", "a.example"), ("[::1]", "[::1]")]
    {
        assert_eq!(head(&format!("GET / HTTP/1.1\r\nHost: {host}\r\n\r\n")).host, name);
    }
    assert_eq!(parse("GET / HTTP/1.1\r\n\r\n"), Err(HeadError::BadHost));
    let two = "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n";
    assert_eq!(parse(two), Err(HeadError::BadHost));
}

#[test]
fn incomplete_heads() {
    let whole = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
    for length in 0..whole.len() - 3 {
        assert_eq!(parse(&whole[..length]), Ok(None), "{length}");
    }
    let (head, length) = parse(whole).unwrap().unwrap();
    assert_eq!(head.framing, BodyFraming::Length(3));
    assert_eq!(&whole[length..], "abc");
}

#[test]
fn ambiguous_lengths() {
    let fields = [
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: 3\r\nContent-Length: 3",
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Content-Length: +5",
        "Content-Length: 5, 5",
        "Content-Length: -1",
        "Content-Length: 0x5",
        "Content-Length:",
        "Content-Length: 9999999999999999999",
    ];
    for field in fields {
        let text = format!("POST / HTTP/1.1\r\nHost: a\r\n{field}\r\n\r\n");
        assert_eq!(parse(&text), Err(HeadError::AmbiguousLength), "{field}");
    }
}

#[test]
fn unknown_codings() {
    for coding in ["xchunked", "gzip, chunked", "identity", "chunked, chunked"] {
        let text = format!("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: {coding}\r\n\r\n");
        assert_eq!(parse(&text), Err(HeadError::UnsupportedCoding), "{coding}");
    }
    let old = "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(parse(old), Err(HeadError::AmbiguousLength));
}

#[test]
fn bare_line_ends() {
    for text in [
        "GET / HTTP/1.1\nHost: a\n\n",
        "GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX: b\rY: c\r\n\r\n",
    ] {
        assert_eq!(parse(text), Err(HeadError::BareLineEnd), "{text:?}");
    }
}

#[test]
fn malformed_heads() {
    for text in [
        "GET / HTTP/1.1\r\nHost: a\r\n folded: b\r\n\r\n",
        "GET / HTTP/1.1\r\nHost : a\r\n\r\n",
        "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET / HTTP/2.0\r\nHost: a\r\n\r\n",
    ] {
        assert!(parse(text).is_err(), "{text:?}");
    }
    let absolute = "GET http://b/x HTTP/1.1\r\nHost: a\r\n\r\n";
    assert_eq!(parse(absolute), Err(HeadError::BadTarget));
}

#[test]
fn hop_by_hop() {
    let text = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n\
                Keep-Alive: timeout=5\r\nX-End: 2\r\nContent-Length: 0\r\n\r\n";
    let parsed = head(text);
    let kept: Vec<_> = parsed.headers.end_to_end().map(|field| field.name.as_str()).collect();
    assert_eq!(kept, ["Host", "X-End"]);
    assert!(!parsed.is_kept_alive);
    assert_eq!(parsed.headers.keep_alive_s(), Some(5));
}

#[test]
fn leading_empty_lines() {
    let (parsed, length) = parse("\r\n\r\nGET /a HTTP/1.1\r\nHost: a\r\n\r\n").unwrap().unwrap();
    assert_eq!((parsed.target.as_str(), length), ("/a", 32));
}
