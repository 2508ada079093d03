//! Guards against an instance that was suspended for longer than every lease and then acts on its
//! old state: it must not cancel streams that others hold by now, nor keep requests whose callers
//! have disconnected.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::WriteExt;
use async_std::net::TcpStream;

use common::{WAIT_TIMEOUT, completion, start_fleet};
use turmericrail_fakes::{AnswerEvent, Fleet, StreamCaller, text, wait_until};
use turmericrail_wire::client::Call;

/// Longer than the member timeout and the lease together.
const FREEZE_TIME: Duration = Duration::from_secs(9);
/// Length of an answer that begins before the instance is suspended and ends after it resumes.
const ANSWER_TOKENS: u64 = 1_400;

#[async_std::test]
async fn streams_elsewhere() {
    let fleet = start_fleet("frozen-others").await;
    let mut callers = Vec::new();
    for number in 0..8 {
        let request = completion(&format!("box {number}"), ANSWER_TOKENS, true);
        let address = fleet.instances[1 + number % 2].caller_address;
        callers.push(StreamCaller::open(address, &request).await.unwrap());
    }
    fleet.instances[0].signal("STOP");
    async_std::task::sleep(FREEZE_TIME).await;
    fleet.instances[0].signal("CONT");
    for (number, mut caller) in callers.into_iter().enumerate() {
        assert_eq!(caller.read_all().await, AnswerEvent::End(ANSWER_TOKENS), "answer {number}");
        assert_eq!(caller.text(), text::answer(&format!("box {number}"), ANSWER_TOKENS));
    }
    let prefill_tokens: u64 =
        fleet.prefill.values().map(|engine| engine.state().prefill_tokens).sum();
    assert_eq!(
        prefill_tokens,
        8 * text::prompt_tokens("box 0"),
        "a stream was cancelled and computed again"
    );
    assert!(wait_until(WAIT_TIMEOUT, || fleet.held_streams() == 0).await.is_some(), "memory held");
}

#[async_std::test]
async fn resumed_while_frozen() {
    let fleet = start_fleet("frozen-resumed").await;
    let request = completion("a lid", ANSWER_TOKENS, true);
    let mut caller = StreamCaller::open(fleet.instances[0].caller_address, &request).await.unwrap();
    caller.read_tokens(20).await;
    fleet.instances[0].signal("STOP");
    let mut caller = caller.resume(fleet.instances[1].caller_address).await.unwrap();
    async_std::task::sleep(FREEZE_TIME).await;
    fleet.instances[0].signal("CONT");
    assert_eq!(caller.read_all().await, AnswerEvent::End(ANSWER_TOKENS));
    assert_eq!(caller.text(), text::answer("a lid", ANSWER_TOKENS));
    assert!(wait_until(WAIT_TIMEOUT, || fleet.held_streams() == 0).await.is_some(), "memory held");
}

/// Sends a request and closes the connection without waiting for the answer.
async fn send_and_disconnect(address: SocketAddr, line: &str, header: &str, body: &str) {
    let length = body.len();
    let request = format!(
        "{line} HTTP/1.1\r\nhost: {address}\r\n{header}\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
}

#[async_std::test]
async fn resume_at_frozen() {
    let mut fleet = start_fleet("resumed-at-frozen").await;
    let request = completion("a crate", ANSWER_TOKENS, true);
    let mut caller = StreamCaller::open(fleet.instances[2].caller_address, &request).await.unwrap();
    caller.read_tokens(20).await;
    fleet.instances[0].signal("STOP");
    fleet.instances[2].kill();
    for _ in 0..4 {
        let header = format!("last-event-id: {}", caller.cursor);
        let address = fleet.instances[0].caller_address;
        send_and_disconnect(address, "GET /v1/completions/resume", &header, "").await;
    }
    let mut caller = caller.resume(fleet.instances[1].caller_address).await.unwrap();
    caller.read_tokens(100).await;
    fleet.instances[0].signal("CONT");
    assert_eq!(caller.read_all().await, AnswerEvent::End(ANSWER_TOKENS));
    assert_eq!(caller.text(), text::answer("a crate", ANSWER_TOKENS));
}

#[async_std::test]
async fn callers_disconnected() {
    let fleet = start_fleet("left-while-frozen").await;
    fleet.instances[0].signal("STOP");
    let request = completion("a hamper", 20_000, true).to_string();
    for _ in 0..8 {
        let address = fleet.instances[0].caller_address;
        let header = "content-type: application/json";
        send_and_disconnect(address, "POST /v1/completions", header, &request).await;
    }
    fleet.instances[0].signal("CONT");
    for _ in 0..200 {
        async_std::task::sleep(Duration::from_millis(50)).await;
        let status = fleet.status(0).await.unwrap();
        if status["flows"] == 0
            && fleet.held_streams() == 0
            && has_no_other_connection(&fleet).await
        {
            return;
        }
    }
    panic!("requests of disconnected callers are left: {:?}", fleet.status(0).await);
}

/// Whether the instance counts only the connection of this request.
async fn has_no_other_connection(fleet: &Fleet) -> bool {
    let call = Call::get(fleet.instances[0].caller_address, "/metrics", WAIT_TIMEOUT);
    let (_, body) = call.send().await.unwrap();
    let body = String::from_utf8(body).unwrap();
    body.lines().any(|metric| metric == "turmericrail_connections 1")
}
