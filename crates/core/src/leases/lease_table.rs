//! The owner's record of one engine: which holder has which stream, and how many KV pieces.
//!
//! Heartbeats of a holder renew its leases. A stream that the engine reports and the table lacks is
//! adopted, and cancelled if no live holder claims it in time, so that memory is freed even if the
//! holder and the previous owner died together.
//!
//! A live holder is asked from time to time whether it still has the request, so that a lost
//! release does not keep a seat for ever. The interval grows with the age of the lease.

use std::collections::BTreeMap;

use crate::ids::StreamId;
use crate::report::{Holder, LoadReport};
use crate::units::{KvPieces, Millis, Streams};

/// Time from when a holder last counted as live to the cancellation of its streams.
pub const LEASE_MS: Millis = Millis(4_000);

/// Age at which the holder of a lease is first asked whether it still has the request.
pub const FIRST_CHECK_MS: Millis = Millis(5_000);

const MAX_CHECK_INTERVAL_MS: Millis = Millis(20_000);

/// Age at which a lease ends if the engine's reports never named its stream.
const REPORT_APPEARANCE_TIMEOUT_MS: Millis = Millis(30_000);

/// Time for which reports may still name a stream that was released.
const REPORT_LAG_MS: Millis = Millis(5_000);

/// Capacity of an engine, in total or still free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineCapacity {
    /// Streams at a time.
    pub streams: Streams,
    /// KV pieces over all streams.
    pub pieces: KvPieces,
}

/// One stream on the engine.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lease {
    pub holder: Holder,
    /// KV pieces reserved.
    pub kv_pieces: KvPieces,
    /// When it was granted or adopted.
    pub granted_ms: Millis,
    /// When it ends unless its holder counts as live before then.
    pub ends_ms: Millis,
    /// The holder that the engine reports; `None` until it reports the stream.
    pub reported_holder: Option<Holder>,
    /// When the holder is next asked whether it still has the request.
    pub next_check_ms: Millis,
}

/// The leases of one engine.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    capacity: EngineCapacity,
    leases: BTreeMap<StreamId, Lease>,
    /// Releases that the engine's reports may not reflect yet.
    released_ms: BTreeMap<StreamId, Millis>,
}

impl LeaseTable {
    /// A table without leases.
    pub fn new(capacity: EngineCapacity) -> Self {
        Self { capacity, leases: BTreeMap::new(), released_ms: BTreeMap::new() }
    }

    /// Streams and pieces that can still be granted.
    pub fn free(&self) -> EngineCapacity {
        let used_pieces = self.leases.values().map(|lease| lease.kv_pieces.0).sum();
        EngineCapacity {
            streams: self.capacity.streams - Streams(self.leases.len() as u64),
            pieces: self.capacity.pieces - KvPieces(used_pieces),
        }
    }

    /// All leases, by stream.
    pub fn leases(&self) -> &BTreeMap<StreamId, Lease> {
        &self.leases
    }

    /// Grants a seat if there is room; a repeated request for the same stream and holder succeeds
    /// and takes no further room.
    pub fn grant(
        &mut self,
        now_ms: Millis,
        stream: &StreamId,
        holder: &Holder,
        kv_pieces: KvPieces,
    ) -> bool {
        if let Some(lease) = self.leases.get(stream) {
            return lease.holder == *holder;
        }
        let free = self.free();
        if free.streams == Streams::ZERO || free.pieces < kv_pieces {
            return false;
        }
        self.insert(now_ms, stream.clone(), holder.clone(), kv_pieces, None);
        let used_pieces: u64 = self.leases.values().map(|lease| lease.kv_pieces.0).sum();
        assert!(
            used_pieces <= self.capacity.pieces.0,
            "granted more KV pieces than the engine has"
        );
        assert!(
            self.leases.len() as u64 <= self.capacity.streams.0,
            "granted more seats than there are"
        );
        true
    }

    /// Moves a stream to another holder, for instance if a caller resumes at another instance.
    pub fn take_over(&mut self, now_ms: Millis, stream: &StreamId, holder: &Holder) -> bool {
        let Some(lease) = self.leases.get_mut(stream) else {
            return false;
        };
        lease.holder = holder.clone();
        lease.ends_ms = now_ms + LEASE_MS;
        true
    }

    /// Ends a lease and returns whether there was one. Reports that the engine made before do not
    /// bring it back.
    pub fn release(&mut self, now_ms: Millis, stream: &StreamId) -> bool {
        self.released_ms.insert(stream.clone(), now_ms);
        self.leases.remove(stream).is_some()
    }

    /// Compares the table with a report: adopts streams that the table lacks, and drops the leases
    /// of streams that ended at the engine or never appeared there.
    pub fn reconcile(&mut self, now_ms: Millis, report: &LoadReport) {
        self.released_ms.retain(|_, released_ms| now_ms - *released_ms < REPORT_LAG_MS);
        for (stream, held) in &report.held {
            if self.released_ms.contains_key(stream) {
                continue;
            }
            if let Some(lease) = self.leases.get_mut(stream) {
                lease.reported_holder = Some(held.holder.clone());
                continue;
            }
            let reported = Some(held.holder.clone());
            self.insert(now_ms, stream.clone(), held.holder.clone(), held.kv_pieces, reported);
        }
        self.leases.retain(|stream, lease| {
            let is_reported = lease.reported_holder.is_some();
            let is_gone = is_reported && !report.held.contains_key(stream);
            let never_reported =
                !is_reported && now_ms - lease.granted_ms > REPORT_APPEARANCE_TIMEOUT_MS;
            !is_gone && !never_reported
        });
    }

    /// Renews leases of live holders; removes and returns those that ended, which are to be
    /// cancelled at the engine.
    pub fn expire(
        &mut self,
        now_ms: Millis,
        is_live: impl Fn(&Holder) -> bool,
    ) -> Vec<(StreamId, Holder)> {
        let mut ended = Vec::new();
        for (stream, lease) in &mut self.leases {
            let reported_live_holder =
                lease.reported_holder.as_ref().filter(|holder| is_live(holder));
            if let Some(holder) = reported_live_holder.filter(|_| !is_live(&lease.holder)) {
                lease.holder = holder.clone();
            }
            if is_live(&lease.holder) {
                lease.ends_ms = now_ms + LEASE_MS;
                continue;
            }
            if lease.ends_ms <= now_ms {
                ended.push((stream.clone(), lease.holder.clone()));
            }
        }
        for (stream, _) in &ended {
            self.leases.remove(stream);
        }
        let is_in_force = |lease: &Lease| is_live(&lease.holder) || lease.ends_ms > now_ms;
        assert!(self.leases.values().all(is_in_force), "a lease outlived its end and its holder");
        ended
    }

    /// Streams whose holders are to be asked now whether they still have the request. Each call
    /// schedules the next check of the streams that it returns.
    pub fn take_due_lease_checks(&mut self, now_ms: Millis) -> Vec<(StreamId, Holder)> {
        let mut due = Vec::new();
        for (stream, lease) in &mut self.leases {
            if lease.next_check_ms > now_ms {
                continue;
            }
            let age_ms = now_ms - lease.granted_ms;
            lease.next_check_ms = now_ms + age_ms.clamp(FIRST_CHECK_MS, MAX_CHECK_INTERVAL_MS);
            due.push((stream.clone(), lease.holder.clone()));
        }
        due
    }

    fn insert(
        &mut self,
        now_ms: Millis,
        stream: StreamId,
        holder: Holder,
        kv_pieces: KvPieces,
        reported_holder: Option<Holder>,
    ) {
        let lease = Lease {
            holder,
            kv_pieces,
            granted_ms: now_ms,
            ends_ms: now_ms + LEASE_MS,
            reported_holder,
            next_check_ms: now_ms + FIRST_CHECK_MS,
        };
        self.leases.insert(stream, lease);
    }
}
