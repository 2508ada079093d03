//! Guards against answers that can't be resumed when an instance and the decode engine of its
//! stream fail: the caller sends its request again with the cursor to another instance.

mod common;

use common::{WAIT_TIMEOUT, completion, start_fleet};
use turmericrail_fakes::{AnswerEvent, Fleet, StreamCaller, send_resumption, text, wait_until};

const PROMPT: &str = "a sleeve for six jars";
const ANSWER_TOKENS: u64 = 400;

/// Starts an answer and reads its first tokens.
async fn start_answer(fleet: &Fleet) -> StreamCaller {
    let request = completion(PROMPT, ANSWER_TOKENS, true);
    let mut caller = StreamCaller::open(fleet.instances[0].caller_address, &request).await.unwrap();
    caller.read_tokens(40).await;
    caller
}

/// Asserts that the answer is complete, that its prompt was computed `prefill_count` times and that
/// no memory stays occupied.
async fn assert_complete_answer(fleet: &Fleet, mut caller: StreamCaller, prefill_count: u64) {
    assert_eq!(caller.read_all().await, AnswerEvent::End(ANSWER_TOKENS));
    let indices: Vec<_> = caller.tokens.iter().map(|(index, _)| *index).collect();
    assert_eq!(indices, (0..ANSWER_TOKENS).collect::<Vec<_>>());
    assert_eq!(caller.text(), text::answer(PROMPT, ANSWER_TOKENS));
    let prefill_tokens: u64 =
        fleet.prefill.values().map(|engine| engine.state().prefill_tokens).sum();
    assert_eq!(prefill_tokens, prefill_count * text::prompt_tokens(PROMPT));
    assert!(wait_until(WAIT_TIMEOUT, || fleet.held_streams() == 0).await.is_some(), "memory held");
}

#[async_std::test]
async fn both_killed() {
    let mut fleet = start_fleet("request-both-killed").await;
    let mut caller = start_answer(&fleet).await;
    fleet.instances[0].kill();
    fleet.busiest_decode_engine().unwrap().1.state().crash();
    assert_eq!(caller.read_all().await, AnswerEvent::Disconnected);
    let request = completion(PROMPT, ANSWER_TOKENS, true);
    let caller =
        caller.resume_with_request(fleet.instances[1].caller_address, &request).await.unwrap();
    assert_complete_answer(&fleet, caller, 2).await;
}

#[async_std::test]
async fn engine_crashed_later() {
    let mut fleet = start_fleet("request-engine-later").await;
    let mut caller = start_answer(&fleet).await;
    fleet.instances[0].kill();
    assert_eq!(caller.read_all().await, AnswerEvent::Disconnected);
    let request = completion(PROMPT, ANSWER_TOKENS, true);
    let mut caller =
        caller.resume_with_request(fleet.instances[1].caller_address, &request).await.unwrap();
    caller.read_tokens(120).await;
    fleet.busiest_decode_engine().unwrap().1.state().crash();
    assert_complete_answer(&fleet, caller, 2).await;
}

#[async_std::test]
async fn engine_alive() {
    let mut fleet = start_fleet("request-engine-alive").await;
    let mut caller = start_answer(&fleet).await;
    fleet.instances[0].kill();
    assert_eq!(caller.read_all().await, AnswerEvent::Disconnected);
    let request = completion(PROMPT, ANSWER_TOKENS, true);
    let caller =
        caller.resume_with_request(fleet.instances[1].caller_address, &request).await.unwrap();
    assert_complete_answer(&fleet, caller, 1).await;
}

#[async_std::test]
async fn other_prompt() {
    let fleet = start_fleet("request-other-prompt").await;
    let caller = start_answer(&fleet).await;
    let address = fleet.instances[1].caller_address;
    let mut other_adapter = completion(PROMPT, ANSWER_TOKENS, true);
    other_adapter["adapter"] = serde_json::json!("kaolack");
    for request in [completion("another prompt", ANSWER_TOKENS, true), other_adapter] {
        let mut answer = send_resumption(address, &caller.cursor, Some(&request)).await.unwrap();
        assert_eq!(answer.status() as u16, 400);
        let body = answer.body_string().await.unwrap();
        assert!(body.contains("bad_cursor"), "{body}");
    }
    assert_complete_answer(&fleet, caller, 1).await;
}
