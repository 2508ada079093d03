//! Plain calls to a fleet; each test file uses a part of the helpers.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::prelude::*;
use async_std::net::TcpStream;
use async_std::task;
use http_types::{Method, Request, Url};
use serde_json::{Value, json};
use turmericrail_fakes::ports::free_address;
use turmericrail_fakes::{Fleet, FleetPlan};
use turmericrail_wire::client::Call;

/// Timeout of every wait. Generous for slow machines, since these tests assert no durations.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A complete answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl Answer {
    /// String field of a JSON body; empty if absent.
    pub fn field(&self, name: &str) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body[name].as_str().unwrap_or_default().to_owned()
    }

    pub fn outcome(&self) -> String {
        if self.status == 200 { "completed".to_owned() } else { self.field("outcome") }
    }
}

pub async fn start_fleet(name: &str) -> Fleet {
    let plan = FleetPlan::small(env!("CARGO_BIN_EXE_turmericrail"), name);
    Fleet::start(plan).await.expect("loopback ports are free")
}

pub async fn request_ticket(address: SocketAddr) -> String {
    let answer: Value =
        Call::post(address, "/v1/tickets", &json!({}), WAIT_TIMEOUT).send_json().await.unwrap();
    answer["ticket"].as_str().unwrap().to_owned()
}

/// Sends a request, with a ticket unless `ticket` is empty; none if no complete answer comes.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    ticket: &str,
    body: &str,
) -> Option<Answer> {
    let url = Url::parse(&format!("http://{address}{path}")).unwrap();
    let mut request = Request::new(method, url);
    request.insert_header("connection", "close");
    if !ticket.is_empty() {
        request.insert_header("idempotency-key", ticket);
    }
    request.set_body(body);
    let calling = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let mut answer = async_h1::connect(stream, request).await.ok()?;
        let body = answer.body_string().await.ok()?;
        Some(Answer { status: answer.status() as u16, body })
    };
    async_std::future::timeout(WAIT_TIMEOUT, calling)
        .await
        .expect("the call ends before the timeout")
}

pub async fn book(address: SocketAddr, ticket: &str, member: &str) -> Answer {
    let answer = send(address, Method::Post, "/slots/7/bookings", ticket, member).await;
    answer.expect("the answer is complete")
}

pub async fn read_stock(address: SocketAddr) -> Answer {
    send(address, Method::Get, "/stock/b1", "", "").await.expect("the answer is complete")
}

/// Sends bytes, shuts down the write half if `is_half_closed`, and reads until the connection is
/// closed.
pub async fn send_raw(address: SocketAddr, bytes: &[u8], is_half_closed: bool) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(bytes).await;
    if is_half_closed {
        let _ = stream.shutdown(std::net::Shutdown::Write);
    }
    let mut answer = Vec::new();
    let reading = async_std::future::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut answer));
    let _ = reading.await.expect("the connection is closed");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Loopback address that refuses connections as long as the returned socket exists.
pub fn closed_port() -> (socket2::Socket, String) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let address = free_address().unwrap();
    socket.bind(&address.into()).unwrap();
    (socket, address.to_string())
}

/// Number of executions of a request body, over all plain services.
pub fn execution_count(fleet: &Fleet, body: &str) -> u64 {
    let services = fleet.plain.values();
    services.map(|plain| plain.state().executions.get(body).copied().unwrap_or_default()).sum()
}

pub async fn wait_for(what: &str, condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            task::sleep(POLL_INTERVAL).await;
        }
    };
    let result = async_std::future::timeout(WAIT_TIMEOUT, waiting).await;
    assert!(result.is_ok(), "timed out waiting for {what}");
}

/// Submits a configuration patch and waits until every instance has it in force.
pub async fn apply_config_patch(fleet: &Fleet, patch: Value) {
    let version = fleet.platform.accept(patch).0;
    for index in 0..fleet.instances.len() {
        let waiting = async {
            loop {
                let status = fleet.status(index).await.unwrap_or_default();
                if status["config_version"].as_u64() == Some(version) {
                    return;
                }
                task::sleep(POLL_INTERVAL).await;
            }
        };
        async_std::future::timeout(WAIT_TIMEOUT, waiting)
            .await
            .expect("the version comes into force");
    }
}
