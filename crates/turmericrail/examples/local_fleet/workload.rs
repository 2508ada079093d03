//! Callers of two organisations: the Association sends quotes, bookings and stock readings; Lantern
//! Forge sends reviews, installs and catalogue reads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use fastrand::Rng;
use http_types::Method;
use serde_json::json;
use turmericrail_fakes::{Fleet, text};
use turmericrail_wire::caller::TicketAnswer;

use crate::calls::{self, CallerCall, Reply};
use crate::stream::{Answer, ReadResult};
use crate::tally::{RequestResult, Tally};

/// Maximum number of times that a caller sends or resumes one request.
const MAX_ATTEMPTS: u64 = 12;
/// Delay before a request whose connection was lost is sent or resumed again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A kind of request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A streamed costing summary for the quote desk.
    Quote,
    /// A booking of a press slot; must not run twice.
    Booking,
    /// A read of the board stock.
    StockReading,
    /// A streamed review of a manifest.
    Review,
    /// An order to install; must not run twice.
    Install,
    CatalogueRead,
}

impl Kind {
    pub const ALL: [Kind; 6] = [
        Kind::Quote,
        Kind::Booking,
        Kind::StockReading,
        Kind::Review,
        Kind::Install,
        Kind::CatalogueRead,
    ];

    /// Returns the name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Quote => "quote",
            Kind::Booking => "booking",
            Kind::StockReading => "stock reading",
            Kind::Review => "review",
            Kind::Install => "install",
            Kind::CatalogueRead => "catalogue read",
        }
    }

    /// Returns the number of concurrent callers.
    pub fn callers(self) -> u64 {
        match self {
            Kind::Quote => 8,
            Kind::Review => 6,
            _ => 4,
        }
    }

    /// Returns the longest pause between two requests of one caller.
    fn max_pause_ms(self) -> u64 {
        match self {
            Kind::Quote | Kind::Review => 400,
            _ => 200,
        }
    }
}

/// The caller addresses of all instances.
pub struct InstanceAddresses {
    addresses: Vec<SocketAddr>,
}

impl InstanceAddresses {
    pub fn new(fleet: &Fleet) -> Self {
        let addresses = fleet.instances.iter().map(|instance| instance.caller_address);
        Self { addresses: addresses.collect() }
    }
}

/// One caller, which sends requests of one kind.
pub struct Caller {
    instance_addresses: Arc<InstanceAddresses>,
    kind: Kind,
    number: u64,
    rng: Rng,
    tally: Tally,
}

impl Caller {
    /// Creates a caller whose random choices depend on the seed, its kind and its number.
    pub fn new(
        instance_addresses: Arc<InstanceAddresses>,
        kind: Kind,
        number: u64,
        seed: u64,
    ) -> Self {
        let rng = Rng::with_seed(seed ^ (kind as u64) << 32 ^ number);
        Self { instance_addresses, kind, number, rng, tally: Tally::default() }
    }

    /// Sends requests until the given time; returns their results.
    pub async fn run(mut self, until: Instant) -> Tally {
        let mut serial = 0;
        while Instant::now() < until {
            serial += 1;
            match self.kind {
                Kind::Quote => self.ask_model("quote", "printer", serial).await,
                Kind::Review => self.ask_model("review", "author", serial).await,
                Kind::Booking => self.order("/slots/7/bookings", serial).await,
                Kind::Install => self.order("/installs", serial).await,
                Kind::StockReading => self.read("/stock/board-3").await,
                Kind::CatalogueRead => self.read("/catalogue/lantern").await,
            }
            let pause_ms = self.rng.u64(0..self.kind.max_pause_ms());
            task::sleep(Duration::from_millis(pause_ms)).await;
        }
        self.tally
    }

    /// Returns the address of a random instance, as a load balancer might; possibly the killed one.
    fn random_address(&mut self) -> SocketAddr {
        self.instance_addresses.addresses[self.rng.usize(..self.instance_addresses.addresses.len())]
    }

    async fn ask_model(&mut self, model: &str, caller_kind: &str, serial: u64) {
        let words = self.rng.usize(60..600);
        let prompt = format!("{model} {}/{serial}: {}", self.number, "die line ".repeat(words));
        let max_tokens = self.rng.u64(20..60);
        let body = json!({
            "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true,
            "workspace": format!("{model}-{}", self.number), "caller_kind": caller_kind,
        });
        let first = CallerCall {
            method: Method::Post,
            path: "/v1/completions".to_owned(),
            header: None,
            body: body.to_string(),
        };
        let mut answer = Answer::default();
        let (mut resumed, mut retries) = (0, 0);
        let mut result = RequestResult::NotRun;
        for _ in 0..MAX_ATTEMPTS {
            let address = self.random_address();
            match answer.read(address, &first).await {
                ReadResult::Complete => {
                    let is_correct = answer.text == text::answer(&prompt, max_tokens)
                        && answer.count == Some(max_tokens)
                        && answer.unexpected_tokens == 0;
                    result =
                        if is_correct { RequestResult::Completed } else { RequestResult::Wrong };
                    break;
                }
                ReadResult::Failed(Reply::NotRun { retry_delay, .. }) => {
                    retries += 1;
                    task::sleep(retry_delay).await;
                }
                ReadResult::Failed(_) => {
                    answer = Answer::default();
                    retries += 1;
                    task::sleep(RETRY_DELAY).await;
                }
                ReadResult::Cut => {
                    match answer.cursor {
                        Some(_) => resumed += 1,
                        None => retries += 1,
                    }
                    task::sleep(RETRY_DELAY).await;
                }
            }
        }
        self.tally.count(self.kind, result, resumed, retries);
    }

    /// Sends an order that must not run twice. Each retry after a refusal uses a new ticket.
    async fn order(&mut self, path: &str, serial: u64) {
        let body = format!("{} {}/{serial}", self.kind.name(), self.number);
        let mut result = RequestResult::NotRun;
        let mut attempts = 0;
        while attempts < MAX_ATTEMPTS {
            attempts += 1;
            let Some(ticket) = self.request_ticket().await else {
                task::sleep(RETRY_DELAY).await;
                continue;
            };
            match self.send_order(path, &ticket, &body).await {
                Reply::Completed(_) => result = RequestResult::Completed,
                Reply::Unknown(_) => result = RequestResult::Unknown,
                Reply::NotRun { retry_delay, .. } => {
                    task::sleep(retry_delay.max(RETRY_DELAY)).await;
                    continue;
                }
            }
            break;
        }
        self.tally.count(self.kind, result, 0, attempts - 1);
        self.tally.record_result(body, result);
    }

    async fn request_ticket(&mut self) -> Option<String> {
        let call = CallerCall {
            method: Method::Post,
            path: "/v1/tickets".to_owned(),
            header: None,
            body: "{}".to_owned(),
        };
        let Reply::Completed(body) = calls::send(self.random_address(), &call).await else {
            return None;
        };
        serde_json::from_str::<TicketAnswer>(&body).ok().map(|answer| answer.ticket)
    }

    /// Sends an order with a ticket. If the connection is lost, sends it again with the same ticket
    /// to a random instance, which must not run the order a second time.
    async fn send_order(&mut self, path: &str, ticket: &str, body: &str) -> Reply {
        let call = CallerCall {
            method: Method::Post,
            path: path.to_owned(),
            header: Some(("idempotency-key", ticket.to_owned())),
            body: body.to_owned(),
        };
        let mut reply = calls::send(self.random_address(), &call).await;
        for _ in 0..MAX_ATTEMPTS {
            let is_lost = matches!(reply, Reply::Unknown(None) | Reply::NotRun { kind: None, .. });
            if !is_lost {
                break;
            }
            task::sleep(RETRY_DELAY).await;
            reply = calls::send(self.random_address(), &call).await;
        }
        reply
    }

    /// Sends an idempotent read.
    async fn read(&mut self, path: &str) {
        let call = CallerCall {
            method: Method::Get,
            path: path.to_owned(),
            header: None,
            body: String::new(),
        };
        let mut result = RequestResult::NotRun;
        let mut attempts = 0;
        while attempts < MAX_ATTEMPTS {
            attempts += 1;
            let address = self.random_address();
            match calls::send(address, &call).await {
                Reply::Completed(answer) => {
                    let is_correct = answer.starts_with(&format!("GET {path} "));
                    result =
                        if is_correct { RequestResult::Completed } else { RequestResult::Wrong };
                    break;
                }
                Reply::NotRun { retry_delay, .. } => task::sleep(retry_delay).await,
                Reply::Unknown(_) => task::sleep(RETRY_DELAY).await,
            }
        }
        self.tally.count(self.kind, result, 0, attempts - 1);
    }
}
