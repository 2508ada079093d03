//! Refusals of HEAD requests, which have no body.

mod forward_support;

use std::io::{Read, Write};

use forward_support::{ForwardInstance, read_reply};

/// What the instance writes on one connection for these bytes until it closes it.
fn read_all(instance: &ForwardInstance, text: &str) -> String {
    let mut stream = instance.connect();
    stream.write_all(text.as_bytes()).unwrap();
    let mut answers = String::new();
    stream.read_to_string(&mut answers).unwrap();
    answers
}

fn head_text(path: &str, version: &str, fields: &str) -> String {
    format!("HEAD {path} HTTP/{version}\r\nHost: a.example\r\nX-Request-Id: r1\r\n{fields}\r\n")
}

#[test]
fn kept_connection() {
    // Guards against a body after the refusal of a HEAD request, which the caller would read as the
    // start of its next answer.
    let instance = ForwardInstance::start("head-kept");
    let next = "GET /none HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r2\r\n\r\n";
    for (path, status) in [("/none", 404), ("/read/x", 503), ("/order/x", 503), ("/stream/x", 503)]
    {
        let mut stream = instance.connect();
        let text = format!("{}{next}", head_text(path, "1.1", ""));
        stream.write_all(text.as_bytes()).unwrap();
        let mut buffer = Vec::new();
        while !buffer.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            buffer.extend(byte);
        }
        let head = String::from_utf8(std::mem::take(&mut buffer)).unwrap();
        assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
        let mut start = [0; 9];
        stream.read_exact(&mut start).unwrap();
        assert_eq!(&start, b"HTTP/1.1 ", "{path}: a body follows the refusal");
        buffer.extend(start);
        assert_eq!(read_reply(&mut stream, &mut buffer).unwrap().status(), 404);
    }
}

#[test]
fn refused_while_read() {
    // Guards against the same where the request is refused before it was read whole, and where the
    // connection is closed after the refusal.
    let instance = ForwardInstance::start("head-unread");
    let long = format!("X-Long: {}\r\n", "x".repeat(5_000));
    let two_lengths = "Content-Length: 1\r\nContent-Length: 2\r\n";
    let cases = [
        ("a closed connection", head_text("/none", "1.1", "Connection: close\r\n"), 404),
        ("HTTP/1.0", head_text("/none", "1.0", ""), 404),
        ("a long head", head_text("/read/x", "1.1", &long), 431),
        ("two lengths", head_text("/read/x", "1.1", two_lengths), 400),
        ("an empty line before it", format!("\r\n{}", head_text("x", "1.1", "")), 400),
        ("a long body", head_text("/read/x", "1.1", "Content-Length: 70000\r\n"), 413),
        ("a head without an end", "HEAD /read/x HTTP/1.1\r\nHost:".to_owned(), 408),
        ("a body that doesn't come", head_text("/read/x", "1.1", "Content-Length: 9\r\n"), 408),
    ];
    for (name, text, status) in cases {
        let answer = read_all(&instance, &text);
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{name}: {answer}");
        assert!(answer.ends_with("\r\n\r\n"), "{name}: {answer}");
    }
}
