//! A request's admission under its tenant's usage cap.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use async_channel::{Receiver, Sender};
use futures_lite::future;
use turmericrail_core::ids::TenantId;

use super::usage;
use crate::forward::callers::dispatch::Refusal;
use crate::forward::shared::Shared;

/// What is admitted, shared with the task that asks the coordinator. If the request was sent to no
/// server, its usage is given back once neither needs it any more.
pub struct UsageClaim {
    shared: Arc<Shared>,
    tenant: TenantId,
    units: f64,
    outcome: Mutex<Option<Result<(), Refusal>>>,
    /// Dropped when the outcome is known, which wakes the tasks that wait for it.
    decision_sender: Mutex<Option<Sender<()>>>,
    decided: Receiver<()>,
    /// Calls to servers that may run the request or its prefill.
    sends: AtomicU32,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|_| std::process::abort())
}

impl UsageClaim {
    /// A claim on units that is still to be decided.
    pub fn new(shared: &Arc<Shared>, tenant: &TenantId, units: f64) -> Arc<Self> {
        let (sender, decided) = async_channel::bounded(1);
        Arc::new(Self {
            shared: Arc::clone(shared),
            tenant: tenant.clone(),
            units,
            outcome: Mutex::new(None),
            decision_sender: Mutex::new(Some(sender)),
            decided,
            sends: AtomicU32::new(0),
        })
    }

    pub fn tenant(&self) -> &TenantId {
        &self.tenant
    }

    pub fn units(&self) -> f64 {
        self.units
    }

    /// Records the decision.
    pub fn decide(&self, outcome: Result<(), Refusal>) {
        *lock(&self.outcome) = Some(outcome);
        lock(&self.decision_sender).take();
    }

    /// Waits for the decision.
    pub async fn outcome(&self) -> Result<(), Refusal> {
        loop {
            if let Some(outcome) = *lock(&self.outcome) {
                return outcome;
            }
            let _ = self.decided.recv().await;
        }
    }
}

impl Drop for UsageClaim {
    fn drop(&mut self) {
        let is_granted = *lock(&self.outcome) == Some(Ok(()));
        if is_granted && self.sends.load(Ordering::Relaxed) == 0 {
            usage::give_back(&self.shared, &self.tenant, self.units);
        }
    }
}

/// The admission of a request; empty if its tenant has no cap.
#[derive(Default)]
pub struct UsageGrant(Option<Arc<UsageClaim>>);

impl UsageGrant {
    /// The admission by a claim that may still be undecided.
    pub fn new(claim: Arc<UsageClaim>) -> Self {
        Self(Some(claim))
    }

    /// Waits until the request is admitted. If it is refused this never returns: the request is
    /// ended by [`UsageGrant::refused`].
    pub async fn granted(&self) {
        let Some(claim) = &self.0 else {
            return;
        };
        if claim.outcome().await.is_err() {
            future::pending::<()>().await;
        }
    }

    /// Returns the refusal of a request that had gone on before it was decided; never returns if it
    /// is admitted.
    pub async fn refused(&self) -> Refusal {
        let Some(claim) = &self.0 else {
            return future::pending().await;
        };
        match claim.outcome().await {
            Ok(()) => future::pending().await,
            Err(refusal) => refusal,
        }
    }

    /// Records that a server is sent the request or its prefill, so that the usage counts.
    pub fn record_send(&self) {
        if let Some(claim) = &self.0 {
            claim.sends.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Takes back a send: the server wasn't reached, or states that it ran nothing.
    pub fn record_not_run(&self) {
        if let Some(claim) = &self.0 {
            claim.sends.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
