//! The callers of both users: the Association's quotes, bookings and stock readings; Lantern
//! Forge's reviews, installs and catalogue reads.

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
use crate::stream::{Answer, ReadEnd};
use crate::tally::{End, Tally};

/// Most times that a caller sends or resumes one request.
const MAX_SENDS: u64 = 12;
/// Pause before a cut request is taken up elsewhere.
const CUT_PAUSE: Duration = Duration::from_millis(100);

/// A kind of request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Kind {
    /// A costing summary of the quote desk.
    Quote,
    /// A press slot.
    Booking,
    /// A reading of board stock.
    StockReading,
    /// A review of a manifest.
    Review,
    /// An install order.
    Install,
    /// A read of the catalogue.
    CatalogueRead,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Kind; 6] = [
        Kind::Quote,
        Kind::Booking,
        Kind::StockReading,
        Kind::Review,
        Kind::Install,
        Kind::CatalogueRead,
    ];

    /// Its name in the table.
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

    /// Callers at a time.
    pub fn callers(self) -> u64 {
        match self {
            Kind::Quote => 8,
            Kind::Review => 6,
            _ => 4,
        }
    }

    /// Longest pause between two requests of one caller.
    fn max_pause_ms(self) -> u64 {
        match self {
            Kind::Quote | Kind::Review => 400,
            _ => 200,
        }
    }
}

/// What every caller knows.
pub struct World {
    addresses: Vec<SocketAddr>,
}

impl World {
    /// The callers' view of a fleet: the addresses of its instances.
    pub fn new(fleet: &Fleet) -> Self {
        let addresses = fleet.instances.iter().map(|instance| instance.caller_address);
        Self { addresses: addresses.collect() }
    }
}

/// One caller.
pub struct Caller {
    world: Arc<World>,
    kind: Kind,
    number: u64,
    rng: Rng,
    tally: Tally,
}

impl Caller {
    /// A caller of one kind, with random choices of its own.
    pub fn new(world: Arc<World>, kind: Kind, number: u64, seed: u64) -> Self {
        let rng = Rng::with_seed(seed ^ (kind as u64) << 32 ^ number);
        Self { world, kind, number, rng, tally: Tally::default() }
    }

    /// Sends requests until the time is over; returns what became of them.
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

    /// The balancer's choice: any instance, also one that was just killed.
    fn any_address(&mut self) -> SocketAddr {
        self.world.addresses[self.rng.usize(..self.world.addresses.len())]
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
        let (mut resumed, mut sent_again) = (0, 0);
        let mut end = End::NotRun;
        for _ in 0..MAX_SENDS {
            let address = self.any_address();
            match answer.read(address, &first).await {
                ReadEnd::Whole => {
                    let is_right = answer.text == text::answer(&prompt, max_tokens)
                        && answer.count == Some(max_tokens)
                        && answer.misplaced == 0;
                    end = if is_right { End::Completed } else { End::Wrong };
                    break;
                }
                ReadEnd::Refused(Reply::NotRun { wait, .. }) => {
                    sent_again += 1;
                    task::sleep(wait).await;
                }
                ReadEnd::Refused(_) => {
                    answer = Answer::default();
                    sent_again += 1;
                    task::sleep(CUT_PAUSE).await;
                }
                ReadEnd::Cut => {
                    match answer.cursor {
                        Some(_) => resumed += 1,
                        None => sent_again += 1,
                    }
                    task::sleep(CUT_PAUSE).await;
                }
            }
        }
        self.tally.count(self.kind, end, resumed, sent_again);
    }

    /// Sends an order that must not run twice, under one ticket at a time.
    async fn order(&mut self, path: &str, serial: u64) {
        let body = format!("{} {}/{serial}", self.kind.name(), self.number);
        let mut end = End::NotRun;
        let mut sends = 0;
        while sends < MAX_SENDS {
            sends += 1;
            let Some(ticket) = self.take_ticket().await else {
                task::sleep(CUT_PAUSE).await;
                continue;
            };
            match self.send_order(path, &ticket, &body).await {
                Reply::Completed(_) => end = End::Completed,
                Reply::Unknown(_) => end = End::Unknown,
                Reply::NotRun { wait, .. } => {
                    task::sleep(wait.max(CUT_PAUSE)).await;
                    continue;
                }
            }
            break;
        }
        self.tally.count(self.kind, end, 0, sends - 1);
        self.tally.remember(body, end);
    }

    async fn take_ticket(&mut self) -> Option<String> {
        let call = CallerCall {
            method: Method::Post,
            path: "/v1/tickets".to_owned(),
            header: None,
            body: "{}".to_owned(),
        };
        let Reply::Completed(body) = calls::send(self.any_address(), &call).await else {
            return None;
        };
        serde_json::from_str::<TicketAnswer>(&body).ok().map(|answer| answer.ticket)
    }

    /// Sends one order; where the connection is lost, the same ticket is shown to another
    /// instance, which must not run the order a second time.
    async fn send_order(&mut self, path: &str, ticket: &str, body: &str) -> Reply {
        let call = CallerCall {
            method: Method::Post,
            path: path.to_owned(),
            header: Some(("idempotency-key", ticket.to_owned())),
            body: body.to_owned(),
        };
        let mut reply = calls::send(self.any_address(), &call).await;
        for _ in 0..MAX_SENDS {
            let is_lost = matches!(reply, Reply::Unknown(None) | Reply::NotRun { kind: None, .. });
            if !is_lost {
                break;
            }
            task::sleep(CUT_PAUSE).await;
            reply = calls::send(self.any_address(), &call).await;
        }
        reply
    }

    /// Reads what may be read again.
    async fn read(&mut self, path: &str) {
        let call = CallerCall {
            method: Method::Get,
            path: path.to_owned(),
            header: None,
            body: String::new(),
        };
        let mut end = End::NotRun;
        let mut sends = 0;
        while sends < MAX_SENDS {
            sends += 1;
            let address = self.any_address();
            match calls::send(address, &call).await {
                Reply::Completed(answer) => {
                    let is_right = answer.starts_with(&format!("GET {path} "));
                    end = if is_right { End::Completed } else { End::Wrong };
                    break;
                }
                Reply::NotRun { wait, .. } => task::sleep(wait).await,
                Reply::Unknown(_) => task::sleep(CUT_PAUSE).await,
            }
        }
        self.tally.count(self.kind, end, 0, sends - 1);
    }
}
