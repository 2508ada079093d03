//! A decode engine, its token connections or its KV transfers fail in the middle of an answer.

mod common;

use common::{PATIENCE, completion, start_fleet};
use turmericrail_fakes::{AnswerEvent, Fleet, StreamCaller, text, wait_until};

const PROMPT: &str = "a tray for eggs";
const ANSWER_TOKENS: u64 = 200;

async fn begin(fleet: &Fleet) -> StreamCaller {
    let asked = completion(PROMPT, ANSWER_TOKENS, true);
    let mut caller = StreamCaller::open(fleet.instances[0].caller_address, &asked).await.unwrap();
    caller.read_tokens(20).await;
    caller
}

async fn check_whole(fleet: &Fleet, mut caller: StreamCaller, prefills: u64) {
    assert_eq!(caller.read_all().await, AnswerEvent::End(ANSWER_TOKENS));
    assert_eq!(caller.text(), text::answer(PROMPT, ANSWER_TOKENS));
    let computed: u64 = fleet.prefill.values().map(|engine| engine.state().prefill_tokens).sum();
    assert_eq!(computed, prefills * text::prompt_tokens(PROMPT));
    assert!(wait_until(PATIENCE, || fleet.held_streams() == 0).await.is_some(), "memory held");
}

#[async_std::test]
async fn engine_crashed() {
    let fleet = start_fleet("engine-crashed").await;
    let caller = begin(&fleet).await;
    fleet.busiest_decode_engine().unwrap().1.state().crash();
    check_whole(&fleet, caller, 2).await;
}

#[async_std::test]
async fn reader_silenced() {
    let fleet = start_fleet("reader-silenced").await;
    let caller = begin(&fleet).await;
    fleet.busiest_decode_engine().unwrap().1.state().stall_readers();
    check_whole(&fleet, caller, 1).await;
}

#[async_std::test]
async fn reader_cut() {
    let fleet = start_fleet("reader-cut").await;
    let caller = begin(&fleet).await;
    fleet.busiest_decode_engine().unwrap().1.state().disconnect_readers();
    check_whole(&fleet, caller, 1).await;
}

#[async_std::test]
async fn transfer_stalled() {
    let fleet = start_fleet("transfer-stalled").await;
    for id in ["dc-a-decode-1", "dc-b-decode-1"] {
        fleet.decode[id].state().is_transfer_stalled = true;
    }
    let mut answered = 0;
    for _ in 0..4 {
        let caller = begin(&fleet).await;
        answered += 1;
        drop(caller);
    }
    assert_eq!(answered, 4);
    assert!(wait_until(PATIENCE, || fleet.held_streams() == 0).await.is_some(), "memory held");
}
