//! Reads token streams from decode engines.
//!
//! Tokens are put in order by [`TokenReorderBuffer`] and go straight to the caller. The coordinator
//! receives events only for the first token, the end and a break of the stream.

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

use super::refused_answers;
use crate::daemon::Shared;
use crate::daemon::callers::CallerMessage;

/// Status of an engine that does not hold the stream.
const GONE_STATUS: u16 = 410;
/// Status of an engine from which another holder reads the stream.
const CONFLICT_STATUS: u16 = 409;

/// Longest line of a token stream, which holds one token.
const MAX_LINE_BYTES: u64 = 64 * 1024;

enum ReadEnd {
    /// The whole answer was sent; holds its number of tokens.
    Complete(u64),
    /// `is_held` is false if the engine can't continue the stream.
    Broken {
        is_held: bool,
    },
    CallerGone,
    /// Another holder reads the stream.
    TakenOver,
}

/// Reads a stream to its end, sends its tokens to the caller and reports how it ended.
pub async fn read(shared: Arc<Shared>, call: ReadCall) {
    let Some(sender) = shared.callers.sender(call.request) else {
        shared.send_event(Event::CallerGone(call.request));
        return;
    };
    let mut reorder_buffer = TokenReorderBuffer::starting_at(call.from_index);
    let end = read_lines(&shared, &call, &sender, &mut reorder_buffer).await;
    match end {
        ReadEnd::Complete(count) => {
            shared.metrics.answers.with_label_values(&["completed"]).inc();
            shared.callers.finish(call.request, CallerMessage::End { count });
            shared.send_event(Event::StreamEnded(call.request, call.stream));
        }
        ReadEnd::CallerGone | ReadEnd::TakenOver => {
            shared.callers.remove(call.request);
            shared.send_event(Event::CallerGone(call.request));
        }
        ReadEnd::Broken { is_held } => shared.send_event(Event::StreamBroken {
            request: call.request,
            stream: call.stream,
            next_index: reorder_buffer.next_index(),
            is_held,
        }),
    }
}

async fn read_lines(
    shared: &Shared,
    call: &ReadCall,
    sender: &Sender<CallerMessage>,
    reorder_buffer: &mut TokenReorderBuffer,
) -> ReadEnd {
    let silence_timeout = Duration::from_millis(call.silence_ms.0);
    let path = format!(
        "/tokens?stream={}&from={}&instance={}&incarnation={}&takes_over={}",
        call.stream,
        call.from_index,
        call.holder.instance,
        call.holder.incarnation,
        call.takes_over
    );
    let answer = match Call::get(call.target.address, path, silence_timeout).open().await {
        Ok(answer) => answer,
        Err(error) => {
            refused_answers::record(shared, &call.target.server, &error);
            return ReadEnd::Broken { is_held: true };
        }
    };
    if answer.status() as u16 == CONFLICT_STATUS {
        return ReadEnd::TakenOver;
    }
    if !answer.status().is_success() {
        return ReadEnd::Broken { is_held: answer.status() as u16 != GONE_STATUS };
    }
    let mut lines = BufReader::new(answer);
    let mut line = String::new();
    loop {
        line.clear();
        let mut limited = (&mut lines).take(MAX_LINE_BYTES);
        let reading = async_std::io::timeout(silence_timeout, limited.read_line(&mut line)).await;
        if !reading.is_ok_and(|count| count > 0) {
            return ReadEnd::Broken { is_held: true };
        }
        let Ok(parsed) = serde_json::from_str(&line) else {
            let reason = "a line that is no token";
            refused_answers::record_fault(shared, &call.target.server, "malformed_token", reason);
            return ReadEnd::Broken { is_held: true };
        };
        match parsed {
            TokenLine::Token { index, text } => {
                if !send_in_order(shared, call, sender, reorder_buffer, index, text).await {
                    return ReadEnd::CallerGone;
                }
            }
            TokenLine::End { count } => {
                if !reorder_buffer.finish(count) {
                    return ReadEnd::Broken { is_held: false };
                }
            }
        }
        if reorder_buffer.is_complete() {
            return ReadEnd::Complete(reorder_buffer.next_index());
        }
    }
}

/// Sends the tokens that are next in order; returns false if the caller is gone or too slow.
async fn send_in_order(
    shared: &Shared,
    call: &ReadCall,
    sender: &Sender<CallerMessage>,
    reorder_buffer: &mut TokenReorderBuffer,
    index: u64,
    text: String,
) -> bool {
    let stall_timeout = Duration::from_millis(shared.settings.limits.stall_timeout_ms.0);
    for (index, text) in reorder_buffer.push(index, text) {
        if index == 0 {
            shared.send_event(Event::FirstToken(call.request, call.stream.clone()));
        }
        let cursor = Cursor {
            server: call.target.server.clone(),
            stream: call.stream.clone(),
            next_index: index + 1,
            binding: call.binding.clone(),
        };
        let cursor = cursor.seal(&shared.seal_key);
        if !send_to_caller(sender, CallerMessage::Token { index, text, cursor }, stall_timeout)
            .await
        {
            return false;
        }
    }
    true
}

/// Queues a message for the caller; returns false if it is gone or reads too slowly.
///
/// Waits for up to `stall_timeout` while the queue is full.
async fn send_to_caller(
    sender: &Sender<CallerMessage>,
    message: CallerMessage,
    stall_timeout: Duration,
) -> bool {
    match sender.try_send(message) {
        Ok(()) => true,
        Err(TrySendError::Closed(_)) => false,
        Err(TrySendError::Full(message)) => {
            let sending = sender.send(message);
            matches!(async_std::future::timeout(stall_timeout, sending).await, Ok(Ok(())))
        }
    }
}
