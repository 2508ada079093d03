//! Calls to the engines of a model call, and the prefill among them.

use turmericrail_core::forward::{CallEnd, ChosenServer, ModelCallSize};
use turmericrail_core::units::Millis;
use turmericrail_platform::call::{KvSource, Step};
use turmericrail_platform::prefill;

use super::call_context::CallContext;
use super::call_guard::CallGuard;
use super::clock;
use super::failure::CallFailure;
use super::held_kv::HeldKv;
use super::server_calls::{begin, call_bytes, log_call};

/// How much longer than predicted a prefill or first event may take before the engine counts as
/// silent.
const SILENCE_FACTOR: u64 = 3;
/// Added to that, for what other instances have queued there.
const SILENCE_SLACK_MS: Millis = Millis(250);

/// Engines that may refuse a prefill before the decode engine reads the prompt itself; asking each
/// takes a few milliseconds.
const MAX_REFUSING_ENGINES: usize = 3;

/// The size of the call.
pub fn prompt(context: &CallContext<'_>) -> ModelCallSize {
    context.request.facts.prompt.unwrap_or_default()
}

/// Time after which an engine counts as silent.
pub fn silence_ms(choice: &ChosenServer) -> Millis {
    Millis(choice.predicted_ms.0 * SILENCE_FACTOR) + SILENCE_SLACK_MS
}

/// Has an engine read the prompt; nothing where none did. A prefill is no run of the call, so that
/// a lost one does no harm. An engine that refuses, mostly since it is changing its role, is passed
/// over for another one; its refusal counts as a call sent again.
pub async fn make_kv(context: &CallContext<'_>, engine: &ChosenServer) -> Option<HeldKv> {
    let mut refused = Vec::new();
    let mut engine = engine.clone();
    loop {
        match prefill_at(context, &engine).await {
            Prefilling::Made(kv) => return Some(kv),
            Prefilling::Lost => return None,
            Prefilling::Refused => {}
        }
        let now_ms = clock::now_ms();
        {
            let mut forwarder = context.shared.forwarder();
            forwarder.record_prefill_refusal(now_ms, &engine.run);
            forwarder.record_retry(now_ms, context.service);
        }
        refused.push(engine.run);
        if refused.len() >= MAX_REFUSING_ENGINES {
            return None;
        }
        let draw = fastrand::u64(..);
        let forwarder = context.shared.forwarder();
        engine =
            forwarder.choose_prefill(now_ms, context.service, prompt(context), &refused, draw)?;
    }
}

/// What came of a prefill.
enum Prefilling {
    /// The engine holds the KV cache.
    Made(HeldKv),
    /// The engine did not take it.
    Refused,
    /// No answer, or none that can be used.
    Lost,
}

async fn prefill_at(context: &CallContext<'_>, engine: &ChosenServer) -> Prefilling {
    let guard = CallGuard::start(context.shared, engine);
    let limit_ms = silence_ms(engine).max(context.route.target_ms).min(context.left_ms());
    let prefilled = call_prefill(context, engine, limit_ms).await;
    let elapsed_ms = guard.elapsed_ms();
    let end = match &prefilled {
        Ok(Some(_)) => CallEnd::Answered,
        Ok(None) => CallEnd::Refused,
        Err(failure) => failure.call_end(),
    };
    log_call(context, "prefill_call", engine, end, elapsed_ms);
    if end == CallEnd::Answered {
        context.shared.forwarder().record_prefill_time(clock::now_ms(), engine, elapsed_ms);
    }
    guard.end(end);
    match prefilled {
        Ok(Some(handle)) => {
            let source = KvSource { address: engine.address, handle };
            Prefilling::Made(HeldKv::new(context.shared, source, engine.run.clone()))
        }
        Ok(None) => Prefilling::Refused,
        Err(_) => Prefilling::Lost,
    }
}

async fn call_prefill(
    context: &CallContext<'_>,
    engine: &ChosenServer,
    limit_ms: Millis,
) -> Result<Option<String>, CallFailure> {
    let started_ms = clock::now_ms();
    let bytes = call_bytes(context, engine, &Step::Prefill);
    let exchange = begin(context, engine, &bytes, limit_ms).await?;
    let facts = exchange.facts.clone();
    let left_ms = (started_ms + limit_ms).saturating_sub(clock::now_ms());
    let (head, body) = exchange.read_body(&context.shared.pool, engine.address, left_ms).await?;
    if facts.is_not_run || !head.is_success() {
        return Ok(None);
    }
    match prefill::decode(&body) {
        Ok(prefilled) => Ok(Some(prefilled.handle)),
        Err(error) => {
            spdlog::warn!(
                "event=prefill_malformed request={} server={} error={:?}",
                context.request_id,
                engine.run.server,
                error.to_string()
            );
            Err(CallFailure::Lost)
        }
    }
}
