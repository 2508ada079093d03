//! Callers that send model requests and bookings in a loop while a test injects faults.
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

/// Timeout of every wait. Generous for slow machines, since these tests assert no durations.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Tokens of each answer.
const ANSWER_TOKENS: u64 = 60;
/// Number of callers for each kind of request.
const CALLER_COUNT: usize = 4;
/// Delay of a caller after a refused request, and interval at which conditions are checked.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for which every second booking caller keeps its ticket before it uses it.
const BOOKING_DELAY: Duration = Duration::from_millis(1_000);

/// Answers that the callers received.
#[derive(Debug, Default)]
pub struct CallerResults {
    /// Number of complete and correct answers.
    pub complete_count: usize,
    /// Final event and length of each answer that was cut off, wrong or ended with an error.
    pub incomplete: Vec<String>,
    /// Error answers to requests that got no stream.
    pub refused: Vec<String>,
    /// Request body and reported outcome of each booking; `lost` if no answer came.
    pub bookings: Vec<(String, String)>,
}

/// Callers that run until they are stopped.
pub struct LoadGenerator {
    is_stopped: Arc<AtomicBool>,
    callers: Vec<task::JoinHandle<CallerResults>>,
}

impl LoadGenerator {
    /// Starts callers that send model requests to the instances in turn.
    pub fn start(addresses: &[SocketAddr]) -> Self {
        let mut load = Self { is_stopped: Arc::default(), callers: Vec::new() };
        for number in 0..CALLER_COUNT {
            let (addresses, is_stopped) = (addresses.to_vec(), Arc::clone(&load.is_stopped));
            load.callers.push(task::spawn(run_model_caller(addresses, number, is_stopped)));
        }
        load
    }

    /// Adds callers that send bookings.
    pub fn with_bookings(mut self, addresses: &[SocketAddr]) -> Self {
        for number in 0..CALLER_COUNT {
            let (addresses, is_stopped) = (addresses.to_vec(), Arc::clone(&self.is_stopped));
            self.callers.push(task::spawn(run_booking_caller(addresses, number, is_stopped)));
        }
        self
    }

    /// Stops the callers and combines their results.
    pub async fn stop(self) -> CallerResults {
        self.is_stopped.store(true, Ordering::SeqCst);
        let mut results = CallerResults::default();
        for caller in self.callers {
            let caller_results = caller.await;
            results.complete_count += caller_results.complete_count;
            results.incomplete.extend(caller_results.incomplete);
            results.refused.extend(caller_results.refused);
            results.bookings.extend(caller_results.bookings);
        }
        results
    }
}

impl CallerResults {
    /// Asserts that every answer was complete and no request was refused.
    pub fn assert_all_complete(&self) {
        assert!(self.complete_count > 0);
        let none: &[String] = &[];
        assert_eq!(
            (&self.incomplete[..], &self.refused[..]),
            (none, none),
            "{} complete answers",
            self.complete_count
        );
    }

    /// Asserts that no booking ran twice and that every reported outcome is true. Returns the
    /// number of completed bookings.
    pub fn assert_booking_outcomes(&self, fleet: &Fleet) -> usize {
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

/// Layout of a small fleet with fault proxies; `name` tells the folders of tests apart.
pub fn proxied_plan(name: &str) -> FleetPlan {
    let plan = FleetPlan::small(env!("CARGO_BIN_EXE_turmericrail"), name);
    FleetPlan { has_proxies: true, ..plan }
}

/// Waits until the instances with these indices have a configuration version in force.
pub async fn wait_for_version(
    fleet: &Fleet,
    indices: impl IntoIterator<Item = usize>,
    version: u64,
) {
    for index in indices {
        let waiting = async {
            while config_version(fleet, index).await != version {
                task::sleep(RETRY_DELAY).await;
            }
        };
        let result = async_std::future::timeout(WAIT_TIMEOUT, waiting).await;
        assert!(result.is_ok(), "instance {index}: {:?}", fleet.status(index).await);
    }
}

/// Configuration version in force on an instance; 0 if it doesn't answer.
pub async fn config_version(fleet: &Fleet, index: usize) -> u64 {
    let status = fleet.status(index).await.unwrap_or_default();
    status["config_version"].as_u64().unwrap_or_default()
}

/// Caller address of each instance.
pub fn caller_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.instances.iter().map(|instance| instance.caller_address).collect()
}

async fn run_model_caller(
    addresses: Vec<SocketAddr>,
    number: usize,
    is_stopped: Arc<AtomicBool>,
) -> CallerResults {
    let prompt = format!("load {number}");
    let body = json!({
        "model": "quote", "prompt": prompt, "max_tokens": ANSWER_TOKENS, "stream": true,
        "workspace": "w1", "caller_kind": "printer",
    });
    let mut results = CallerResults::default();
    let mut request_number = number;
    while !is_stopped.load(Ordering::SeqCst) {
        request_number += 1;
        let address = addresses[request_number % addresses.len()];
        let mut caller = match StreamCaller::try_open(address, &body).await {
            Ok(caller) => caller,
            Err(answer) => {
                results.refused.push(answer);
                task::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        let end = caller.read_all().await;
        let is_text_correct = caller.text() == text::answer(&prompt, ANSWER_TOKENS);
        if end == AnswerEvent::End(ANSWER_TOKENS) && is_text_correct {
            results.complete_count += 1;
        } else {
            results.incomplete.push(format!("{end:?} after {} tokens", caller.tokens.len()));
        }
    }
    results
}

async fn run_booking_caller(
    addresses: Vec<SocketAddr>,
    number: usize,
    is_stopped: Arc<AtomicBool>,
) -> CallerResults {
    let mut results = CallerResults::default();
    let mut request_number = number;
    while !is_stopped.load(Ordering::SeqCst) {
        request_number += 1;
        let home = addresses[request_number % addresses.len()];
        let other = addresses[(request_number + 1) % addresses.len()];
        let ticket_call = Call::post(home, "/v1/tickets", &json!({}), WAIT_TIMEOUT);
        let ticket_answer = ticket_call.send_json::<Value>().await.unwrap_or_default();
        let Some(ticket) = ticket_answer["ticket"].as_str() else {
            task::sleep(RETRY_DELAY).await;
            continue;
        };
        if number % 2 == 1 {
            task::sleep(BOOKING_DELAY).await;
        }
        let member = format!("member of {ticket}");
        let mut outcome = "lost".to_owned();
        for address in [other, home] {
            if outcome != "completed" && outcome != "not_run" {
                outcome = send_booking(address, ticket, &member).await;
            }
        }
        results.bookings.push((member, outcome));
        task::sleep(RETRY_DELAY / 5).await;
    }
    results
}

/// Sends one copy of a booking and returns its outcome; `lost` if no answer came.
async fn send_booking(address: SocketAddr, ticket: &str, member: &str) -> String {
    let path = "/slots/7/bookings";
    let answer = super::plain_support::send(address, Method::Post, path, ticket, member).await;
    answer.map_or_else(|| "lost".to_owned(), |answer| answer.outcome())
}
