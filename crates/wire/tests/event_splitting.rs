//! Only complete events are forwarded, and the id of the last one is kept.

use turmericrail_wire::http1::EventSplitter;

#[test]
fn all_piece_sizes() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\nid: 4\nda";
    for piece_bytes in 1..stream.len() {
        let mut splitter = EventSplitter::default();
        let mut complete = Vec::new();
        for piece in stream.chunks(piece_bytes) {
            complete.extend(splitter.push(piece).unwrap());
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
    assert_eq!(splitter.push(b"id: 7\ndata: x\n\nid: 8\nda").unwrap(), b"id: 7\ndata: x\n\n");
    assert_eq!(splitter.take_partial(), b"id: 8\nda");
    assert_eq!(splitter.push(b"id: 8\ndata: y\n\n").unwrap(), b"id: 8\ndata: y\n\n");
    assert_eq!(splitter.last_id(), Some("8"));
}

#[test]
fn open_event() {
    // Guards against a stream that counts as finished inside an event, or as unfinished for a line
    // end after its last event.
    let is_open = |text: &[u8]| {
        let mut splitter = EventSplitter::default();
        splitter.push(text).unwrap();
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
    splitter.push(b"id: 1\rdata: a\r\rid: 2\rdata: b\r\r").unwrap();
    assert_eq!((splitter.event_count(), splitter.last_id()), (2, Some("2")));
}

#[test]
fn oversized_event() {
    let mut splitter = EventSplitter::default();
    let piece = vec![b'x'; 1 << 19];
    assert!(splitter.push(&piece).is_some());
    assert!(splitter.push(&piece).is_some());
    assert!(splitter.push(&piece).is_none());
}
