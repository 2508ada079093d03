//! Callers of both kinds of work that go on while a test breaks things.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_std::task;
use http_types::Method;
use serde_json::{Value, json};
use turmericrail_fakes::{AnswerEvent, Fleet, FleetPlan, StreamCaller, text};
use turmericrail_wire::client::Call;

/// Longest wait for something that must come; no test asserts a time.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// Tokens of each answer.
const ANSWER_TOKENS: u64 = 60;
/// Callers of each kind of work.
const CALLERS: usize = 4;
/// Pause of a caller that was turned away.
const PAUSE: Duration = Duration::from_millis(50);

/// Time for which every second caller keeps a ticket before it books.
const TICKET_KEPT: Duration = Duration::from_millis(1_000);

/// What the callers saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Whole answers.
    pub whole: usize,
    /// Answers that were cut off, wrong or ended with an error.
    pub broken: Vec<String>,
    /// Answers to requests that got no stream.
    pub refused: Vec<String>,
    /// Bookings with the outcome told.
    pub bookings: Vec<(String, String)>,
}

/// Callers that go on until they are told to end.
pub struct Load {
    is_over: Arc<AtomicBool>,
    callers: Vec<task::JoinHandle<Seen>>,
}

impl Load {
    /// Starts callers of a model that go round the instances, each asked in turn.
    pub fn start(addresses: &[SocketAddr]) -> Self {
        let mut load = Self { is_over: Arc::default(), callers: Vec::new() };
        for number in 0..CALLERS {
            let (addresses, is_over) = (addresses.to_vec(), Arc::clone(&load.is_over));
            load.callers.push(task::spawn(ask(addresses, number, is_over)));
        }
        load
    }

    /// Adds callers that book.
    pub fn with_bookings(mut self, addresses: &[SocketAddr]) -> Self {
        for number in 0..CALLERS {
            let (addresses, is_over) = (addresses.to_vec(), Arc::clone(&self.is_over));
            self.callers.push(task::spawn(book(addresses, number, is_over)));
        }
        self
    }

    /// Ends the callers and sums up what they saw.
    pub async fn end(self) -> Seen {
        self.is_over.store(true, Ordering::SeqCst);
        let mut seen = Seen::default();
        for caller in self.callers {
            let part = caller.await;
            seen.whole += part.whole;
            seen.broken.extend(part.broken);
            seen.refused.extend(part.refused);
            seen.bookings.extend(part.bookings);
        }
        seen
    }
}

impl Seen {
    /// Asserts that each answer was whole and no request was turned away.
    pub fn check_all_whole(&self) {
        assert!(self.whole > 0);
        let none: &[String] = &[];
        assert_eq!((&self.broken[..], &self.refused[..]), (none, none), "{} whole", self.whole);
    }

    /// Asserts that no booking ran twice and that each outcome told is true; returns those
    /// completed.
    pub fn check_bookings(&self, fleet: &Fleet) -> usize {
        let mut completed = 0;
        for (member, outcome) in &self.bookings {
            let services = fleet.plain.values();
            let executions: u64 = services
                .map(|plain| plain.state().executions.get(member).copied().unwrap_or_default())
                .sum();
            match outcome.as_str() {
                "completed" => assert_eq!(executions, 1, "{member} {outcome}"),
                "not_run" => assert_eq!(executions, 0, "{member} {outcome}"),
                _ => assert!(executions <= 1, "{member} {outcome}: {executions} executions"),
            }
            completed += usize::from(outcome == "completed");
        }
        completed
    }
}

/// Layout of a small fleet of the daemon under test, with links everywhere.
pub fn linked_plan(name: &str) -> FleetPlan {
    let plan = FleetPlan::small(env!("CARGO_BIN_EXE_turmericrail"), name);
    FleetPlan { has_proxies: true, ..plan }
}

/// Waits until instances have a version of the configuration in force.
pub async fn wait_version(fleet: &Fleet, indices: impl IntoIterator<Item = usize>, version: u64) {
    for index in indices {
        let waiting = async {
            while version_of(fleet, index).await != version {
                task::sleep(PAUSE).await;
            }
        };
        let waited = async_std::future::timeout(PATIENCE, waiting).await;
        assert!(waited.is_ok(), "instance {index}: {:?}", fleet.status(index).await);
    }
}

/// The version in force on an instance.
pub async fn version_of(fleet: &Fleet, index: usize) -> u64 {
    let status = fleet.status(index).await.unwrap_or_default();
    status["config_version"].as_u64().unwrap_or_default()
}

/// The caller edge of each instance.
pub fn caller_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.instances.iter().map(|instance| instance.caller_address).collect()
}

async fn ask(addresses: Vec<SocketAddr>, number: usize, is_over: Arc<AtomicBool>) -> Seen {
    let prompt = format!("load {number}");
    let body = json!({
        "model": "quote", "prompt": prompt, "max_tokens": ANSWER_TOKENS, "stream": true,
        "workspace": "w1", "caller_kind": "printer",
    });
    let mut seen = Seen::default();
    let mut turn = number;
    while !is_over.load(Ordering::SeqCst) {
        turn += 1;
        let address = addresses[turn % addresses.len()];
        let mut caller = match StreamCaller::try_open(address, &body).await {
            Ok(caller) => caller,
            Err(answer) => {
                seen.refused.push(answer);
                task::sleep(PAUSE).await;
                continue;
            }
        };
        let end = caller.read_all().await;
        let is_right = caller.text() == text::answer(&prompt, ANSWER_TOKENS);
        if end == AnswerEvent::End(ANSWER_TOKENS) && is_right {
            seen.whole += 1;
        } else {
            seen.broken.push(format!("{end:?} after {} tokens", caller.tokens.len()));
        }
    }
    seen
}

async fn book(addresses: Vec<SocketAddr>, number: usize, is_over: Arc<AtomicBool>) -> Seen {
    let mut seen = Seen::default();
    let mut turn = number;
    while !is_over.load(Ordering::SeqCst) {
        turn += 1;
        let home = addresses[turn % addresses.len()];
        let other = addresses[(turn + 1) % addresses.len()];
        let issuing = Call::post(home, "/v1/tickets", &json!({}), PATIENCE);
        let issued = issuing.send_json::<Value>().await.unwrap_or_default();
        let Some(ticket) = issued["ticket"].as_str() else {
            task::sleep(PAUSE).await;
            continue;
        };
        if number % 2 == 1 {
            task::sleep(TICKET_KEPT).await;
        }
        let member = format!("member of {ticket}");
        let mut outcome = "lost".to_owned();
        for address in [other, home] {
            if outcome != "completed" && outcome != "not_run" {
                outcome = book_once(address, ticket, &member).await;
            }
        }
        seen.bookings.push((member, outcome));
        task::sleep(PAUSE / 5).await;
    }
    seen
}

/// Sends one copy of a booking; `lost` where no answer came.
async fn book_once(address: SocketAddr, ticket: &str, member: &str) -> String {
    let path = "/slots/7/bookings";
    let answer = super::plain_support::send(address, Method::Post, path, ticket, member).await;
    answer.map_or_else(|| "lost".to_owned(), |answer| answer.outcome())
}
