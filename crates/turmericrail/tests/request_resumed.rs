//! An instance and the decode engine of its stream die together; the caller resumes elsewhere with
//! its request.

mod common;

use common::{PATIENCE, completion, start_fleet};
use turmericrail_fakes::{AnswerEvent, Fleet, StreamCaller, send_resumption, text, wait_until};

const PROMPT: &str = "a sleeve for six jars";
const ANSWER_TOKENS: u64 = 400;

async fn begin(fleet: &Fleet) -> StreamCaller {
    let asked = completion(PROMPT, ANSWER_TOKENS, true);
    let mut caller = StreamCaller::open(fleet.instances[0].caller_address, &asked).await.unwrap();
    caller.read_tokens(40).await;
    caller
}

async fn check_whole(fleet: &Fleet, mut caller: StreamCaller, prefills: u64) {
    assert_eq!(caller.read_all().await, AnswerEvent::End(ANSWER_TOKENS));
    let indices: Vec<_> = caller.tokens.iter().map(|(index, _)| *index).collect();
    assert_eq!(indices, (0..ANSWER_TOKENS).collect::<Vec<_>>());
    assert_eq!(caller.text(), text::answer(PROMPT, ANSWER_TOKENS));
    let computed: u64 = fleet.prefill.values().map(|engine| engine.state().prefill_tokens).sum();
    assert_eq!(computed, prefills * text::prompt_tokens(PROMPT));
    assert!(wait_until(PATIENCE, || fleet.held_streams() == 0).await.is_some(), "memory held");
}

#[async_std::test]
async fn both_killed() {
    let mut fleet = start_fleet("request-both-killed").await;
    let mut caller = begin(&fleet).await;
    fleet.instances[0].kill();
    fleet.busiest_decode_engine().unwrap().1.state().crash();
    assert_eq!(caller.read_all().await, AnswerEvent::Disconnected);
    let asked = completion(PROMPT, ANSWER_TOKENS, true);
    let caller =
        caller.resume_with_request(fleet.instances[1].caller_address, &asked).await.unwrap();
    check_whole(&fleet, caller, 2).await;
}

#[async_std::test]
async fn engine_killed_later() {
    let mut fleet = start_fleet("request-engine-later").await;
    let mut caller = begin(&fleet).await;
    fleet.instances[0].kill();
    assert_eq!(caller.read_all().await, AnswerEvent::Disconnected);
    let asked = completion(PROMPT, ANSWER_TOKENS, true);
    let mut caller =
        caller.resume_with_request(fleet.instances[1].caller_address, &asked).await.unwrap();
    caller.read_tokens(120).await;
    fleet.busiest_decode_engine().unwrap().1.state().crash();
    check_whole(&fleet, caller, 2).await;
}

#[async_std::test]
async fn engine_alive() {
    let mut fleet = start_fleet("request-engine-alive").await;
    let mut caller = begin(&fleet).await;
    fleet.instances[0].kill();
    assert_eq!(caller.read_all().await, AnswerEvent::Disconnected);
    let asked = completion(PROMPT, ANSWER_TOKENS, true);
    let caller =
        caller.resume_with_request(fleet.instances[1].caller_address, &asked).await.unwrap();
    check_whole(&fleet, caller, 1).await;
}

#[async_std::test]
async fn other_prompt() {
    let fleet = start_fleet("request-other-prompt").await;
    let caller = begin(&fleet).await;
    let address = fleet.instances[1].caller_address;
    let mut other_adapter = completion(PROMPT, ANSWER_TOKENS, true);
    other_adapter["adapter"] = serde_json::json!("kaolack");
    for asked in [completion("another prompt", ANSWER_TOKENS, true), other_adapter] {
        let mut answer = send_resumption(address, &caller.cursor, Some(&asked)).await.unwrap();
        assert_eq!(answer.status() as u16, 400);
        let body = answer.body_string().await.unwrap();
        assert!(body.contains("bad_cursor"), "{body}");
    }
    check_whole(&fleet, caller, 1).await;
}
