//! Token generation and `GET /tokens`, which streams the tokens to a reader.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use serde::Deserialize;
use tide::{Request, Response, StatusCode};
use turmericrail_core::ids::{Incarnation, InstanceId, StreamId};
use turmericrail_core::report::Holder;
use turmericrail_wire::body::channel_body;
use turmericrail_wire::engine::TokenLine;

use crate::engine::{EngineState, Inner, Shared, fail_if_down};
use crate::text;

/// Longest time that a reader waits for a token before it checks the engine's switches.
const SWITCH_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which a completed stream can still be read.
const COMPLETED_STREAM_LIFETIME: Duration = Duration::from_secs(10);

pub(super) async fn generate(inner: Shared, stream: StreamId) {
    loop {
        task::sleep(Duration::from_millis(inner.settings.token_interval_ms)).await;
        inner.wait_while_frozen().await;
        let mut state = inner.state();
        let Some(generating) = state.streams.get_mut(&stream) else {
            return;
        };
        generating.generated_tokens += 1;
        let _ = generating.token_notifier.sender.try_send(());
        if generating.generated_tokens < generating.max_tokens {
            continue;
        }
        if let Some(ended) = state.streams.remove(&stream) {
            state.completed_streams.insert(stream.clone(), ended);
        }
        break;
    }
    task::sleep(COMPLETED_STREAM_LIFETIME).await;
    inner.state().completed_streams.remove(&stream);
}

/// Size of the pieces of a line without end.
const PIECE_BYTES: usize = 16 * 1024;

#[derive(Deserialize)]
struct TokensQuery {
    stream: StreamId,
    from: u64,
    instance: InstanceId,
    incarnation: Incarnation,
    takes_over: bool,
}

/// Makes the reader the holder of the stream and returns its reader number. The error is the HTTP
/// status if the stream is gone or held by another and not to be taken over.
fn register_reader(state: &mut EngineState, query: &TokensQuery) -> Result<u64, StatusCode> {
    let reader = Holder { instance: query.instance.clone(), incarnation: query.incarnation };
    let found = match state.streams.get_mut(&query.stream) {
        Some(stream) => stream,
        None => state.completed_streams.get_mut(&query.stream).ok_or(StatusCode::Gone)?,
    };
    if found.holder != reader && !query.takes_over {
        return Err(StatusCode::Conflict);
    }
    found.holder = reader;
    state.reader_count += 1;
    Ok(state.reader_count)
}

pub(super) async fn tokens(request: Request<Shared>) -> tide::Result {
    let query: TokensQuery = request.query()?;
    let inner = Arc::clone(request.state());
    inner.wait_while_frozen().await;
    fail_if_down(&inner)?;
    let registered = register_reader(&mut inner.state(), &query);
    let reader = match registered {
        Ok(reader) => reader,
        Err(status) => return Ok(Response::new(status)),
    };
    let (sender, receiver) = async_channel::bounded(16);
    if inner.state().has_endless_lines {
        task::spawn(async move { while sender.send(Ok(vec![b'x'; PIECE_BYTES])).await.is_ok() {} });
        return Ok(Response::builder(200).body(channel_body(receiver)).build());
    }
    task::spawn(async move {
        let mut index = query.from;
        while let Some(line) = next_line(&inner, &query.stream, index, reader).await {
            let mut bytes = serde_json::to_vec(&line).expect("token lines serialise");
            bytes.push(b'\n');
            let is_end = matches!(line, TokenLine::End { .. });
            if sender.send(Ok(bytes)).await.is_err() || is_end {
                return;
            }
            index += 1;
        }
        let cut = std::io::Error::other("stream cancelled");
        let _ = sender.send(Err(cut)).await;
    });
    Ok(Response::builder(200).body(channel_body(receiver)).build())
}

async fn next_line(inner: &Inner, stream: &StreamId, index: u64, reader: u64) -> Option<TokenLine> {
    loop {
        let token_notifier = {
            let state = inner.state();
            let found = state.find_readable(stream)?;
            if reader < state.disconnected_below {
                return None;
            }
            let may_send = reader >= state.stalled_below && !state.is_frozen;
            if may_send && index < found.generated_tokens {
                return Some(TokenLine::Token { index, text: text::token(&found.prompt, index) });
            }
            if may_send && found.generated_tokens >= found.max_tokens {
                return Some(TokenLine::End { count: found.max_tokens });
            }
            found.token_notifier.receiver.clone()
        };
        let _ = async_std::future::timeout(SWITCH_CHECK_INTERVAL, token_notifier.recv()).await;
    }
}
