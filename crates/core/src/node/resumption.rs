//! Resumption of answers after the caller's connection broke.
//!
//! The cursor names the engine and the stream. If the engine still holds the stream, it is taken
//! over. If not, and the caller sent its request along, the request is admitted like any other,
//! computed again with the model version that began the answer, and read from the index where the
//! caller stopped.

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

/// Retry delay sent to callers that resume at an instance without a configuration.
const NOT_READY_RETRY_AFTER_MS: Millis = Millis(2_000);

impl Node {
    pub(super) fn handle_resume_request(
        &mut self,
        request: RequestId,
        cursor: &str,
        model_request: Option<ModelRequest>,
    ) {
        let Some(cursor) = Cursor::unseal(cursor, &self.seal_key) else {
            self.answer_with_error(request, ErrorKind::BadCursor, None);
            return;
        };
        let Some(configuration) = self.config.in_force() else {
            self.answer_with_error(request, ErrorKind::NotReady, Some(NOT_READY_RETRY_AFTER_MS));
            return;
        };
        let is_server_configured = configuration.servers.contains_key(&cursor.server);
        let Ok(model_request) = bound_request(&cursor, model_request) else {
            self.answer_with_error(request, ErrorKind::BadCursor, None);
            return;
        };
        let way = if model_request.is_some() { "cursor_and_request" } else { "cursor" };
        let fields = vec![
            ("server", cursor.server.to_string()),
            ("stream", cursor.stream.to_string()),
            ("next_index", cursor.next_index.to_string()),
            ("way", way.to_owned()),
        ];
        self.log("resume", Some(request), fields);
        let seat = StreamOnServer { server: cursor.server.clone(), stream: cursor.stream.clone() };
        let flow = self.resumed_flow(cursor, model_request);
        self.flows.insert(request, flow);
        if !is_server_configured {
            self.recompute_request(request, false);
            return;
        }
        self.send_claim(seat);
        self.start_token_read(request);
    }

    /// Starts a new attempt of a request whose stream could not be taken over, or broke afterwards,
    /// if the caller sent the request along. An engine that replied but no longer has the stream
    /// is not excluded.
    pub(super) fn recompute_request(&mut self, request: RequestId, is_engine_lost: bool) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let has_passed_tokens = flow.has_sent_tokens_to_caller();
        let Some(model_request) = flow.model_request.clone() else {
            self.finish_with_error(request, ErrorKind::CursorExpired);
            return;
        };
        if let Some(configuration) = self.config.in_force() {
            self.admission.pools.refresh(configuration, self.now.wall_ms);
        }
        let targets = match self.check_admission(&model_request) {
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
            self.record_engine_failure(request, |flow| flow.decode_server.clone());
            self.exclude_engine(request, |flow| flow.decode_server.clone());
        }
        self.admission.usage.record_request(self.now.monotonic_ms, &model_request.workspace);
        self.retry_request(request, "stream_lost");
    }

    fn resumed_flow(&self, cursor: Cursor, model_request: Option<ModelRequest>) -> Flow {
        let zero = Millis::ZERO;
        let configuration = self.config.in_force();
        let kv_pieces =
            configuration.zip(model_request.as_ref()).map(|(configuration, model_request)| {
                configuration.pieces_for(model_request.prompt_tokens.0 + model_request.max_tokens.0)
            });
        let kinds = configuration.map(|configuration| &configuration.caller_kinds);
        let kind = kinds
            .zip(model_request.as_ref())
            .and_then(|(kinds, model_request)| kinds.get(&model_request.caller_kind));
        let targets = kind.and_then(|kind| kind.at(self.now.wall_ms));
        let unknown = LatencyTargets { first_token_ms: zero, per_token_ms: zero };
        Flow {
            work_tokens: model_request
                .as_ref()
                .map_or(Tokens::ZERO, |model_request| model_request.prompt_tokens),
            weights: model_request.as_ref().and_then(bound_weights),
            model_request,
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

fn bound_weights(model_request: &ModelRequest) -> Option<Weights> {
    let version = model_request.version.clone()?;
    Some(Weights {
        model: model_request.model.clone(),
        version,
        adapter: model_request.adapter.clone(),
    })
}

/// The caller's request with the model version that began its answer, or `None` if there is no
/// request or the cursor has no binding, as in cursors of earlier program versions. A request other
/// than the one that the cursor is bound to is an error.
fn bound_request(
    cursor: &Cursor,
    model_request: Option<ModelRequest>,
) -> Result<Option<ModelRequest>, ErrorKind> {
    let (Some(binding), Some(model_request)) = (&cursor.binding, model_request) else {
        return Ok(None);
    };
    if binding.fingerprint != model_request.fingerprint {
        return Err(ErrorKind::BadCursor);
    }
    Ok(Some(ModelRequest { version: Some(binding.version.clone()), ..model_request }))
}
