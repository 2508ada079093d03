//! Answers that a caller continues after its connection broke.
//!
//! The cursor names the engine and the stream, which is taken over where the engine still holds
//! it. Where it does not, and the caller sent its request along, the request is admitted like any
//! other, computed again with the model version that began the answer, and read from the next
//! index of the caller on.

use std::collections::BTreeSet;

use crate::config::window::LatencyTargets;
use crate::error_kind::ErrorKind;
use crate::event::ModelRequest;
use crate::ids::RequestId;
use crate::message::StreamOnServer;
use crate::node::Node;
use crate::request::{Cursor, Flow, Stage};
use crate::units::{KvPieces, Millis, Streams, Tokens};
use crate::weights::Weights;

/// Wait told to callers that resume at an instance without a configuration.
const NOT_READY_MS: Millis = Millis(2_000);

impl Node {
    pub(super) fn take_resume_request(
        &mut self,
        request: RequestId,
        cursor: &str,
        asked: Option<ModelRequest>,
    ) {
        let Some(cursor) = Cursor::unseal(cursor, &self.seal) else {
            self.answer_error(request, ErrorKind::BadCursor, None);
            return;
        };
        let Some(configuration) = self.config.in_force() else {
            self.answer_error(request, ErrorKind::NotReady, Some(NOT_READY_MS));
            return;
        };
        let is_known = configuration.servers.contains_key(&cursor.server);
        let Ok(asked) = bound_request(&cursor, asked) else {
            self.answer_error(request, ErrorKind::BadCursor, None);
            return;
        };
        let way = if asked.is_some() { "cursor_and_request" } else { "cursor" };
        let fields = vec![
            ("server", cursor.server.to_string()),
            ("stream", cursor.stream.to_string()),
            ("next_index", cursor.next_index.to_string()),
            ("way", way.to_owned()),
        ];
        self.log("resume", Some(request), fields);
        let seat = StreamOnServer { server: cursor.server.clone(), stream: cursor.stream.clone() };
        let flow = self.resumed_flow(cursor, asked);
        self.flows.insert(request, flow);
        if !is_known {
            self.recompute(request, false);
            return;
        }
        self.claim(seat);
        self.read_tokens(request);
    }

    /// Computes the request of a stream that could not be taken over, where the caller sent it.
    /// An engine that answers without the stream is not to blame.
    pub(super) fn recompute(&mut self, request: RequestId, is_engine_lost: bool) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let has_passed_tokens = flow.has_passed_tokens();
        let Some(asked) = flow.model_request.clone() else {
            self.finish_with_error(request, ErrorKind::CursorExpired);
            return;
        };
        if let Some(configuration) = self.config.in_force() {
            self.admission.pools.refresh(configuration, self.now.wall_ms);
        }
        let targets = match self.admit(&asked) {
            Ok((targets, _)) => targets,
            Err(kind) => {
                let kind = match kind {
                    ErrorKind::UnknownModel | ErrorKind::UnknownAdapter => {
                        ErrorKind::VersionRemoved
                    }
                    _ if has_passed_tokens => ErrorKind::StreamBroken,
                    kind => kind,
                };
                self.finish_with_error(request, kind);
                return;
            }
        };
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.targets = targets;
        }
        if is_engine_lost {
            self.suspect(request, |flow| flow.decode_server.clone());
            self.exclude(request, |flow| flow.decode_server.clone());
        }
        self.admission.usage.ask(self.now.monotonic_ms, &asked.workspace);
        self.retry(request, "stream_lost");
    }

    fn resumed_flow(&self, cursor: Cursor, asked: Option<ModelRequest>) -> Flow {
        let zero = Millis::ZERO;
        let configuration = self.config.in_force();
        let kv_pieces = configuration.zip(asked.as_ref()).map(|(configuration, asked)| {
            configuration.pieces_for(asked.prompt_tokens.0 + asked.max_tokens.0)
        });
        let kinds = configuration.map(|configuration| &configuration.caller_kinds);
        let kind =
            kinds.zip(asked.as_ref()).and_then(|(kinds, asked)| kinds.get(&asked.caller_kind));
        let targets = kind.and_then(|kind| kind.at(self.now.wall_ms));
        let unknown = LatencyTargets { first_token_ms: zero, per_token_ms: zero };
        Flow {
            work_tokens: asked.as_ref().map_or(Tokens::ZERO, |asked| asked.prompt_tokens),
            weights: asked.as_ref().and_then(bound_weights),
            model_request: asked,
            binding: cursor.binding,
            targets: targets.unwrap_or(unknown),
            arrived_ms: self.now.monotonic_ms,
            due_from_ms: self.now.monotonic_ms,
            stage: Stage::Decoding,
            stage_since_ms: self.now.monotonic_ms,
            stream: cursor.stream,
            attempt: 1,
            decode_server: Some(cursor.server),
            prefill_server: None,
            wait_ms: zero,
            result_until_ms: zero,
            transfer_until_ms: zero,
            has_stalled_transfer: false,
            failed_source: None,
            batch_streams: Streams::ZERO,
            kv_pieces: kv_pieces.unwrap_or(KvPieces::ZERO),
            first_index: cursor.next_index,
            next_index: cursor.next_index,
            refused_by: BTreeSet::new(),
            excluded: BTreeSet::new(),
            first_token_ms: None,
            read_count: 0,
            last_read_ms: zero,
            last_progress_ms: zero,
            next_read_ms: None,
            was_silent: false,
            broken_reads: 0,
            is_taken_over: true,
        }
    }
}

fn bound_weights(asked: &ModelRequest) -> Option<Weights> {
    let version = asked.version.clone()?;
    Some(Weights { model: asked.model.clone(), version, adapter: asked.adapter.clone() })
}

/// The request that a cursor is bound to, with the model version that began its answer. A cursor
/// of an earlier release is bound to none; any other request than its own is refused.
fn bound_request(
    cursor: &Cursor,
    asked: Option<ModelRequest>,
) -> Result<Option<ModelRequest>, ErrorKind> {
    let (Some(binding), Some(asked)) = (&cursor.binding, asked) else {
        return Ok(None);
    };
    if binding.fingerprint != asked.fingerprint {
        return Err(ErrorKind::BadCursor);
    }
    Ok(Some(ModelRequest { version: Some(binding.version.clone()), ..asked }))
}
