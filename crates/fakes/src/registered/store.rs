//! Fake key-value store with watches, which holds the configuration and the servers' entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use turmericrail_wire::http1::RequestHead;

use super::raw_server::Role;
use super::{RawAnswer, RawServer};

#[derive(Clone)]
struct Item {
    revision: u64,
    /// Absent once the item has been removed.
    value: Option<Vec<u8>>,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    oldest_revision: u64,
    era: u64,
    is_withholding_events: bool,
    is_closing_watches: bool,
    /// Time after which each answer is sent a second time, where it was set.
    copy_delay: Option<Duration>,
    calls: u64,
    last_watches: BTreeMap<String, Watch>,
}

/// A watch that the store received.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    /// Longest time without events that the client asked for.
    pub wait: Duration,
    /// Time of arrival.
    pub at: Instant,
}

/// What the store held at one moment.
pub struct StoreCopy {
    items: BTreeMap<String, Item>,
    revision: u64,
}

/// Fake store on a loopback port, with switches that withhold its events or end its watches.
pub struct FakeStore {
    state: Arc<(Mutex<State>, Condvar)>,
    server: RawServer,
}

impl FakeStore {
    /// Starts an empty store on a free loopback port.
    pub fn start() -> std::io::Result<Self> {
        let state = Arc::new((Mutex::new(State::default()), Condvar::new()));
        let serving = Arc::clone(&state);
        let server = RawServer::start_as(Role::Store, move |head, _| {
            let answer = answer(&serving, head);
            let copy_delay = serving.0.lock().expect("no holder of the lock panics").copy_delay;
            match (answer, copy_delay) {
                (RawAnswer::Bytes(bytes), Some(delay)) => {
                    RawAnswer::BytesThenBytes(bytes.clone(), delay, bytes)
                }
                (answer, _) => answer,
            }
        })?;
        Ok(Self { state, server })
    }

    /// Ends the store as a crashed process does: its port is closed and all connections break.
    pub fn crash(&self) {
        self.server.crash();
    }

    /// Listening address.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    fn update(&self, update: impl FnOnce(&mut State)) {
        update(&mut self.state.0.lock().expect("no holder of the lock panics"));
        self.state.1.notify_all();
    }

    /// Writes an item with a JSON value.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().as_bytes());
    }

    /// Writes the configuration.
    pub fn publish(&self, configuration: &Value) {
        self.put("op/config", configuration);
    }

    /// Writes an item with any bytes as its value, which may be invalid JSON.
    pub fn put_bytes(&self, key: &str, value: &[u8]) {
        self.update(|state| state.write(key, Some(value.to_vec())));
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.update(|state| state.write(key, None));
    }

    /// Stops sending events to watches, so that they fall behind before `drop_history`.
    pub fn withhold_events(&self) {
        self.update(|state| state.is_withholding_events = true);
    }

    /// Sends events again, and closes the open watches.
    pub fn resume_events(&self) {
        self.update(|state| state.is_withholding_events = false);
        self.close_watches();
    }

    /// Closes all open watches. Clients reconnect from the revision that they know, and get no
    /// events while these are withheld.
    pub fn close_watches(&self) {
        self.update(|state| state.is_closing_watches = true);
        std::thread::sleep(Duration::from_millis(100));
        self.update(|state| state.is_closing_watches = false);
    }

    /// Drops the history: closes all open watches and refuses those from older revisions.
    pub fn drop_history(&self) {
        self.update(|state| state.oldest_revision = state.revision);
        self.close_watches();
    }

    /// Sends each answer a second time after a delay.
    pub fn set_copy_delay(&self, delay: Duration) {
        self.update(|state| state.copy_delay = Some(delay));
    }

    /// A copy of the store as it is now.
    pub fn copy(&self) -> StoreCopy {
        let state = self.state.0.lock().expect("no holder of the lock panics");
        StoreCopy { items: state.items.clone(), revision: state.revision }
    }

    /// Goes back to a copy: later changes are lost, their revisions are given out again, and the
    /// era rises. Open watches stay open.
    pub fn restore(&self, copy: StoreCopy) {
        self.update(|state| {
            state.items = copy.items;
            state.revision = copy.revision;
            state.era += 1;
        });
    }

    /// The watch of a prefix that arrived last.
    pub fn last_watch(&self, prefix: &str) -> Option<Watch> {
        let state = self.state.0.lock().expect("no holder of the lock panics");
        state.last_watches.get(prefix).copied()
    }

    /// Number of requests received.
    pub fn calls(&self) -> u64 {
        self.state.0.lock().expect("no holder of the lock panics").calls
    }
}

impl State {
    fn write(&mut self, key: &str, value: Option<Vec<u8>>) {
        self.revision += 1;
        self.items.insert(key.to_owned(), Item { revision: self.revision, value });
    }

    fn items_changed_after(&self, prefix: &str, after: u64) -> Vec<Value> {
        let is_selected =
            |(key, item): &(&String, &Item)| key.starts_with(prefix) && item.revision > after;
        let to_json = |(key, item): (&String, &Item)| match &item.value {
            Some(value) => {
                json!({"key": key, "value": STANDARD.encode(value), "revision": item.revision})
            }
            None => json!({"key": key, "revision": item.revision, "deleted": true}),
        };
        self.items.iter().filter(is_selected).map(to_json).collect()
    }
}

fn answer(state: &(Mutex<State>, Condvar), head: &RequestHead) -> RawAnswer {
    let query = head.target.split_once('?').map_or("", |(_, query)| query);
    let param = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.clone().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
    };
    let number = |name: &str| param(name).and_then(|text| text.parse().ok()).unwrap_or(0);
    let prefix = param("pathPrefix").unwrap_or_default();
    let (lock, changed) = state;
    let mut state = lock.lock().expect("no holder of the lock panics");
    state.calls += 1;
    if head.path() == "/kv-range" {
        let items: Vec<_> = state
            .items_changed_after(&prefix, 0)
            .into_iter()
            .filter(|item| item["value"].is_string())
            .collect();
        let body = json!({"items": items, "truncated": false, "at": state.revision});
        return ok(state.era, &body);
    }
    let after: u64 = number("after");
    if after < state.oldest_revision || after > state.revision {
        return RawAnswer::Bytes(b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n".to_vec());
    }
    let watch = Watch { wait: Duration::from_millis(number("waitMs")), at: Instant::now() };
    state.last_watches.insert(prefix.clone(), watch);
    let end = watch.at + watch.wait;
    loop {
        if state.is_closing_watches {
            return RawAnswer::BytesThenClose(Vec::new());
        }
        let events = if state.is_withholding_events {
            Vec::new()
        } else {
            state.items_changed_after(&prefix, after)
        };
        let remaining = end.saturating_duration_since(Instant::now());
        if !events.is_empty() || remaining.is_zero() {
            return ok(state.era, &json!({"events": events, "at": state.revision}));
        }
        state = changed.wait_timeout(state, remaining).expect("no holder of the lock panics").0;
    }
}

fn ok(era: u64, body: &Value) -> RawAnswer {
    let body = body.to_string();
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\nStore-Era: {era}\r\nContent-Length: {length}\r\n\r\n");
    RawAnswer::Bytes((head + &body).into_bytes())
}
