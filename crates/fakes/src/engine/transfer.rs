//! Transfer of KV caches.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use tide::{Request, Response, StatusCode};
use turmericrail_core::units::KvPieces;
use turmericrail_wire::client::Call;
use turmericrail_wire::engine::{ExportAnswer, ExportBody, ImportBody};

use crate::engine::tokens::generate;
use crate::engine::{EngineStream, Inner, Progress, STEP, Shared, admit, gone, json};

pub(super) async fn export(mut request: Request<Shared>) -> tide::Result {
    let body: ExportBody = request.body_json().await?;
    let inner = Arc::clone(request.state());
    inner.thaw().await;
    admit(&inner)?;
    let exported = inner.state().streams.remove(&body.stream);
    let Some(exported) = exported.filter(|stream| stream.is_computed) else {
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
    inner.thaw().await;
    admit(&inner)?;
    if !has_room(&inner, body.kv_pieces) {
        return Ok(Response::new(StatusCode::TooManyRequests));
    }
    let placeholder = EngineStream {
        holder: body.holder.clone(),
        kv_pieces: body.kv_pieces,
        weights: None,
        prompt: String::new(),
        is_computed: false,
        generated_tokens: 0,
        max_tokens: body.max_tokens.0,
        progress: Progress::default(),
    };
    inner.state().streams.insert(body.stream.clone(), placeholder);
    let exporting = ExportBody { stream: body.stream.clone() };
    let call = Call::post(body.source, "/export", &exporting, Duration::from_secs(2));
    let Ok(exported) = call.send_json::<ExportAnswer>().await else {
        inner.state().streams.remove(&body.stream);
        return gone();
    };
    if !inner.state().orders.serves(&exported.weights) {
        inner.state().streams.remove(&body.stream);
        return Ok(Response::new(StatusCode::Conflict));
    }
    task::sleep(Duration::from_millis(inner.settings.transfer_ms)).await;
    inner.thaw().await;
    while inner.state().is_transfer_stalled {
        task::sleep(STEP).await;
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
    let used: u64 = state.streams.values().map(|stream| stream.kv_pieces.0).sum();
    let has_seat = (state.streams.len() as u64) < inner.settings.stream_limit_streams;
    has_seat && used + kv_pieces.0 <= inner.settings.kv_total_pieces
}
