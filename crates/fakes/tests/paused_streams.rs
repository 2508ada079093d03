//! A fake engine that pauses in its answer also answers a request that resumes near the end.

use std::io::Write;
use std::net::TcpStream;

use turmericrail_fakes::registered::{Behaviour, FakeStore, RegisteredServer, Reply};

#[test]
fn pause_after_last_event() {
    let store = FakeStore::start().unwrap();
    let engine = RegisteredServer::start(&store, "d1", Some("decode")).unwrap();
    for (last_event_id, event_count) in [("5", 0), ("4", 1), ("2", 3)] {
        engine.set_next_behaviours(&[Behaviour::Pause]);
        let mut stream = TcpStream::connect(engine.address()).unwrap();
        let request = format!(
            "POST /x HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1\r\nX-Expect-Instance: d1\r\n\
             Last-Event-Id: {last_event_id}\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).unwrap();
        let reply = Reply::read(&mut stream, &mut Vec::new()).unwrap().expect("an answer comes");
        assert!(reply.is_complete, "after event {last_event_id}");
        assert_eq!(reply.body.matches("data:").count(), event_count);
    }
}
