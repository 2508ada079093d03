//! What the tests of plain calls share; each test file uses a part of it.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::prelude::*;
use async_std::net::TcpStream;
use async_std::task;
use http_types::{Method, Request, Url};
use serde_json::{Value, json};
use turmericrail_fakes::{Fleet, FleetPlan};
use turmericrail_wire::client::Call;

/// Longest wait for an answer in tests; no test asserts a time.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// Time between looks at a condition.
const STEP: Duration = Duration::from_millis(25);

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl Answer {
    /// The named field of a JSON body.
    pub fn field(&self, name: &str) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body[name].as_str().unwrap_or_default().to_owned()
    }

    pub fn outcome(&self) -> String {
        if self.status == 200 { "completed".to_owned() } else { self.field("outcome") }
    }
}

/// Starts a small fleet of the daemon under test.
pub async fn start_fleet(name: &str) -> Fleet {
    let plan = FleetPlan::small(env!("CARGO_BIN_EXE_turmericrail"), name);
    Fleet::start(plan).await.expect("loopback ports are free")
}

pub async fn take_ticket(address: SocketAddr) -> String {
    let issued: Value =
        Call::post(address, "/v1/tickets", &json!({}), PATIENCE).send_json().await.unwrap();
    issued["ticket"].as_str().unwrap().to_owned()
}

/// Sends one request, with a ticket where there is one.
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
    async_std::future::timeout(PATIENCE, calling).await.expect("a final answer within the limit")
}

/// Books a slot.
pub async fn book(address: SocketAddr, ticket: &str, member: &str) -> Answer {
    let answer = send(address, Method::Post, "/slots/7/bookings", ticket, member).await;
    answer.expect("a whole answer")
}

/// Reads the stock.
pub async fn read_stock(address: SocketAddr) -> Answer {
    send(address, Method::Get, "/stock/b1", "", "").await.expect("a whole answer")
}

/// Sends bytes, closes the sending half where asked, and reads until the connection
/// is closed.
pub async fn send_raw(address: SocketAddr, bytes: &[u8], is_half_closed: bool) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(bytes).await;
    if is_half_closed {
        let _ = stream.shutdown(std::net::Shutdown::Write);
    }
    let mut answer = Vec::new();
    let reading = async_std::future::timeout(PATIENCE, stream.read_to_end(&mut answer));
    let _ = reading.await.expect("the connection is closed");
    String::from_utf8_lossy(&answer).into_owned()
}

/// A loopback port that refuses connections while the socket is kept.
pub fn closed_port() -> (socket2::Socket, String) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any.into()).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    (socket, address.to_string())
}

/// Executions of a body at all plain services.
pub fn executions(fleet: &Fleet, body: &str) -> u64 {
    let services = fleet.plain.values();
    services.map(|plain| plain.state().executions.get(body).copied().unwrap_or_default()).sum()
}

/// Waits until a condition holds.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            task::sleep(STEP).await;
        }
    };
    let result = async_std::future::timeout(PATIENCE, waiting).await;
    assert!(result.is_ok(), "waited in vain for: {what}");
}

/// Accepts a configuration patch and waits until it is in force everywhere.
pub async fn change_config(fleet: &Fleet, patch: Value) {
    let version = fleet.platform.accept(patch).0;
    for index in 0..fleet.instances.len() {
        let waiting = async {
            loop {
                let status = fleet.status(index).await.unwrap_or_default();
                if status["config_version"].as_u64() == Some(version) {
                    return;
                }
                task::sleep(STEP).await;
            }
        };
        async_std::future::timeout(PATIENCE, waiting).await.expect("the version is in force");
    }
}
