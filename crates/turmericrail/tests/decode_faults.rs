//! Guards against lost or wrong answers, needless prefills and occupied memory when a decode
//! engine, its token connections or its KV transfers fail in the middle of an answer.

mod common;

use std::time::Duration;

use common::{WAIT_TIMEOUT, completion, peak_memory_kib, start_fleet};
use turmericrail_fakes::{AnswerEvent, Fleet, StreamCaller, text, wait_until};

const PROMPT: &str = "a tray for eggs";
const ANSWER_TOKENS: u64 = 200;
/// Time for which an engine writes a line without end.
const ENDLESS_TIME: Duration = Duration::from_millis(600);
/// Most memory that an instance may take.
const MAX_MEMORY_KIB: u64 = 256 * 1024;

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
async fn endless_line() {
    // Guards against a token stream of one line without end that takes the memory of the process.
    let fleet = start_fleet("endless-line").await;
    let mut caller = start_answer(&fleet).await;
    let engine = fleet.busiest_decode_engine().unwrap().1;
    engine.state().has_endless_lines = true;
    engine.state().disconnect_readers();
    async_std::task::sleep(ENDLESS_TIME).await;
    let memory_kib = peak_memory_kib(&fleet);
    engine.state().has_endless_lines = false;
    assert!(memory_kib < MAX_MEMORY_KIB, "{memory_kib} KiB");
    assert_eq!(caller.read_all().await, AnswerEvent::End(ANSWER_TOKENS));
    assert_eq!(caller.text(), text::answer(PROMPT, ANSWER_TOKENS));
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
