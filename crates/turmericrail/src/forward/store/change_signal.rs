//! Lets tasks wait for the next change of something.

use std::sync::{Mutex, MutexGuard};

use async_channel::{Receiver, Sender};

/// Wakes the tasks that wait for a change.
#[derive(Default)]
pub struct ChangeSignal {
    waiting_tasks: Mutex<Vec<Sender<()>>>,
}

impl ChangeSignal {
    /// A receiver that gets a message at the next change.
    pub fn next_change(&self) -> Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut waiting = self.waiting_tasks();
        waiting.retain(|task| !task.is_closed());
        waiting.push(sender);
        receiver
    }

    /// Wakes the waiting tasks.
    pub fn notify(&self) {
        for task in self.waiting_tasks().drain(..) {
            let _ = task.try_send(());
        }
    }

    fn waiting_tasks(&self) -> MutexGuard<'_, Vec<Sender<()>>> {
        self.waiting_tasks.lock().unwrap_or_else(|_| std::process::abort())
    }
}
