//! Each kind of request through instances that run as separate processes.

mod common;

use common::{WAIT_TIMEOUT, complete, completion, start_fleet};
use serde_json::{Value, json};
use turmericrail_fakes::text;
use turmericrail_wire::client::Call;

#[async_std::test]
async fn json_answer() {
    let fleet = start_fleet("json-answer").await;
    for instance in &fleet.instances {
        let (response, body) =
            complete(instance.caller_address, &completion("a carton", 12, false)).await.unwrap();
        let answer: Value = serde_json::from_slice(&body).unwrap();
        assert_eq!(response["x-request-id"], answer["request"].to_string().as_str());
        assert_eq!(answer["text"], text::answer("a carton", 12));
        assert_eq!(answer["count"], 12);
    }
}

#[async_std::test]
async fn streamed_answer() {
    let fleet = start_fleet("streamed-answer").await;
    let address = fleet.instances[0].caller_address;
    let (response, body) = complete(address, &completion("a die line", 5, true)).await.unwrap();
    assert_eq!(response.content_type().unwrap().essence(), "text/event-stream");
    let body = String::from_utf8(body).unwrap();
    let tokens: Vec<_> = body.lines().filter(|line| line.starts_with("data: {\"index\"")).collect();
    assert_eq!(tokens.len(), 5);
    assert!(body.ends_with("event: end\ndata: {\"outcome\":\"completed\",\"count\":5}\n\n"));
}

#[async_std::test]
async fn booking_copies() {
    let fleet = start_fleet("booking-copies").await;
    let address = fleet.instances[0].caller_address;
    let ticket_answer: Value =
        Call::post(address, "/v1/tickets", &json!({}), WAIT_TIMEOUT).send_json().await.unwrap();
    let ticket = ticket_answer["ticket"].as_str().unwrap();
    let mut answers = Vec::new();
    for instance in &fleet.instances {
        let url = format!("http://{}/slots/7/bookings", instance.caller_address);
        let mut request = http_types::Request::post(http_types::Url::parse(&url).unwrap());
        request.insert_header("idempotency-key", ticket);
        request.set_body("member 1");
        let stream = async_std::net::TcpStream::connect(instance.caller_address).await.unwrap();
        let mut answer = async_h1::connect(stream, request).await.unwrap();
        answers.push(answer.body_string().await.unwrap());
    }
    assert!(answers.iter().all(|answer| *answer == answers[0]), "{answers:?}");
    let executions: u64 =
        fleet.plain.values().map(|plain| plain.state().executions.values().sum::<u64>()).sum();
    assert_eq!(executions, 1);
}
