//! An HTTP client for idempotent calls, which keeps one idle connection for each address.
//!
//! A kept connection may have been closed or have gone silent without an error. A call that fails
//! on it is retried on a new connection. A call that has no answer after a part of its timeout is
//! also sent on a new connection, while the kept one is still read, since the receiver may only be
//! slow; the first answer is used and the other connection is closed. A call may therefore run
//! twice, so all calls must be idempotent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use futures_lite::FutureExt;
use http_types::Response;
use serde::de::DeserializeOwned;

use crate::client::{Call, CallError};

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// A call that has no answer on a kept connection after its timeout divided by this is also sent on
/// a new one.
const KEPT_TIMEOUT_DIVISOR: u32 = 3;

struct IdleConnection {
    stream: TcpStream,
    idle_since: Instant,
}

/// Sends idempotent calls and keeps connections that no call uses at the moment.
#[derive(Default)]
pub struct IdempotentClient {
    idle: Mutex<BTreeMap<SocketAddr, IdleConnection>>,
}

impl IdempotentClient {
    /// Sends an idempotent call and decodes a JSON answer.
    pub async fn send_json<T: DeserializeOwned>(&self, call: Call) -> Result<T, CallError> {
        let Some(stream) = self.take_idle(call.address) else {
            return self.send_on_new_connection(call).await?.json();
        };
        let mut kept = Box::pin(self.send_on(call.clone(), stream));
        match async_std::future::timeout(call.timeout / KEPT_TIMEOUT_DIVISOR, &mut kept).await {
            Ok(Ok(answer)) => answer.json(),
            Ok(Err(_)) => self.send_on_new_connection(call).await?.json(),
            Err(_) => {
                let retried = self.send_on_new_connection(with_remaining_timeout(call));
                wait_for_answer(kept).or(retried).await?.json()
            }
        }
    }

    async fn send_on_new_connection(&self, call: Call) -> Result<Answer, CallError> {
        let stream = call.connect().await?;
        self.send_on(call, stream).await
    }

    async fn send_on(&self, call: Call, stream: TcpStream) -> Result<Answer, CallError> {
        let address = call.address;
        let timeout = call.timeout;
        let sending = call.send_whole(stream.clone(), "keep-alive");
        let result = async_std::future::timeout(timeout, sending).await;
        let timed_out = |_| CallError::Lost {
            address,
            reason: "no complete answer within the timeout".to_owned(),
        };
        let answer = result.map_err(timed_out)??;
        if answer.is_reusable {
            self.store_idle(address, stream);
        }
        Ok(Answer { address, head: answer.response, body: answer.body })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<TcpStream> {
        let kept = self.lock_idle().remove(&address)?;
        (kept.idle_since.elapsed() < IDLE_TIMEOUT).then_some(kept.stream)
    }

    fn store_idle(&self, address: SocketAddr, stream: TcpStream) {
        let idle_since = Instant::now();
        let mut idle = self.lock_idle();
        idle.retain(|_, kept| idle_since - kept.idle_since < IDLE_TIMEOUT);
        idle.insert(address, IdleConnection { stream, idle_since });
    }

    fn lock_idle(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, IdleConnection>> {
        self.idle.lock().unwrap_or_else(|_| std::process::abort())
    }
}

/// The call with the timeout that remains after a kept connection has not answered in time.
fn with_remaining_timeout(call: Call) -> Call {
    Call { timeout: call.timeout - call.timeout / KEPT_TIMEOUT_DIVISOR, ..call }
}

/// Waits for an answer; never returns an error, so that a failure does not end the other attempt.
async fn wait_for_answer(
    sending: impl Future<Output = Result<Answer, CallError>>,
) -> Result<Answer, CallError> {
    match sending.await {
        Ok(answer) => Ok(answer),
        Err(_) => std::future::pending().await,
    }
}

struct Answer {
    address: SocketAddr,
    head: Response,
    body: Vec<u8>,
}

impl Answer {
    fn json<T: DeserializeOwned>(self) -> Result<T, CallError> {
        crate::client::decode_json(self.address, &self.head, &self.body)
    }
}
