//! A signal that is given once and that any number of tasks wait for.

use std::sync::Mutex;

use async_channel::{Receiver, Sender};

/// A signal that is given at most once.
pub struct OnceSignal {
    /// Dropped when the signal is given, which wakes the receivers.
    sender: Mutex<Option<Sender<()>>>,
    receiver: Receiver<()>,
}

impl Default for OnceSignal {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender: Mutex::new(Some(sender)), receiver }
    }
}

impl OnceSignal {
    /// Gives the signal.
    pub fn give(&self) {
        self.sender.lock().unwrap_or_else(|_| std::process::abort()).take();
    }

    /// Returns once the signal has been given.
    pub async fn wait(&self) {
        let _ = self.receiver.recv().await;
    }
}
