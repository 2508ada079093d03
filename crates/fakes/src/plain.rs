//! Fake plain service that counts the executions of each call.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_std::task;
use tide::{Body, Request, Response, Server};
use turmericrail_wire::body::channel_body;

use crate::serve::serve;

/// State of a plain service, with the switches that tests set.
#[derive(Debug, Default)]
pub struct PlainState {
    /// Number of executions by request body.
    pub executions: BTreeMap<String, u64>,
    /// Execution time of a call.
    pub delay_ms: u64,
    /// Whether calls are executed but never answered.
    pub is_silent: bool,
    /// Whether calls are executed and the connection is closed in the middle of the answer.
    pub is_answer_cut: bool,
    /// Number of spaces appended to each answer.
    pub padding_bytes: usize,
}

/// Fake plain service; it answers every call unless a switch of its state is set.
#[derive(Clone, Debug)]
pub struct FakePlain {
    /// Listening address.
    pub address: SocketAddr,
    state: Arc<Mutex<PlainState>>,
}

impl FakePlain {
    /// Starts the service on a free loopback port.
    pub async fn start() -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(PlainState::default()));
        let mut app = Server::with_state(Arc::clone(&state));
        app.at("/*").all(execute);
        let address = serve(app).await?;
        Ok(Self { address, state })
    }

    /// Locks the state, which includes the switches that tests set.
    pub fn state(&self) -> MutexGuard<'_, PlainState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

async fn execute(mut request: Request<Arc<Mutex<PlainState>>>) -> tide::Result {
    let body = request.body_string().await?;
    let (count, delay_ms, is_silent, is_answer_cut, padding_bytes) = {
        let mut state = request.state().lock().expect("no holder of the lock panics");
        let count = state.executions.entry(body.clone()).or_default();
        *count += 1;
        (*count, state.delay_ms, state.is_silent, state.is_answer_cut, state.padding_bytes)
    };
    task::sleep(Duration::from_millis(delay_ms)).await;
    if is_silent {
        task::sleep(Duration::from_secs(3600)).await;
    }
    if is_answer_cut {
        return Ok(Response::builder(200).body(truncated_body()).build());
    }
    let answer = format!("{} {} execution={count}", request.method(), request.url().path());
    let answer = answer + &" ".repeat(padding_bytes);
    Ok(Response::builder(200).body(answer).build())
}

/// A body that fails after its first piece.
fn truncated_body() -> Body {
    let (sender, receiver) = async_channel::bounded(2);
    let pieces = [Ok(b"GET".to_vec()), Err(std::io::Error::other("cut"))];
    for piece in pieces {
        sender.try_send(piece).expect("the channel holds both pieces");
    }
    channel_body(receiver)
}
