//! `POST /prefill`: computes a prompt and keeps its KV cache until it is exported or expires.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use tide::{Request, Response, StatusCode};
use turmericrail_core::ids::StreamId;
use turmericrail_core::units::{KvPieces, Tokens};
use turmericrail_core::weights::Weights;
use turmericrail_wire::engine::{PrefillAnswer, PrefillBody};

use crate::engine::{EngineStream, Inner, Shared, TokenNotifier, fail_if_down, gone, json};
use crate::text;

pub(super) async fn prefill(mut request: Request<Shared>) -> tide::Result {
    let body: PrefillBody = request.body_json().await?;
    let inner = Arc::clone(request.state());
    inner.wait_while_frozen().await;
    fail_if_down(&inner)?;
    let weights = Weights { model: body.model, version: body.version, adapter: body.adapter };
    if !inner.state().orders.serves(&weights) {
        inner.state().orders.refused_prompt_count += 1;
        return Ok(Response::new(StatusCode::Conflict));
    }
    let prompt_tokens = text::prompt_tokens(&body.prompt);
    let kv_pieces = KvPieces(prompt_tokens.div_ceil(16));
    let stream = EngineStream {
        holder: body.holder,
        kv_pieces,
        weights: Some(weights),
        prompt: body.prompt,
        is_prefill_done: false,
        generated_tokens: 0,
        max_tokens: 0,
        token_notifier: TokenNotifier::default(),
    };
    {
        let mut state = inner.state();
        state.streams.insert(body.stream.clone(), stream);
        state.queued_tokens += prompt_tokens;
    }
    let is_done = compute_prompt(&inner, &body.stream, prompt_tokens).await;
    inner.state().queued_tokens -= prompt_tokens;
    if !is_done {
        return gone();
    }
    let lifetime = Duration::from_millis(inner.settings.result_lifetime_ms);
    task::spawn(async move {
        task::sleep(lifetime).await;
        inner.state().discard(&body.stream);
    });
    json(&PrefillAnswer { cached_tokens: Tokens::ZERO, kv_pieces })
}

async fn compute_prompt(inner: &Inner, stream: &StreamId, prompt_tokens: u64) -> bool {
    let _guard = inner.compute_lock.lock().await;
    let mut remaining_ms = prompt_tokens * 1_000 / inner.settings.prefill_tokens_per_second.max(1);
    while remaining_ms > 0 {
        let step_ms = remaining_ms.min(10);
        task::sleep(Duration::from_millis(step_ms)).await;
        inner.wait_while_frozen().await;
        remaining_ms -= step_ms;
        if !inner.state().streams.contains_key(stream) {
            return false;
        }
    }
    let mut state = inner.state();
    state.prefill_tokens += prompt_tokens;
    let Some(stream) = state.streams.get_mut(stream) else {
        return false;
    };
    stream.is_prefill_done = true;
    true
}
