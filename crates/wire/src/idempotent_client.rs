//! Connections kept open for calls that may be repeated, one for each receiver.
//!
//! A kept connection can be closed or silent without an error. A call that fails on it is repeated
//! on a fresh one. A call that has no answer in its share of its timeout is repeated too, while the
//! kept connection may still answer, as the receiver may just be slow; the first answer counts and
//! the other connection is closed. Only idempotent calls belong here.

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
const IDLE_LIMIT: Duration = Duration::from_secs(5);
/// Part of a call's timeout that a kept connection has for its answer.
const KEPT_SHARE: u32 = 3;

struct Kept {
    stream: TcpStream,
    used: Instant,
}

/// Open connections that no call uses at the moment.
#[derive(Default)]
pub struct IdempotentClient {
    idle: Mutex<BTreeMap<SocketAddr, Kept>>,
}

impl IdempotentClient {
    /// Writes an idempotent call and decodes a JSON answer.
    pub async fn send_json<T: DeserializeOwned>(&self, call: Call) -> Result<T, CallError> {
        let Some(stream) = self.take(call.address) else {
            return self.send_fresh(call).await?.json();
        };
        let mut kept = Box::pin(self.send_on(call.clone(), stream));
        match async_std::future::timeout(call.timeout / KEPT_SHARE, &mut kept).await {
            Ok(Ok(answer)) => answer.json(),
            Ok(Err(_)) => self.send_fresh(call).await?.json(),
            Err(_) => {
                let fresh = self.send_fresh(after_share(call));
                answered(kept).or(fresh).await?.json()
            }
        }
    }

    async fn send_fresh(&self, call: Call) -> Result<Answer, CallError> {
        let stream = call.connect().await?;
        self.send_on(call, stream).await
    }

    async fn send_on(&self, call: Call, stream: TcpStream) -> Result<Answer, CallError> {
        let address = call.address;
        let timeout = call.timeout;
        let sending = call.send_keeping(stream.clone());
        let result = async_std::future::timeout(timeout, sending).await;
        let late = |_| CallError::Lost { address, reason: "no whole answer in time".to_owned() };
        let (head, body) = result.map_err(late)??;
        if !is_closing(&head) {
            self.put(address, stream);
        }
        Ok(Answer { address, head, body })
    }

    fn take(&self, address: SocketAddr) -> Option<TcpStream> {
        let kept = self.idle().remove(&address)?;
        (kept.used.elapsed() < IDLE_LIMIT).then_some(kept.stream)
    }

    fn put(&self, address: SocketAddr, stream: TcpStream) {
        let used = Instant::now();
        let mut idle = self.idle();
        idle.retain(|_, kept| used - kept.used < IDLE_LIMIT);
        idle.insert(address, Kept { stream, used });
    }

    fn idle(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Kept>> {
        self.idle.lock().unwrap_or_else(|_| std::process::abort())
    }
}

/// The call with the time that is left once a kept connection did not answer in its share.
fn after_share(call: Call) -> Call {
    Call { timeout: call.timeout - call.timeout / KEPT_SHARE, ..call }
}

/// Ends only with an answer, so that another try is not cut short by a failure of this one.
async fn answered(
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

/// Whether the receiver closes the connection after its answer.
fn is_closing(head: &Response) -> bool {
    let values = head.header("connection");
    values.is_some_and(|values| values.last().as_str().eq_ignore_ascii_case("close"))
}
