//! Only whole events are passed on, and the id of the last one is known.

use turmericrail_wire::http1::EventSplitter;

#[test]
fn any_pieces() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\nid: 4\nda";
    for step in 1..stream.len() {
        let mut splitter = EventSplitter::default();
        let mut whole = Vec::new();
        for piece in stream.chunks(step) {
            whole.extend(splitter.push(piece).unwrap());
            assert!(whole.is_empty() || whole.ends_with(b"\n"), "step {step}");
        }
        assert_eq!(splitter.last_id(), Some("3"), "step {step}");
        assert_eq!(splitter.event_count(), 3, "step {step}");
        let partial = splitter.take_partial();
        assert_eq!([whole, partial].concat(), stream, "step {step}");
    }
}

#[test]
fn broken_event() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 7\ndata: x\n\nid: 8\nda").unwrap(), b"id: 7\ndata: x\n\n");
    assert_eq!(splitter.take_partial(), b"id: 8\nda");
    assert_eq!(splitter.push(b"id: 8\ndata: y\n\n").unwrap(), b"id: 8\ndata: y\n\n");
    assert_eq!(splitter.last_id(), Some("8"));
}

#[test]
fn endless_event() {
    let mut splitter = EventSplitter::default();
    let piece = vec![b'x'; 1 << 19];
    assert!(splitter.push(&piece).is_some());
    assert!(splitter.push(&piece).is_some());
    assert!(splitter.push(&piece).is_none());
}
