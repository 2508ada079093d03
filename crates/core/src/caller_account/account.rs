//! The account of all connections, which decides who gives way.

use std::collections::BTreeMap;

use super::holding::Holding;
use super::{AccountLimits, ConnectionPhase};
use crate::ids::ConnectionId;
use crate::units::{Bytes, Millis};

/// Connections beyond the limit that may be leaving at the same time.
const MAX_LEAVING_CONNECTIONS: u64 = 64;

/// Part of the memory that is freed at least once connections have to give way, so that they needn't
/// be looked at for each few bytes.
const MIN_FREED_DIVISOR: u64 = 64;
/// Part of the memory by which connections that are leaving may exceed the limit.
const LEAVING_DIVISOR: u64 = 8;

/// Why there is no room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// There is too little memory, and nobody gives way.
    Memory,
    /// There are too many connections, and none gives way.
    Connections,
    /// Connections give way whose memory isn't free yet.
    Leaving,
}

/// What comes of a wish for more memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Growth {
    /// Whether the memory was granted.
    pub is_granted: bool,
    /// Connections that give way.
    pub evicted: Vec<ConnectionId>,
}

impl Shortage {
    /// Name in the log and as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Connections => "connections",
            Self::Leaving => "leaving",
        }
    }
}

/// The account of all connections.
#[derive(Debug)]
pub struct CallerAccount {
    limits: AccountLimits,
    holdings: BTreeMap<ConnectionId, Holding>,
    next_id: ConnectionId,
    held: Bytes,
    /// The part of `held` of connections that are leaving.
    leaving: Bytes,
    leaving_connections: u64,
}

impl CallerAccount {
    /// An account without connections.
    pub fn new(limits: AccountLimits) -> Self {
        Self {
            limits,
            holdings: BTreeMap::new(),
            next_id: ConnectionId::default(),
            held: Bytes::default(),
            leaving: Bytes::default(),
            leaving_connections: 0,
        }
    }

    /// Changes the limits. What is held already stays.
    pub fn set_limits(&mut self, limits: AccountLimits) {
        self.limits = limits;
    }

    /// The limits in force.
    pub fn limits(&self) -> AccountLimits {
        self.limits
    }

    /// Memory of all connections.
    pub fn held(&self) -> Bytes {
        self.held
    }

    /// Number of connections.
    pub fn connections(&self) -> u64 {
        self.holdings.len() as u64
    }

    /// Adds a connection that holds so much; returns its id and the connections that give way to it.
    pub fn open(
        &mut self,
        now_ms: Millis,
        bytes: Bytes,
    ) -> Result<(ConnectionId, Vec<ConnectionId>), Shortage> {
        let mut first = None;
        let staying = self.connections() - self.leaving_connections;
        if staying >= self.limits.max_connections {
            let is_full = self.leaving_connections >= MAX_LEAVING_CONNECTIONS;
            let found = self.first_to_leave(now_ms).filter(|_| !is_full);
            first = Some(found.ok_or(Shortage::Connections)?);
        }
        let id = self.next_id;
        self.next_id = ConnectionId(id.0 + 1);
        let phase = ConnectionPhase::Silent;
        let holding =
            Holding { bytes: Bytes::default(), phase, since_ms: now_ms, is_leaving: false };
        self.holdings.insert(id, holding);
        let Growth { is_granted, mut evicted } = match self.grow(now_ms, id, bytes) {
            Ok(growth) => growth,
            Err(shortage) => {
                self.close(id);
                return Err(shortage);
            }
        };
        if !is_granted {
            self.add(id, bytes);
        }
        // It may give way for its memory already.
        if let Some(first) = first.filter(|first| !evicted.contains(first)) {
            self.leave(first);
            evicted.push(first);
        }
        Ok((id, evicted))
    }

    /// Removes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        let Some(holding) = self.holdings.remove(&id) else {
            return;
        };
        self.held = Bytes(self.held.0 - holding.bytes.0);
        if holding.is_leaving {
            self.leaving = Bytes(self.leaving.0 - holding.bytes.0);
            self.leaving_connections -= 1;
        }
    }

    /// Records what a connection does from now on.
    pub fn set_phase(&mut self, now_ms: Millis, id: ConnectionId, phase: ConnectionPhase) {
        if let Some(holding) = self.holdings.get_mut(&id).filter(|holding| holding.phase != phase) {
            holding.phase = phase;
            holding.since_ms = now_ms;
        }
    }

    /// Records that a connection's request has arrived and is served from now on. Fails if the connection
    /// gives way already.
    pub fn start_serving(&mut self, now_ms: Millis, id: ConnectionId) -> Result<(), Shortage> {
        let staying = self.holdings.get(&id).filter(|holding| !holding.is_leaving);
        staying.ok_or(Shortage::Memory)?;
        self.set_phase(now_ms, id, ConnectionPhase::Serving);
        Ok(())
    }

    /// Has a connection hold more. Fails if it gives way already, or would be the next one. It has
    /// to ask again if connections give way to it whose memory isn't free yet.
    pub fn grow(
        &mut self,
        now_ms: Millis,
        id: ConnectionId,
        added: Bytes,
    ) -> Result<Growth, Shortage> {
        let staying = self.holdings.get(&id).filter(|holding| !holding.is_leaving);
        let holding = staying.ok_or(Shortage::Memory)?;
        let limit = self.limits.max_bytes_at(Bytes(holding.bytes.0 + added.0));
        let wanted = self.held.0 + added.0;
        let missing = Bytes(wanted.saturating_sub(limit.0 + self.leaving.0));
        let evicted = match missing {
            Bytes(0) => Vec::new(),
            missing => self.heaviest(now_ms, id, added, missing).ok_or(Shortage::Memory)?,
        };
        evicted.iter().for_each(|id| self.leave(*id));
        let is_granted = wanted <= limit.0 + limit.0 / LEAVING_DIVISOR;
        if is_granted {
            self.add(id, added);
        }
        Ok(Growth { is_granted, evicted })
    }

    /// Has a connection hold more, whether there is room or not.
    pub fn add(&mut self, id: ConnectionId, added: Bytes) {
        let Some(holding) = self.holdings.get_mut(&id) else {
            return;
        };
        holding.bytes = Bytes(holding.bytes.0 + added.0);
        self.held = Bytes(self.held.0 + added.0);
        if holding.is_leaving {
            self.leaving = Bytes(self.leaving.0 + added.0);
        }
    }

    /// Has a connection hold less.
    pub fn shrink(&mut self, id: ConnectionId, removed: Bytes) {
        let Some(holding) = self.holdings.get_mut(&id) else {
            return;
        };
        holding.bytes = Bytes(holding.bytes.0 - removed.0);
        self.held = Bytes(self.held.0 - removed.0);
        if holding.is_leaving {
            self.leaving = Bytes(self.leaving.0 - removed.0);
        }
    }

    fn leave(&mut self, id: ConnectionId) {
        let Some(holding) = self.holdings.get_mut(&id) else {
            return;
        };
        holding.is_leaving = true;
        self.leaving = Bytes(self.leaving.0 + holding.bytes.0);
        self.leaving_connections += 1;
    }

    /// The connections that give way so that `missing` bytes become free; `None` if the one that
    /// asks is among them, or all together hold less.
    fn heaviest(
        &self,
        now_ms: Millis,
        asking: ConnectionId,
        added: Bytes,
        missing: Bytes,
    ) -> Option<Vec<ConnectionId>> {
        let weight = |(id, holding): (&ConnectionId, &Holding)| {
            let added = if *id == asking { added } else { Bytes::default() };
            (holding.weight(now_ms, added), *id, holding.bytes)
        };
        let candidates = self.holdings.iter().filter(|(_, holding)| holding.gives_way());
        let mut by_weight: Vec<_> = candidates.map(weight).collect();
        by_weight.sort_unstable_by(|first, second| second.cmp(first));
        let min_freed = missing.max(Bytes(self.limits.max_bytes.0 / MIN_FREED_DIVISOR));
        let mut evicted = Vec::new();
        let mut freed = Bytes::default();
        for (_, id, bytes) in by_weight {
            if freed >= min_freed || id == asking {
                break;
            }
            evicted.push(id);
            freed = Bytes(freed.0 + bytes.0);
        }
        (freed >= missing).then_some(evicted)
    }

    /// The connection that gives way to a new one: one that serves no request, longest without one,
    /// before those that hold a part of one, longest first.
    fn first_to_leave(&self, now_ms: Millis) -> Option<ConnectionId> {
        let candidates = self.holdings.iter().filter(|(_, holding)| holding.gives_way());
        let order = |(id, holding): &(&ConnectionId, &Holding)| {
            (holding.idle_rank(now_ms).unwrap_or(u8::MAX), holding.since_ms, **id)
        };
        candidates.min_by_key(order).map(|(id, _)| *id)
    }
}
