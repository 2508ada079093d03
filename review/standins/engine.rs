//! A model runner by PROTOCOL.md: prefill or decode stage, reservations, handles, reports, orders.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::kit::*;

/// Prompt tokens that are read in a millisecond, as in the sheet.
const TOKENS_PER_MS: f64 = 55.5556;
const KV_TOTAL: u64 = 65_384;

pub struct State {
    pub id: String,
    pub record: Arc<Record>,
    pub stage: Mutex<String>,
    /// Factor of the time of prefills, in tenths.
    pub slowness: AtomicU64,
    /// Held while a prompt is read: one after the other.
    reading: Mutex<()>,
    waiting: AtomicU64,
    pub running: AtomicU64,
    holds: Mutex<BTreeMap<String, Instant>>,
    pub kv_used: AtomicU64,
    /// Accepted orders.
    pub sequence: AtomicU64,
    pub busy: AtomicBool,
    pub left_at: Mutex<Option<Instant>>,
    /// Requests that came later than the bound after the acknowledgement, and after the start.
    pub late: Mutex<Vec<String>>,
    /// Holder, epoch number and time of each order that came.
    pub orders: Mutex<Vec<(String, u64, f64)>>,
    pub gap_ms: u64,
    pub events: u64,
}

impl State {
    pub fn new(id: &str, stage: &str, record: &Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            record: Arc::clone(record),
            stage: Mutex::new(stage.to_owned()),
            slowness: AtomicU64::new(10),
            reading: Mutex::default(),
            waiting: AtomicU64::new(0),
            running: AtomicU64::new(0),
            holds: Mutex::default(),
            kv_used: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            busy: AtomicBool::new(false),
            left_at: Mutex::default(),
            late: Mutex::default(),
            orders: Mutex::default(),
            gap_ms: 45,
            events: 67,
        })
    }

    /// When the last place was given that is still held for a request.
    pub fn last_hold(&self) -> Option<Instant> {
        lock(&self.holds).values().max().copied()
    }

    pub fn load(&self) -> String {
        let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
        format!("{},{},64", count(&self.running), count(&self.waiting))
    }

    /// Reads a prompt after those that came before; gives up once the channel has been closed.
    fn read_prompt(&self, tokens: f64, factor: f64, stream: &TcpStream) -> bool {
        self.waiting.fetch_add(1, Ordering::SeqCst);
        let reading = lock(&self.reading);
        let mut left_ms = tokens / TOKENS_PER_MS * factor;
        while left_ms > 0.0 && !is_closed(stream) {
            let slowness = self.slowness.load(Ordering::SeqCst) as f64 / 10.0;
            thread::sleep(millis(10));
            left_ms -= 10.0 / slowness;
        }
        drop(reading);
        self.waiting.fetch_sub(1, Ordering::SeqCst);
        left_ms <= 0.0
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(read) => read == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// The entry in the store.
pub fn entry(
    service: &str,
    address: &str,
    zone: &str,
    stage: &str,
    state: &str,
    born: u64,
) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":64,
        "state":"{state}","coldRemainingMs":0,"stage":"{stage}",
        "models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":1,"born":{born}}}"#
    )
}

pub fn start(state: &Arc<State>, drain_ms: u64) -> Server {
    let serving = Arc::clone(state);
    Server::start(move |request, stream| serve(&serving, drain_ms, request, stream))
}

pub fn start_at(state: &Arc<State>, drain_ms: u64, address: &str) -> Server {
    let serving = Arc::clone(state);
    Server::start_at(address, move |request, stream| serve(&serving, drain_ms, request, stream))
}

fn json(stream: &mut TcpStream, status: &str, body: &str) -> After {
    let headers = [("Content-Type", "application/json")];
    if answer(stream, status, &headers, body.as_bytes()) { After::Keep } else { After::Close }
}

fn serve(state: &Arc<State>, drain_ms: u64, request: &Request, stream: &mut TcpStream) -> After {
    if request.header("x-expect-instance").is_some_and(|expected| expected != state.id) {
        let headers = [("X-Instance-Id", state.id.as_str())];
        answer(stream, "421 Misdirected Request", &headers, b"");
        return After::Keep;
    }
    match (request.method.as_str(), request.path()) {
        ("POST", "/hold-take") => {
            let id = format!("h{}", new_id());
            lock(&state.holds).insert(id.clone(), Instant::now());
            return json(stream, "200 OK", &format!(r#"{{"hold":"{id}"}}"#));
        }
        ("DELETE", path) => {
            lock(&state.holds).remove(path.rsplit('/').next().unwrap_or_default());
            return json(stream, "200 OK", "{}");
        }
        ("GET", "/report") => {
            let count = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
            let body = format!(
                r#"{{"stage":"{}","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":{},
                "sequence":{},"waiting":{},"running":{},"kvUsed":{},"kvTotal":{KV_TOTAL},"kvHandles":0}}"#,
                lock(&state.stage),
                state.busy.load(Ordering::SeqCst),
                count(&state.sequence),
                count(&state.waiting),
                count(&state.running),
                count(&state.kv_used)
            );
            return json(stream, "200 OK", &body);
        }
        ("POST", "/order") => return take_order(state, request, stream),
        _ => {}
    }
    let id = request.header("x-request-id").unwrap_or_default().to_owned();
    let is_prefill = request.header("x-serving-stage") == Some("prefill");
    let what = if is_prefill { "to read its prompt" } else { "to run" };
    state.record.line(format!("request {id} reaches runner {} {what}", state.id));
    if let Some(left_at) = *lock(&state.left_at) {
        let late_ms = left_at.elapsed().as_millis() as u64;
        if late_ms > drain_ms {
            state.record.line(format!(
                "LATE: request {id} reaches runner {} {late_ms} ms after the store acknowledged that it \
                 is draining (bound {drain_ms} ms)",
                state.id
            ));
            lock(&state.late).push(id.clone());
        }
    }
    let tokens = request.header("x-token-usage").and_then(|usage| usage.split(',').next());
    let tokens: f64 = tokens.and_then(|text| text.parse().ok()).unwrap_or(0.0);
    let (signature, load) = (signature(&id), state.load());
    let common = [("X-Request-Id", id.as_str()), ("X-Instance-Load", load.as_str())];
    if is_prefill {
        if !state.read_prompt(tokens, 1.0, stream) {
            return After::Close;
        }
        state.record.line(format!("runner {} has read the prompt of {id}", state.id));
        let body = format!(r#"{{"kvHandle":"k{id}","tokens":{tokens},"version":1}}"#);
        answer(stream, "200 OK", &common, body.as_bytes());
        return After::Keep;
    }
    if let Some(hold) = request.header("x-kv-hold") {
        lock(&state.holds).remove(hold);
    }
    if request.header("x-kv-source").is_none() {
        // At half the speed, in the stage that generates.
        if !state.read_prompt(tokens, 2.0, stream) {
            return After::Close;
        }
    }
    state.running.fetch_add(1, Ordering::SeqCst);
    let is_whole = stream_events(state, &id, &signature, &load, stream);
    state.running.fetch_sub(1, Ordering::SeqCst);
    state.record.line(format!("runner {} ends its run of {id}, whole: {is_whole}", state.id));
    if is_whole { After::Keep } else { After::Close }
}

fn stream_events(
    state: &State,
    id: &str,
    signature: &str,
    load: &str,
    stream: &mut TcpStream,
) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         X-Request-Id: {id}\r\nX-Response-Signature: {signature}\r\nX-Instance-Load: {load}\r\n\
         X-Weight-Versions: 1\r\n\r\n"
    );
    thread::sleep(millis(90));
    let mut is_whole = stream.write_all(head.as_bytes()).is_ok();
    for number in 1..=state.events {
        thread::sleep(millis(state.gap_ms));
        let event = format!("id: {number}\ndata: {}\n\n", "w".repeat(65));
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        is_whole = is_whole && stream.write_all(chunk.as_bytes()).is_ok();
        if !is_whole {
            return false;
        }
    }
    is_whole && stream.write_all(b"0\r\n\r\n").is_ok()
}

fn field(body: &str, name: &str) -> String {
    let rest = body.split_once(&format!("\"{name}\":")).map(|(_, rest)| rest).unwrap_or_default();
    rest.trim_start_matches('"').split(['"', ',', '}']).next().unwrap_or_default().to_owned()
}

/// Fences are checked, and the expected number of orders, as with `enforceFencing`.
fn take_order(state: &Arc<State>, request: &Request, stream: &mut TcpStream) -> After {
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let holder = field(&body, "holder");
    let fence: u64 = field(&body, "fence").parse().unwrap_or(0);
    let sequence = state.sequence.load(Ordering::SeqCst);
    let expected = field(&body, "expect").parse().unwrap_or(sequence);
    let highest = lock(&state.orders).iter().map(|(_, fence, _)| *fence).max().unwrap_or(0);
    let status = match () {
        _ if fence < highest => "412 Precondition Failed",
        _ if state.busy.load(Ordering::SeqCst) || expected != sequence => "409 Conflict",
        _ => "202 Accepted",
    };
    state.record.line(format!(
        "order to runner {} from holder {holder}, fence {fence}: {status}; {body}",
        state.id
    ));
    lock(&state.orders).push((holder, fence, state.record.now()));
    if status.starts_with("202") {
        state.sequence.fetch_add(1, Ordering::SeqCst);
        state.busy.store(true, Ordering::SeqCst);
    }
    json(stream, status, "{}")
}
