//! A caller's connection in the account.

use std::sync::Arc;

use turmericrail_core::caller_account::{ConnectionPhase, Shortage};
use turmericrail_core::ids::ConnectionId;
use turmericrail_core::units::Bytes;

use super::eviction_signal::EvictionSignal;
use super::{HeldBytes, SharedAccount};

/// A caller's connection in the account, which it leaves when it is dropped.
pub struct HeldConnection {
    account: Arc<SharedAccount>,
    id: ConnectionId,
    signal: Arc<EvictionSignal>,
}

impl HeldConnection {
    pub(super) fn new(
        account: Arc<SharedAccount>,
        id: ConnectionId,
        signal: Arc<EvictionSignal>,
    ) -> Self {
        Self { account, id, signal }
    }

    /// Records what the connection does from now on.
    pub fn set_phase(&self, phase: ConnectionPhase) {
        self.account.set_phase(self.id, phase);
    }

    /// Records that a request has arrived and is served from now on; fails if the connection gives way.
    pub fn start_serving(&self) -> Result<(), Shortage> {
        self.account.start_serving(self.id)
    }

    /// Whether the connection gives way.
    pub fn is_evicted(&self) -> bool {
        self.signal.is_given()
    }

    /// Returns once the connection gives way.
    pub async fn evicted(&self) {
        self.signal.wait().await;
    }

    /// A part of what the connection holds, empty at first.
    pub fn hold(self: &Arc<Self>) -> HeldBytes {
        HeldBytes::new(Arc::clone(self))
    }

    pub(super) fn grow(&self, added: Bytes) -> Result<(), Shortage> {
        self.account.grow(self.id, added)
    }

    pub(super) fn add(&self, added: Bytes) {
        self.account.add(self.id, added);
    }

    pub(super) fn shrink(&self, removed: Bytes) {
        self.account.shrink(self.id, removed);
    }
}

impl Drop for HeldConnection {
    fn drop(&mut self) {
        self.account.close(self.id);
    }
}
