//! Whether this instance follows another one instead of watching the store itself.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use async_channel::Sender;

/// Whether this instance follows another one; tasks can wait for a change.
#[derive(Default)]
pub struct FollowState {
    is_following: AtomicBool,
    waiting_tasks: Mutex<Vec<Sender<()>>>,
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
        let mut waiting = self.waiting_tasks.lock().unwrap_or_else(|_| std::process::abort());
        for task in waiting.drain(..) {
            let _ = task.try_send(());
        }
    }

    /// Returns once this instance follows another one, or no longer does.
    pub async fn wait_until(&self, is_following: bool) {
        loop {
            let (sender, receiver) = async_channel::bounded(1);
            self.waiting_tasks.lock().unwrap_or_else(|_| std::process::abort()).push(sender);
            if self.is_following() == is_following {
                return;
            }
            let _ = receiver.recv().await;
        }
    }
}
