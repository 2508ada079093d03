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
fn oversized_event() {
    let mut splitter = EventSplitter::default();
    let piece = vec![b'x'; 1 << 19];
    assert!(splitter.push(&piece).is_some());
    assert!(splitter.push(&piece).is_some());
    assert!(splitter.push(&piece).is_none());
}
