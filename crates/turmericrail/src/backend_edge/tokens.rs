//! Adapter for the token streams of decode engines.
//!
//! Tokens go through [`TokenReorderBuffer`] and straight to the caller; the coordinator hears only of the
//! first token, the end and a break.

use std::sync::Arc;
use std::time::Duration;

use async_channel::{Sender, TrySendError};
use async_std::io::BufReader;
use async_std::io::prelude::*;
use turmericrail_core::action::ReadCall;
use turmericrail_core::event::Event;
use turmericrail_core::request::Cursor;
use turmericrail_core::token_reorder::TokenReorderBuffer;
use turmericrail_wire::client::Call;
use turmericrail_wire::engine::TokenLine;

use crate::daemon::Shared;
use crate::daemon::callers::ToCaller;

/// HTTP status of an engine that does not know the stream.
const GONE: u16 = 410;
/// HTTP status of an engine where another holder reads the stream.
const CONFLICT: u16 = 409;

enum ReadEnd {
    Complete(u64),
    Broken { is_held: bool },
    CallerGone,
    TakenOver,
}

/// Reads a stream to its end and passes its tokens to the caller.
pub async fn read(shared: Arc<Shared>, call: ReadCall) {
    let Some(sender) = shared.callers.sender(call.request) else {
        shared.tell(Event::CallerGone(call.request));
        return;
    };
    let mut order = TokenReorderBuffer::starting_at(call.from_index);
    let end = read_lines(&shared, &call, &sender, &mut order).await;
    match end {
        ReadEnd::Complete(count) => {
            shared.metrics.answers.with_label_values(&["completed"]).inc();
            shared.callers.finish(call.request, ToCaller::End { count });
            shared.tell(Event::StreamEnded(call.request, call.stream));
        }
        ReadEnd::CallerGone | ReadEnd::TakenOver => {
            shared.callers.forget(call.request);
            shared.tell(Event::CallerGone(call.request));
        }
        ReadEnd::Broken { is_held } => shared.tell(Event::StreamBroken {
            request: call.request,
            stream: call.stream,
            next_index: order.next_index(),
            is_held,
        }),
    }
}

async fn read_lines(
    shared: &Shared,
    call: &ReadCall,
    sender: &Sender<ToCaller>,
    order: &mut TokenReorderBuffer,
) -> ReadEnd {
    let silence = Duration::from_millis(call.silence_ms.0);
    let path = format!(
        "/tokens?stream={}&from={}&instance={}&incarnation={}&takes_over={}",
        call.stream,
        call.from_index,
        call.holder.instance,
        call.holder.incarnation,
        call.takes_over
    );
    let opened = Call::get(call.target.address, path, silence).open().await;
    let Ok(answer) = opened else {
        return ReadEnd::Broken { is_held: true };
    };
    if answer.status() as u16 == CONFLICT {
        return ReadEnd::TakenOver;
    }
    if !answer.status().is_success() {
        return ReadEnd::Broken { is_held: answer.status() as u16 != GONE };
    }
    let mut lines = BufReader::new(answer);
    let mut line = String::new();
    loop {
        line.clear();
        let reading = async_std::io::timeout(silence, lines.read_line(&mut line)).await;
        if !reading.is_ok_and(|count| count > 0) {
            return ReadEnd::Broken { is_held: true };
        }
        let Ok(parsed) = serde_json::from_str(&line) else {
            return ReadEnd::Broken { is_held: true };
        };
        match parsed {
            TokenLine::Token { index, text } => {
                if !pass_on(shared, call, sender, order, index, text).await {
                    return ReadEnd::CallerGone;
                }
            }
            TokenLine::End { count } => {
                if !order.finish(count) {
                    return ReadEnd::Broken { is_held: false };
                }
            }
        }
        if order.is_complete() {
            return ReadEnd::Complete(order.next_index());
        }
    }
}

async fn pass_on(
    shared: &Shared,
    call: &ReadCall,
    sender: &Sender<ToCaller>,
    order: &mut TokenReorderBuffer,
    index: u64,
    text: String,
) -> bool {
    let stall = Duration::from_millis(shared.settings.limits.stall_timeout_ms.0);
    for (index, text) in order.push(index, text) {
        if index == 0 {
            shared.tell(Event::FirstToken(call.request, call.stream.clone()));
        }
        let cursor = Cursor {
            server: call.target.server.clone(),
            stream: call.stream.clone(),
            next_index: index + 1,
            binding: call.binding.clone(),
        };
        let cursor = cursor.seal(&shared.seal);
        if !send(sender, ToCaller::Token { index, text, cursor }, stall).await {
            return false;
        }
    }
    true
}

/// Passes a message on; waits only where the caller reads more slowly than tokens come.
async fn send(sender: &Sender<ToCaller>, message: ToCaller, stall: Duration) -> bool {
    match sender.try_send(message) {
        Ok(()) => true,
        Err(TrySendError::Closed(_)) => false,
        Err(TrySendError::Full(message)) => {
            let sending = sender.send(message);
            matches!(async_std::future::timeout(stall, sending).await, Ok(Ok(())))
        }
    }
}
