//! Tells the task of a connection that it gives way.

use std::future;
use std::sync::{Mutex, MutexGuard};
use std::task::{Poll, Waker};

#[derive(Debug, Default)]
struct State {
    is_given: bool,
    waker: Option<Waker>,
}

/// A signal that is given once, to one task.
#[derive(Debug, Default)]
pub struct EvictionSignal {
    state: Mutex<State>,
}

impl EvictionSignal {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|_| std::process::abort())
    }

    /// Gives the signal.
    pub fn give(&self) {
        let mut state = self.state();
        state.is_given = true;
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }

    /// Whether the signal has been given.
    pub fn is_given(&self) -> bool {
        self.state().is_given
    }

    /// Returns once the signal has been given.
    pub async fn wait(&self) {
        future::poll_fn(|context| {
            let mut state = self.state();
            if state.is_given {
                return Poll::Ready(());
            }
            state.waker = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }
}
