//! Prefill calls to engines, and the timeouts for engines that don't answer.

use std::time::Duration;

use turmericrail_core::forward::{
    CallEnd, ChosenServer, EngineFilter, ModelCallSize, SendPermit, SoftwareVersion, VersionNeed,
};
use turmericrail_core::units::Millis;
use turmericrail_platform::call::{KvSource, ServerTask};
use turmericrail_platform::prefill;

use super::call_context::CallContext;
use super::call_failure::CallFailure;
use super::call_guard::CallGuard;
use super::held_kv::HeldKv;
use crate::forward::clock;
use crate::forward::servers::answer_fault::AnswerFault;
use crate::forward::servers::call_bytes::CallBytes;
use crate::forward::servers::refused_answers;
use crate::forward::servers::server_calls::{call_head, log_call, send_call};

/// An engine counts as silent once a prefill or first event takes this many times as long as
/// predicted.
const SILENCE_TIMEOUT_FACTOR: u64 = 3;
/// Added to that timeout for work that other instances have queued at the engine.
const SILENCE_SLACK_MS: Millis = Millis(250);
/// Shortest silence that counts; a sound engine may pause for about a second.
pub const MIN_SILENCE_MS: Millis = Millis(1_500);

/// Engines that may refuse a prefill before the decode engine reads the prompt itself. Each refusal
/// takes a few milliseconds.
const MAX_PREFILL_REFUSALS: usize = 3;

/// The size of the prompt and the expected answer, as the request states them.
pub fn model_call_size(context: &CallContext<'_>) -> ModelCallSize {
    context.request.metadata.model_call_size.unwrap_or_default()
}

/// Time without an answer after which an engine counts as silent.
pub fn silence_timeout_ms(choice: &ChosenServer) -> Millis {
    let expected_ms = Millis(choice.predicted_latency_ms.0 * SILENCE_TIMEOUT_FACTOR);
    (expected_ms + SILENCE_SLACK_MS).max(MIN_SILENCE_MS)
}

/// Runs the prefill at an engine; `None` if no engine did. A prefill isn't a run of the call, so a
/// lost one does no harm. If an engine refuses, mostly because it is changing its role, another one
/// is tried within the bound on retries.
///
/// All of them have the software version of the decode engine.
pub async fn prefill_prompt(
    context: &CallContext<'_>,
    engine: &ChosenServer,
    version: Option<&SoftwareVersion>,
) -> Option<HeldKv> {
    let mut refusing_engines = Vec::new();
    let mut engine = engine.clone();
    loop {
        let permit = context.permit_send()?;
        match run_prefill(context, &engine, permit).await {
            PrefillResult::Held(kv) => return Some(*kv),
            PrefillResult::Lost => return None,
            PrefillResult::Refused => {}
        }
        let now_ms = clock::now_ms();
        context.shared.forwarder().record_prefill_refusal(now_ms, &engine.run);
        refusing_engines.push(engine.run);
        if refusing_engines.len() >= MAX_PREFILL_REFUSALS {
            return None;
        }
        let random = fastrand::u64(..);
        let forwarder = context.shared.forwarder();
        engine = forwarder.choose_prefill(
            now_ms,
            context.service,
            model_call_size(context),
            EngineFilter { excluded: &refusing_engines, version: VersionNeed::Same(version) },
            random,
        )?;
    }
}

/// The result of a prefill call.
enum PrefillResult {
    /// The engine holds the KV cache.
    Held(Box<HeldKv>),
    /// The engine did not accept the prefill.
    Refused,
    /// No answer came, or one that can't be used.
    Lost,
}

async fn run_prefill(
    context: &CallContext<'_>,
    engine: &ChosenServer,
    permit: SendPermit,
) -> PrefillResult {
    let guard = CallGuard::start(context.shared, engine);
    let silence_timeout_ms = silence_timeout_ms(engine).max(context.route.target_ms);
    let mut calling = Box::pin(call_prefill(context, engine, permit));
    let limit = Duration::from_millis(silence_timeout_ms.0);
    let prefilled = match async_std::future::timeout(limit, calling.as_mut()).await {
        Ok(prefilled) => prefilled,
        Err(_) if context.may_send() => Err(CallFailure::Silent),
        // Without another call to fall back on, the silent engine is the only hope.
        Err(_) => calling.await,
    };
    let elapsed_ms = guard.elapsed_ms();
    let end = match &prefilled {
        Ok(Some(_)) => CallEnd::Answered,
        Ok(None) => CallEnd::Refused,
        Err(failure) => failure.call_end(),
    };
    log_call(context, "prefill_call", engine, end, elapsed_ms);
    if let Err(failure) = &prefilled {
        refused_answers::record(context.shared, &engine.run.server, *failure);
    }
    if end == CallEnd::Answered {
        context.sends().record_done_prefill();
        context.shared.forwarder().record_prefill_time(clock::now_ms(), engine, elapsed_ms);
    }
    guard.end(end);
    match prefilled {
        Ok(Some(handle)) => {
            let source = KvSource { address: engine.address, handle };
            PrefillResult::Held(Box::new(HeldKv::new(context.shared, source, engine.clone())))
        }
        Ok(None) => PrefillResult::Refused,
        Err(_) => PrefillResult::Lost,
    }
}

async fn call_prefill(
    context: &CallContext<'_>,
    engine: &ChosenServer,
    permit: SendPermit,
) -> Result<Option<String>, CallFailure> {
    let mut head = call_head(context, engine, &ServerTask::Prefill);
    let bytes = CallBytes::new(&mut head, &context.request.body);
    let exchange = send_call(context, engine, bytes, permit, context.remaining_ms()).await?;
    let metadata = exchange.metadata.clone();
    let (head, body) = exchange.read_body(context, engine.address, context.remaining_ms()).await?;
    if metadata.is_not_run || !head.is_success() {
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
            Err(AnswerFault::Undecodable.into())
        }
    }
}
