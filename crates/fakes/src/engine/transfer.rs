//! `POST /import` and `POST /export`: KV transfer from a prefill engine to a decode engine.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use tide::{Request, Response, StatusCode};
use turmericrail_core::units::KvPieces;
use turmericrail_wire::client::Call;
use turmericrail_wire::engine::{ExportAnswer, ExportBody, ImportBody};

use crate::engine::tokens::generate;
use crate::engine::{
    EngineStream, Inner, POLL_INTERVAL, Shared, TokenNotifier, fail_if_down, gone, json,
};

pub(super) async fn export(mut request: Request<Shared>) -> tide::Result {
    let body: ExportBody = request.body_json().await?;
    let inner = Arc::clone(request.state());
    inner.wait_while_frozen().await;
    fail_if_down(&inner)?;
    let exported = inner.state().streams.remove(&body.stream);
    let Some(exported) = exported.filter(|stream| stream.is_prefill_done) else {
        return gone();
    };
    let Some(weights) = exported.weights else {
        return gone();
    };
    json(&ExportAnswer { prompt: exported.prompt, weights })
}

pub(super) async fn import(mut request: Request<Shared>) -> tide::Result {
    let body: ImportBody = request.body_json().await?;
    let inner = Arc::clone(request.state());
    inner.wait_while_frozen().await;
    fail_if_down(&inner)?;
    if !has_room(&inner, body.kv_pieces) {
        return Ok(Response::new(StatusCode::TooManyRequests));
    }
    let placeholder = EngineStream {
        holder: body.holder.clone(),
        kv_pieces: body.kv_pieces,
        weights: None,
        prompt: String::new(),
        is_prefill_done: false,
        generated_tokens: 0,
        max_tokens: body.max_tokens.0,
        token_notifier: TokenNotifier::default(),
    };
    inner.state().streams.insert(body.stream.clone(), placeholder);
    let export_request = ExportBody { stream: body.stream.clone() };
    let call = Call::post(body.source, "/export", &export_request, Duration::from_secs(2));
    let Ok(exported) = call.send_json::<ExportAnswer>().await else {
        inner.state().streams.remove(&body.stream);
        return gone();
    };
    if !inner.state().orders.serves(&exported.weights) {
        inner.state().streams.remove(&body.stream);
        return Ok(Response::new(StatusCode::Conflict));
    }
    task::sleep(Duration::from_millis(inner.settings.transfer_ms)).await;
    inner.wait_while_frozen().await;
    while inner.state().is_transfer_stalled {
        task::sleep(POLL_INTERVAL).await;
    }
    match inner.state().streams.get_mut(&body.stream) {
        Some(stream) => {
            stream.prompt = exported.prompt;
            stream.weights = Some(exported.weights);
        }
        None => return gone(),
    }
    task::spawn(generate(inner, body.stream));
    Ok(Response::new(StatusCode::Ok))
}

fn has_room(inner: &Inner, kv_pieces: KvPieces) -> bool {
    let state = inner.state();
    let used_pieces: u64 = state.streams.values().map(|stream| stream.kv_pieces.0).sum();
    let has_free_stream = (state.streams.len() as u64) < inner.settings.stream_limit_streams;
    has_free_stream && used_pieces + kv_pieces.0 <= inner.settings.kv_total_pieces
}
