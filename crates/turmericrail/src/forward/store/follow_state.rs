//! Whether this instance follows another one instead of watching the store itself.

use std::sync::atomic::{AtomicBool, Ordering};

use super::change_signal::ChangeSignal;

/// Whether this instance follows another one; tasks can wait for a change.
#[derive(Default)]
pub struct FollowState {
    is_following: AtomicBool,
    change: ChangeSignal,
}

impl FollowState {
    /// Whether this instance follows another one.
    pub fn is_following(&self) -> bool {
        self.is_following.load(Ordering::SeqCst)
    }

    /// Sets whether this instance follows another one.
    pub fn set_following(&self, is_following: bool) {
        if self.is_following.swap(is_following, Ordering::SeqCst) == is_following {
            return;
        }
        spdlog::info!("event=store_follow is_following={is_following}");
        self.change.notify();
    }

    /// Returns once this instance follows another one, or no longer does.
    pub async fn wait_until(&self, is_following: bool) {
        loop {
            let change = self.change.next_change();
            if self.is_following() == is_following {
                return;
            }
            let _ = change.recv().await;
        }
    }
}
