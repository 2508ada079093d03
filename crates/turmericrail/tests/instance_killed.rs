//! An instance is killed at some stage: its callers resume elsewhere, its engine memory is freed.

mod common;

use common::{PATIENCE, completion, small_plan, start_fleet};
use turmericrail_fakes::{AnswerEvent, EngineSettings, Fleet, StreamCaller, text, wait_until};

/// Tokens of an answer that is still being generated when every lease of its first holder is over.
const PAST_LEASES_TOKENS: u64 = 1_200;

#[async_std::test]
async fn resumed_answer() {
    let mut fleet = start_fleet("killed-decode").await;
    let prompt = "a sleeve for twelve cups";
    let asked = completion(prompt, PAST_LEASES_TOKENS, true);
    let mut caller = StreamCaller::open(fleet.instances[0].caller_address, &asked).await.unwrap();
    caller.read_tokens(40).await;
    fleet.instances[0].kill();
    assert_eq!(caller.read_all().await, AnswerEvent::Disconnected);
    let mut caller = caller.resume(fleet.instances[1].caller_address).await.unwrap();
    assert_eq!(caller.read_all().await, AnswerEvent::End(PAST_LEASES_TOKENS));
    let indices: Vec<_> = caller.tokens.iter().map(|(index, _)| *index).collect();
    assert_eq!(indices, (0..PAST_LEASES_TOKENS).collect::<Vec<_>>());
    assert_eq!(caller.text(), text::answer(prompt, PAST_LEASES_TOKENS));
    assert!(wait_until(PATIENCE, || fleet.held_streams() == 0).await.is_some(), "memory held");
}

async fn kill_when(name: &str, engine: EngineSettings, is_reached: impl Fn(&Fleet) -> bool) {
    let mut plan = small_plan(name);
    plan.engine = engine;
    let mut fleet = Fleet::start(plan).await.unwrap();
    let address = fleet.instances[0].caller_address;
    let asked = completion("a display tray", 20_000, true);
    let caller =
        async_std::task::spawn(async move { StreamCaller::open(address, &asked).await.is_some() });
    assert!(wait_until(PATIENCE, || is_reached(&fleet)).await.is_some(), "stage not reached");
    fleet.instances[0].kill();
    assert!(!caller.await, "an answer from a dead instance");
    assert!(wait_until(PATIENCE, || fleet.held_streams() == 0).await.is_some(), "memory held");
}

#[async_std::test]
async fn during_prefill() {
    let engine = EngineSettings { prefill_tokens_per_second: 1, ..EngineSettings::default() };
    let is_reached =
        |fleet: &Fleet| fleet.prefill.values().any(|engine| !engine.state().streams.is_empty());
    kill_when("killed-prefill", engine, is_reached).await;
}

#[async_std::test]
async fn during_transfer() {
    let engine = EngineSettings { transfer_ms: 400, ..EngineSettings::default() };
    let is_reached =
        |fleet: &Fleet| fleet.decode.values().any(|engine| !engine.state().streams.is_empty());
    kill_when("killed-transfer", engine, is_reached).await;
}
