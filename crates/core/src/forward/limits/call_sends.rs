//! What one call has sent to servers, as the bound on retries counts it.
//!
//! Every request that reaches a server counts, whether the server runs or refuses it. The first one
//! of a call is free, and so is the first prefill that an engine completes; each further one needs
//! a retry of the bound before it is sent.

/// Permission to send one request of a call to a server; sending uses it up.
#[derive(Debug)]
#[must_use]
pub struct SendPermit(());

/// The requests of one call that were sent, and the retries granted for them.
#[derive(Debug, Default)]
pub struct CallSends {
    counted_sends: u32,
    granted_retries: u32,
    has_done_prefill: bool,
    is_denied: bool,
}

impl CallSends {
    /// Whether the next send needs another retry of the bound.
    pub fn needs_retry(&self) -> bool {
        self.counted_sends > self.granted_retries
    }

    /// Whether a server may have been sent something that counts.
    pub fn has_sent(&self) -> bool {
        self.counted_sends > 0
    }

    /// Number of requests that servers may have been sent.
    pub fn count(&self) -> u32 {
        self.counted_sends
    }

    /// Counts a send, which must be free or have a retry granted for it.
    pub(in crate::forward) fn record_send(&mut self) -> SendPermit {
        self.counted_sends += 1;
        SendPermit(())
    }

    /// Counts a retry that the bound granted.
    pub(in crate::forward) fn record_granted_retry(&mut self) {
        self.granted_retries += 1;
    }

    /// Records that the bound denied a retry; returns whether it is the first one of the call.
    pub fn record_denied_retry(&mut self) -> bool {
        !std::mem::replace(&mut self.is_denied, true)
    }

    /// Takes back the latest send: no server was reached.
    pub fn record_not_sent(&mut self) {
        self.counted_sends = self.counted_sends.saturating_sub(1);
    }

    /// Records that the latest send was a prefill that its engine completed.
    pub fn record_done_prefill(&mut self) {
        if !std::mem::replace(&mut self.has_done_prefill, true) {
            self.record_not_sent();
        }
    }
}
