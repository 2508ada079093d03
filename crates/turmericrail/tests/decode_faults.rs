//! Guards against lost or wrong answers, needless prefills and occupied memory when a decode
//! engine, its token connections or its KV transfers fail in the middle of an answer.

mod common;

use common::{WAIT_TIMEOUT, completion, start_fleet};
use turmericrail_fakes::{AnswerEvent, Fleet, StreamCaller, text, wait_until};

const PROMPT: &str = "a tray for eggs";
const ANSWER_TOKENS: u64 = 200;

/// Starts an answer and reads its first tokens.
async fn start_answer(fleet: &Fleet) -> StreamCaller {
    let request = completion(PROMPT, ANSWER_TOKENS, true);
    let mut caller = StreamCaller::open(fleet.instances[0].caller_address, &request).await.unwrap();
    caller.read_tokens(20).await;
    caller
}

/// Asserts that the answer is complete, that its prompt was computed `prefill_count` times and that
/// no memory stays occupied.
async fn assert_complete_answer(fleet: &Fleet, mut caller: StreamCaller, prefill_count: u64) {
    assert_eq!(caller.read_all().await, AnswerEvent::End(ANSWER_TOKENS));
    assert_eq!(caller.text(), text::answer(PROMPT, ANSWER_TOKENS));
    let prefill_tokens: u64 =
        fleet.prefill.values().map(|engine| engine.state().prefill_tokens).sum();
    assert_eq!(prefill_tokens, prefill_count * text::prompt_tokens(PROMPT));
    assert!(wait_until(WAIT_TIMEOUT, || fleet.held_streams() == 0).await.is_some(), "memory held");
}

#[async_std::test]
async fn engine_crashed() {
    let fleet = start_fleet("engine-crashed").await;
    let caller = start_answer(&fleet).await;
    fleet.busiest_decode_engine().unwrap().1.state().crash();
    assert_complete_answer(&fleet, caller, 2).await;
}

#[async_std::test]
async fn readers_stalled() {
    let fleet = start_fleet("reader-silenced").await;
    let caller = start_answer(&fleet).await;
    fleet.busiest_decode_engine().unwrap().1.state().stall_readers();
    assert_complete_answer(&fleet, caller, 1).await;
}

#[async_std::test]
async fn readers_disconnected() {
    let fleet = start_fleet("reader-cut").await;
    let caller = start_answer(&fleet).await;
    fleet.busiest_decode_engine().unwrap().1.state().disconnect_readers();
    assert_complete_answer(&fleet, caller, 1).await;
}

#[async_std::test]
async fn transfer_stalled() {
    let fleet = start_fleet("transfer-stalled").await;
    for id in ["dc-a-decode-1", "dc-b-decode-1"] {
        fleet.decode[id].state().is_transfer_stalled = true;
    }
    let mut answer_count = 0;
    for _ in 0..4 {
        let caller = start_answer(&fleet).await;
        answer_count += 1;
        drop(caller);
    }
    assert_eq!(answer_count, 4);
    assert!(wait_until(WAIT_TIMEOUT, || fleet.held_streams() == 0).await.is_some(), "memory held");
}
