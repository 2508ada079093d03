//! `GET /report`: the load report.

use std::collections::BTreeMap;
use std::sync::Arc;

use tide::Request;
use turmericrail_core::report::{HeldStream, LoadReport};
use turmericrail_core::units::{KvPieces, Streams, Tokens};

use crate::engine::{Shared, fail_if_down, json};

pub(super) async fn report(request: Request<Shared>) -> tide::Result {
    let inner = Arc::clone(request.state());
    inner.wait_while_frozen().await;
    fail_if_down(&inner)?;
    let state = inner.state();
    if let Some(report) = &state.stale_report {
        return json(report);
    }
    let held = state.streams.iter().map(|(id, stream)| {
        let held = HeldStream { holder: stream.holder.clone(), kv_pieces: stream.kv_pieces };
        (id.clone(), held)
    });
    let held: BTreeMap<_, _> = held.collect();
    let used_pieces: u64 = held.values().map(|stream| stream.kv_pieces.0).sum();
    json(&LoadReport {
        held,
        stream_limit_streams: Streams(inner.settings.stream_limit_streams),
        kv_total_pieces: KvPieces(inner.settings.kv_total_pieces),
        kv_free_pieces: KvPieces(inner.settings.kv_total_pieces.saturating_sub(used_pieces)),
        queued_tokens: Tokens(state.queued_tokens),
        role: state.orders.role,
        loaded: state.orders.loaded_versions(),
        loaded_adapters: state.orders.loaded_adapters(),
        fencing_number: state.orders.fencing_number,
    })
}
