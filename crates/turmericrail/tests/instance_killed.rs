//! Guards against answers that can't be resumed at another instance, and against engine memory that
//! stays occupied, after an instance was killed.

mod common;

use common::{WAIT_TIMEOUT, completion, small_fleet_plan, start_fleet};
use turmericrail_fakes::{AnswerEvent, EngineSettings, Fleet, StreamCaller, text, wait_until};

/// Length of an answer that is still being generated when all leases of its first holder have
/// ended.
const ANSWER_TOKENS: u64 = 1_200;

#[async_std::test]
async fn resumed_answer() {
    let mut fleet = start_fleet("killed-decode").await;
    let prompt = "a sleeve for twelve cups";
    let request = completion(prompt, ANSWER_TOKENS, true);
    let mut caller = StreamCaller::open(fleet.instances[0].caller_address, &request).await.unwrap();
    caller.read_tokens(40).await;
    fleet.instances[0].kill();
    assert_eq!(caller.read_all().await, AnswerEvent::Disconnected);
    let mut caller = caller.resume(fleet.instances[1].caller_address).await.unwrap();
    assert_eq!(caller.read_all().await, AnswerEvent::End(ANSWER_TOKENS));
    let indices: Vec<_> = caller.tokens.iter().map(|(index, _)| *index).collect();
    assert_eq!(indices, (0..ANSWER_TOKENS).collect::<Vec<_>>());
    assert_eq!(caller.text(), text::answer(prompt, ANSWER_TOKENS));
    assert!(wait_until(WAIT_TIMEOUT, || fleet.held_streams() == 0).await.is_some(), "memory held");
}

/// Kills an instance once a request has reached a stage.
async fn kill_when(name: &str, engine: EngineSettings, is_reached: impl Fn(&Fleet) -> bool) {
    let mut plan = small_fleet_plan(name);
    plan.engine = engine;
    let mut fleet = Fleet::start(plan).await.unwrap();
    let address = fleet.instances[0].caller_address;
    let request = completion("a display tray", 20_000, true);
    let caller =
        async_std::task::spawn(
            async move { StreamCaller::open(address, &request).await.is_some() },
        );
    assert!(wait_until(WAIT_TIMEOUT, || is_reached(&fleet)).await.is_some(), "stage not reached");
    fleet.instances[0].kill();
    assert!(!caller.await, "an answer from a killed instance");
    assert!(wait_until(WAIT_TIMEOUT, || fleet.held_streams() == 0).await.is_some(), "memory held");
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
