//! Guards against engine memory that stays occupied after its caller has disconnected during
//! prefill, KV transfer or decode.

mod common;

use common::{WAIT_TIMEOUT, completion, small_fleet_plan};
use turmericrail_fakes::{EngineSettings, Fleet, StreamCaller, wait_until};

/// Length of an answer that outlasts every test.
const LONG_ANSWER_TOKENS: u64 = 20_000;

/// Disconnects a caller once its request has reached a stage.
async fn disconnect_when(name: &str, engine: EngineSettings, is_reached: impl Fn(&Fleet) -> bool) {
    let mut plan = small_fleet_plan(name);
    plan.engine = engine;
    let fleet = Fleet::start(plan).await.unwrap();
    let address = fleet.instances[0].caller_address;
    let request = completion("a board that is cut and folded", LONG_ANSWER_TOKENS, true);
    let caller = async_std::task::spawn(async move {
        let caller = StreamCaller::open(address, &request).await;
        std::future::pending::<()>().await;
        drop(caller);
    });
    assert!(wait_until(WAIT_TIMEOUT, || is_reached(&fleet)).await.is_some(), "stage not reached");
    caller.cancel().await;
    assert!(wait_until(WAIT_TIMEOUT, || fleet.held_streams() == 0).await.is_some(), "memory held");
}

fn has_prefill_stream(fleet: &Fleet) -> bool {
    fleet.prefill.values().any(|engine| !engine.state().streams.is_empty())
}

fn has_decode_stream(fleet: &Fleet) -> bool {
    fleet.decode.values().any(|engine| !engine.state().streams.is_empty())
}

fn has_tokens(fleet: &Fleet) -> bool {
    let is_past_start =
        |stream: &turmericrail_fakes::engine::EngineStream| stream.generated_tokens > 5;
    fleet.decode.values().any(|engine| engine.state().streams.values().any(is_past_start))
}

#[async_std::test]
async fn during_prefill() {
    let engine = EngineSettings { prefill_tokens_per_second: 1, ..EngineSettings::default() };
    disconnect_when("leave-prefill", engine, has_prefill_stream).await;
}

#[async_std::test]
async fn during_transfer() {
    let engine = EngineSettings { transfer_ms: 400, ..EngineSettings::default() };
    disconnect_when("leave-transfer", engine, has_decode_stream).await;
}

#[async_std::test]
async fn during_decode() {
    disconnect_when("leave-decode", EngineSettings::default(), has_tokens).await;
}
