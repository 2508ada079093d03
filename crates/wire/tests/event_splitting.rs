//! Only complete events are forwarded, and the id of the last one is kept.

use turmericrail_wire::http1::{EventError, EventSplitter};

/// Adds bytes; returns the events that are now complete.
fn push(splitter: &mut EventSplitter, bytes: &[u8]) -> Result<Vec<u8>, EventError> {
    let mut events = Vec::new();
    splitter.push(bytes, &mut events).map(|()| events)
}

#[test]
fn all_piece_sizes() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\nid: 4\nda";
    for piece_bytes in 1..stream.len() {
        let mut splitter = EventSplitter::default();
        let mut complete = Vec::new();
        for piece in stream.chunks(piece_bytes) {
            complete.extend(push(&mut splitter, piece).unwrap());
            assert!(complete.is_empty() || complete.ends_with(b"\n"), "piece_bytes {piece_bytes}");
        }
        assert_eq!(splitter.last_id(), Some("3"), "piece_bytes {piece_bytes}");
        assert_eq!(splitter.event_count(), 3, "piece_bytes {piece_bytes}");
        let partial = splitter.take_partial();
        assert_eq!([complete, partial].concat(), stream, "piece_bytes {piece_bytes}");
    }
}

#[test]
fn incomplete_event() {
    let mut splitter = EventSplitter::default();
    assert_eq!(push(&mut splitter, b"id: 7\ndata: x\n\nid: 8\nda").unwrap(), b"id: 7\ndata: x\n\n");
    assert_eq!(splitter.take_partial(), b"id: 8\nda");
    assert_eq!(push(&mut splitter, b"id: 8\ndata: y\n\n").unwrap(), b"id: 8\ndata: y\n\n");
    assert_eq!(splitter.last_id(), Some("8"));
}

#[test]
fn open_event() {
    // Guards against a stream that counts as finished inside an event, or as unfinished for a line
    // end after its last event.
    let is_open = |text: &[u8]| {
        let mut splitter = EventSplitter::default();
        push(&mut splitter, text).unwrap();
        splitter.is_inside_event()
    };
    for whole in ["", "id: 1\n\n", "id: 1\n\n\n", "id: 1\r\n\r\n\r\n", "id: 1\r\r"] {
        assert!(!is_open(whole.as_bytes()), "{whole:?}");
    }
    for open in ["i", "id: 1\n", "id: 1\r\n", "id: 1\n\nid: 2\ndata: x", "id: 1\n\n:"] {
        assert!(is_open(open.as_bytes()), "{open:?}");
    }
}

#[test]
fn carriage_returns() {
    let mut splitter = EventSplitter::default();
    push(&mut splitter, b"id: 1\rdata: a\r\rid: 2\rdata: b\r\r").unwrap();
    assert_eq!((splitter.event_count(), splitter.last_id()), (2, Some("2")));
}

#[test]
fn oversized_event() {
    let mut splitter = EventSplitter::default();
    let piece = vec![b'x'; 1 << 19];
    assert_eq!(push(&mut splitter, &piece), Ok(Vec::new()));
    assert_eq!(push(&mut splitter, &piece), Ok(Vec::new()));
    assert_eq!(push(&mut splitter, &piece), Err(EventError::TooLong));
}

/// The events that are accepted after the event with this id, and why the next one is refused.
fn follow(last_id: Option<&str>, bytes: &[u8]) -> (Vec<u8>, Result<(), EventError>) {
    let mut splitter = EventSplitter::after(last_id);
    splitter.require_order();
    let mut events = Vec::new();
    let pushed = splitter.push(bytes, &mut events);
    (events, pushed)
}

#[test]
fn following_events() {
    // Guards against events that are refused although they go on with a stream.
    for (last_id, text) in [
        (Some("3"), "id: 4\ndata: a\n\nid: 9\ndata: b\n\n"),
        (Some("3"), ": comment\n\n\nid:4\r\ndata: a\r\n\r\n"),
        (Some("9"), "version: 7\nid: 10\ndata: a\n\n"),
        (Some("a"), "id: b\n\nid: 1\n\nid: a\n\n"),
        (None, "id: 1\ndata: a\n\n"),
    ] {
        let accepted = (text.as_bytes().to_vec(), Ok(()));
        assert_eq!(follow(last_id, text.as_bytes()), accepted, "{last_id:?} {text:?}");
    }
}

#[test]
fn unordered_events() {
    // Guards against events that are joined to a stream which they don't go on with.
    for (last_id, accepted, refused) in [
        (Some("3"), "", "id: 1\ndata: a\n\n"),
        (Some("3"), "", "id: 3\ndata: a\n\n"),
        (Some("10"), "", "id: 9\ndata: a\n\n"),
        (Some("a"), "", "id: a\ndata: a\n\n"),
        (Some("3"), "", "data: a\n\n"),
        (None, "", "overloaded\n\n"),
        (Some("3"), "id: 4\ndata: a\n\n", "{\"error\":\"overloaded\"}\n\n"),
        (Some("3"), "id: 4\ndata: a\n\n", "id: 4\ndata: a\n\n"),
        (Some("3"), "", "HTTP/1.1 500 Failed\r\nContent-Length: 1\r\n\r\n"),
    ] {
        let text = format!("{accepted}{refused}id: 99\ndata: c\n\n");
        let expected = (accepted.as_bytes().to_vec(), Err(EventError::OutOfOrder));
        assert_eq!(follow(last_id, text.as_bytes()), expected, "{last_id:?} {text:?}");
    }
}
