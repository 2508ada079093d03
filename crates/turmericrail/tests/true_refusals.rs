//! Answers that say that a call has not run, and calls that a server may have run.

mod forward_support;

use forward_support::ForwardInstance;
use turmericrail_fakes::registered::Behaviour;

#[test]
fn moved_read() {
    // Guards against a read that is said not to have run where it was sent to one server and
    // refused by, or could not reach, the next one.
    for (name, is_crashed) in [("moved-read-refused", false), ("moved-read-crashed", true)] {
        let instance = ForwardInstance::start(name);
        let servers = [1, 2].map(|number| instance.start_plain_server(&format!("s{number}")));
        let mut statuses = Vec::new();
        for number in 0..4 {
            servers[0].set_next_behaviours(&[Behaviour::CloseWithoutAnswer]);
            servers[1].set_behaviour(Behaviour::Refuse);
            if is_crashed && !servers[1].has_crashed() {
                servers[1].crash();
            }
            let reply = instance.send_request("read", &format!("r{number}"));
            let ran = servers.iter().flat_map(|server| server.executed_calls());
            let has_run =
                ran.filter(|call| call.request_id() == Some(&format!("r{number}"))).count() > 0;
            assert!(!has_run || reply.status() != 503, "{}", instance.read_log());
            statuses.push((has_run, reply.status()));
        }
        assert!(statuses.contains(&(true, 502)), "{statuses:?}");
    }
}

#[test]
fn moved_stream() {
    // Guards against the same for a stream of which the caller got no event.
    let instance = ForwardInstance::start("moved-stream");
    let engines = [1, 2].map(|number| instance.start_engine(&format!("d{number}"), "decode"));
    let mut has_moved = false;
    for number in 0..6 {
        engines[0].set_next_behaviours(&[Behaviour::CloseBeforeEvents]);
        engines[1].set_behaviour(Behaviour::Refuse);
        let id = format!("s{number}");
        let text = turmericrail_fakes::registered::request_text("resumable", &id, &id, 2_000);
        let reply = instance.send(&text).unwrap();
        let has_run = engines[0].executed_calls().iter().any(|call| call.request_id() == Some(&id));
        assert!(!has_run || reply.status() != 503, "{}", instance.read_log());
        has_moved |= has_run;
    }
    assert!(has_moved);
}
