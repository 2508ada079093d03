//! Ends of callers' connections: each is logged with its reason, and no request is lost to one.

mod forward_support;

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use forward_support::{ForwardInstance, read_reply, request_text};

/// Limits of the configuration of these tests.
const HEADER_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends bytes on a new connection, and closes it once an answer came if one is expected.
fn send_and_close(instance: &ForwardInstance, text: &str, is_answered: bool) {
    let mut stream = instance.connect();
    stream.write_all(text.as_bytes()).unwrap();
    if is_answered {
        read_reply(&mut stream, &mut Vec::new()).expect("an answer comes");
    } else {
        std::thread::sleep(HEADER_TIMEOUT / 5);
    }
    stream.shutdown(Shutdown::Both).unwrap();
}

#[test]
fn logged_ends() {
    // Guards against a connection that ends with bytes of a request on it, and of which no log says
    // why.
    let instance = ForwardInstance::start("logged-ends");
    let _server = instance.start_plain_server("p1");
    let head = "POST /order/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n";
    send_and_close(&instance, &request_text("order", "r0"), true);
    send_and_close(&instance, head, false);
    send_and_close(&instance, &format!("{head}Content-Length: 9\r\n\r\nab"), false);
    send_and_close(&instance, &format!("{head}Connection: close\r\n\r\n"), true);
    send_and_close(&instance, "rubbish\r\n\r\n", true);
    reset(&instance, head);
    for (reason, rest) in [
        ("closed_in_head", format!("error=none * requests=0 unfinished_bytes={} ", head.len())),
        ("closed_in_body", "error=none * requests=0 ".to_owned()),
        ("answered", "error=none * requests=1 unfinished_bytes=0 discarded_bytes=0".to_owned()),
        ("refused", "error=none * requests=0 unfinished_bytes=11 ".to_owned()),
        ("read_failed", "error=ConnectionReset * requests=0 ".to_owned()),
    ] {
        instance.wait_for_log(&format!("event=connection_ended reason={reason} "));
        let log = instance.read_log();
        let line = log.lines().find(|line| line.contains(&format!("reason={reason} "))).unwrap();
        assert!(rest.split('*').all(|part| line.contains(part)), "{rest}: {line}");
    }
    let metrics = instance.get_page(instance.operator_address, "/metrics").unwrap().body;
    let counted =
        r#"turmericrail_connection_ends_total{error="ConnectionReset",reason="read_failed"} 1"#;
    assert!(metrics.contains(counted), "{metrics}");
    assert!(metrics.contains(r#"{error="none",reason="closed_idle"} 1"#), "{metrics}");
    assert!(!instance.read_log().contains("reason=closed_idle"));
}

/// Sends bytes and resets the connection once they were read.
fn reset(instance: &ForwardInstance, text: &str) {
    let mut stream: TcpStream = instance.connect();
    stream.write_all(text.as_bytes()).unwrap();
    std::thread::sleep(HEADER_TIMEOUT / 5);
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}
