//! Callers of the fleet's own instances whose links hold packets, or who read nothing, for seconds.

mod plain_support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use async_std::task;
use plain_support::{start_fleet, wait_for};
use socket2::{SockFilter, SockRef};
use turmericrail_fakes::{Fleet, FleetPlan};

/// Less than the default limit on unread answers.
const HELD_TIME: Duration = Duration::from_millis(12_000);
/// More than the system buffers for a connection.
const HUGE_ANSWER_BYTES: usize = 8 << 20;
const REQUEST: &[u8] = b"GET /stock/b1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

fn connect(fleet: &Fleet) -> TcpStream {
    let stream = TcpStream::connect(fleet.instances[0].caller_address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream
}

fn set_answer(fleet: &Fleet, padding_bytes: usize, delay_ms: u64) {
    for plain in fleet.plain.values() {
        plain.state().padding_bytes = padding_bytes;
        plain.state().delay_ms = delay_ms;
    }
}

fn read_log(fleet: &Fleet) -> String {
    std::fs::read_to_string(&fleet.instances[0].log_path).unwrap()
}

/// Asserts that the connection brings a whole answer.
fn assert_answered(fleet: &Fleet, mut stream: TcpStream, body_bytes: usize) {
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    assert!(read.is_ok(), "{read:?} after {} bytes; {}", answer.len(), read_log(fleet));
    assert!(answer.starts_with(b"HTTP/1.1 200"), "{} bytes", answer.len());
    let head_bytes = answer.windows(4).position(|window| window == b"\r\n\r\n").unwrap() + 4;
    let body = &answer[head_bytes..];
    assert!(body.len() >= body_bytes && body.ends_with(b" "), "{} bytes", body.len());
}

#[async_std::test]
async fn held_answer() {
    // Guards against an answer that is lost, as the caller's link holds it for seconds.
    let fleet = start_fleet("held-answer").await;
    set_answer(&fleet, 1, 300);
    let mut stream = connect(&fleet);
    stream.write_all(REQUEST).unwrap();
    let drop_packet = SockFilter::new(0x06, 0, 0, 0);
    task::sleep(Duration::from_millis(100)).await;
    SockRef::from(&stream).attach_filter(&[drop_packet]).unwrap();
    task::sleep(HELD_TIME).await;
    SockRef::from(&stream).detach_filter().unwrap();
    assert_answered(&fleet, stream, 1);
}

#[async_std::test]
async fn slow_reader() {
    // Guards against an answer that is cut, as its caller reads nothing for seconds.
    let fleet = start_fleet("slow-reader").await;
    set_answer(&fleet, HUGE_ANSWER_BYTES, 0);
    let mut stream = connect(&fleet);
    stream.write_all(REQUEST).unwrap();
    task::sleep(HELD_TIME).await;
    assert_answered(&fleet, stream, HUGE_ANSWER_BYTES);
}

#[async_std::test]
async fn unread_answer() {
    // Guards against an answer that nobody reads, and that is held beyond the limit on it.
    let mut plan = FleetPlan::small(env!("CARGO_BIN_EXE_turmericrail"), "unread-answer");
    plan.extra_settings = "limits:\n  stall_timeout_ms: 1000\n".to_owned();
    let fleet = Fleet::start(plan).await.unwrap();
    set_answer(&fleet, HUGE_ANSWER_BYTES, 0);
    let mut stream = connect(&fleet);
    SockRef::from(&stream).set_recv_buffer_size(16 << 10).unwrap();
    stream.write_all(REQUEST).unwrap();
    let is_ended = || read_log(&fleet).contains("event=connection_ended reason=answer_unread ");
    wait_for("the end of the connection", is_ended).await;
    assert!(stream.read_to_end(&mut Vec::new()).is_err(), "no reset");
}
