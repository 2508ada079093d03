//! A caller that leaves, at whatever stage, holds no engine memory any more.

mod common;

use common::{PATIENCE, completion, small_plan};
use turmericrail_fakes::{EngineSettings, Fleet, StreamCaller, wait_until};

/// Tokens of an answer that outlasts every test.
const LONG_ANSWER_TOKENS: u64 = 20_000;

async fn leave_when(name: &str, engine: EngineSettings, is_reached: impl Fn(&Fleet) -> bool) {
    let mut plan = small_plan(name);
    plan.engine = engine;
    let fleet = Fleet::start(plan).await.unwrap();
    let address = fleet.instances[0].caller_address;
    let asked = completion("a board that is cut and folded", LONG_ANSWER_TOKENS, true);
    let caller = async_std::task::spawn(async move {
        let caller = StreamCaller::open(address, &asked).await;
        std::future::pending::<()>().await;
        drop(caller);
    });
    assert!(wait_until(PATIENCE, || is_reached(&fleet)).await.is_some(), "stage not reached");
    caller.cancel().await;
    assert!(wait_until(PATIENCE, || fleet.held_streams() == 0).await.is_some(), "memory held");
}

fn has_prefill(fleet: &Fleet) -> bool {
    fleet.prefill.values().any(|engine| !engine.state().streams.is_empty())
}

fn has_import(fleet: &Fleet) -> bool {
    fleet.decode.values().any(|engine| !engine.state().streams.is_empty())
}

fn has_tokens(fleet: &Fleet) -> bool {
    let is_read = |stream: &turmericrail_fakes::engine::EngineStream| stream.generated_tokens > 5;
    fleet.decode.values().any(|engine| engine.state().streams.values().any(is_read))
}

#[async_std::test]
async fn during_prefill() {
    let engine = EngineSettings { prefill_tokens_per_second: 1, ..EngineSettings::default() };
    leave_when("leave-prefill", engine, has_prefill).await;
}

#[async_std::test]
async fn during_transfer() {
    let engine = EngineSettings { transfer_ms: 400, ..EngineSettings::default() };
    leave_when("leave-transfer", engine, has_import).await;
}

#[async_std::test]
async fn during_decode() {
    leave_when("leave-decode", EngineSettings::default(), has_tokens).await;
}
