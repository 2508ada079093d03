//! An instance is frozen past every lease and wakes up with old beliefs.

mod common;

use std::time::Duration;

use common::{PATIENCE, completion, start_fleet};
use turmericrail_fakes::{AnswerEvent, StreamCaller, text, wait_until};

/// Freeze that outlasts the member timeout and the lease together.
const FREEZE: Duration = Duration::from_secs(9);
/// Tokens of an answer that begins before the freeze and ends after the wake.
const ANSWER_TOKENS: u64 = 1_400;

#[async_std::test]
async fn streams_of_others() {
    let fleet = start_fleet("frozen-others").await;
    let mut callers = Vec::new();
    for number in 0..8 {
        let asked = completion(&format!("box {number}"), ANSWER_TOKENS, true);
        let address = fleet.instances[1 + number % 2].caller_address;
        callers.push(StreamCaller::open(address, &asked).await.unwrap());
    }
    fleet.instances[0].signal("STOP");
    async_std::task::sleep(FREEZE).await;
    fleet.instances[0].signal("CONT");
    for (number, mut caller) in callers.into_iter().enumerate() {
        assert_eq!(caller.read_all().await, AnswerEvent::End(ANSWER_TOKENS), "answer {number}");
        assert_eq!(caller.text(), text::answer(&format!("box {number}"), ANSWER_TOKENS));
    }
    let prefills: u64 = fleet.prefill.values().map(|engine| engine.state().prefill_tokens).sum();
    assert_eq!(prefills, 8 * text::prompt_tokens("box 0"), "a stream was cancelled and redone");
    assert!(wait_until(PATIENCE, || fleet.held_streams() == 0).await.is_some(), "memory held");
}

#[async_std::test]
async fn resumed_meanwhile() {
    let fleet = start_fleet("frozen-resumed").await;
    let asked = completion("a lid", ANSWER_TOKENS, true);
    let mut caller = StreamCaller::open(fleet.instances[0].caller_address, &asked).await.unwrap();
    caller.read_tokens(20).await;
    fleet.instances[0].signal("STOP");
    let mut caller = caller.resume(fleet.instances[1].caller_address).await.unwrap();
    async_std::task::sleep(FREEZE).await;
    fleet.instances[0].signal("CONT");
    assert_eq!(caller.read_all().await, AnswerEvent::End(ANSWER_TOKENS));
    assert_eq!(caller.text(), text::answer("a lid", ANSWER_TOKENS));
    assert!(wait_until(PATIENCE, || fleet.held_streams() == 0).await.is_some(), "memory held");
}
