//! Ranking of engines for one request.

use crate::ids::ServerId;
use crate::membership::ServerLoad;
use crate::units::KvPieces;

/// An engine that may serve a request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The engine.
    pub server: ServerId,
    /// Its load, as far as known.
    pub load: ServerLoad,
    /// Whether it stands in this instance's data centre.
    pub is_near: bool,
}

/// The decode engine with the most free seats, near ones first.
pub fn best_decode(candidates: &[Candidate], kv_pieces: KvPieces) -> Option<&Candidate> {
    candidates
        .iter()
        .filter(|candidate| candidate.load.free_streams.0 > 0)
        .filter(|candidate| candidate.load.free_pieces >= kv_pieces)
        .max_by_key(|candidate| (candidate.is_near, candidate.load.free_streams))
}

/// The prefill engine with the shortest queue, near ones first.
pub fn best_prefill(candidates: &[Candidate]) -> Option<&Candidate> {
    candidates.iter().min_by_key(|candidate| (!candidate.is_near, candidate.load.queued_tokens))
}
