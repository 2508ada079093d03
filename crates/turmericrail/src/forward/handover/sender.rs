//! Offers a request to other instances, one after the other.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;

use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::forward::{DeclineReason, Member};
use turmericrail_core::units::Millis;
use turmericrail_platform::handover::{self, StreamPosition};
use turmericrail_wire::http1::Header;

use super::hop_answer::{HopEnd, pass_on};
use super::{ATTEMPTS_HEADER, CONFIG_HEADER, DECLINED_HEADER, DECLINED_STATUS};
use crate::forward::callers::caller_stream::CallerStream;
use crate::forward::callers::dispatch::{ConnectionAction, Refusal};
use crate::forward::calls::answer_stream::AnswerStream;
use crate::forward::calls::call_context::CallContext;
use crate::forward::calls::call_failure::CallFailure;
use crate::forward::calls::engine_calls::MIN_SILENCE_MS;
use crate::forward::calls::plain_call::NOT_RUN_STATUSES;
use crate::forward::clock;
use crate::forward::servers::call_bytes::CallBytes;
use crate::forward::servers::exchange::{Exchange, OutgoingCall};
use crate::forward::servers::refused_answers;

/// Multiple of the route's target after which an idempotent request without an answer goes to another
/// instance, unless a sound server may be silent for longer.
const ANSWER_WAIT_FACTOR: u64 = 2;

/// What came of one offer.
enum Offer {
    /// The answer has begun.
    Taken(Box<Exchange>),
    Declined(DeclineReason),
    /// Nothing was written.
    Unreached(CallFailure),
    /// The request may have been taken.
    Lost(CallFailure),
}

/// The answer of an instance that has taken a request.
pub struct Taken {
    member: Member,
    address: SocketAddr,
    exchange: Box<Exchange>,
}

/// The offers of one request.
pub struct Offers<'a> {
    context: &'a CallContext<'a>,
    caller: &'a CallerStream,
    candidates: VecDeque<Member>,
    answer: AnswerStream,
    began_ms: Millis,
    /// Calls that may have run, here and at other instances.
    calls_sent: u32,
    /// Whether an instance may have taken the request.
    is_written: bool,
    last_failure: CallFailure,
    count: u32,
}

fn candidates(context: &CallContext<'_>) -> Vec<Member> {
    let shared = context.shared;
    let (now_ms, random) = (clock::now_ms(), fastrand::u64(..));
    let members = shared.relay.members().list(now_ms);
    let data_centre = &shared.settings().data_centre;
    let mut forwarder = shared.forwarder();
    forwarder.handover_targets().candidates(now_ms, members, context.service, data_centre, random)
}

impl<'a> Offers<'a> {
    pub fn new(context: &'a CallContext<'a>, caller: &'a CallerStream) -> Self {
        Self {
            context,
            caller,
            candidates: VecDeque::new(),
            answer: AnswerStream::new(context),
            began_ms: clock::now_ms(),
            calls_sent: 0,
            is_written: false,
            last_failure: CallFailure::NotSent,
            count: 0,
        }
    }

    /// Offers the request to one instance after the other and passes the answer on; `None` if none
    /// takes it and nothing was sent.
    pub async fn serve(mut self) -> Result<Option<ConnectionAction>, Refusal> {
        if let Some(taken) = self.find_taker().await {
            return self.pass_on(taken).await.map(Some);
        }
        if self.is_written { Err(self.refusal()) } else { Ok(None) }
    }

    /// Offers the request until an instance answers it; `None` if none does.
    pub async fn find_taker(&mut self) -> Option<Taken> {
        self.candidates = candidates(self.context).into();
        self.calls_sent = self.context.sends().count();
        let taken = self.find_next_taker().await;
        if taken.is_none() {
            self.log("none", if self.is_written { "unknown" } else { "declined" });
        }
        taken
    }

    async fn find_next_taker(&mut self) -> Option<Taken> {
        while let Some(member) = self.candidates.pop_front() {
            let is_final = self.is_written && !self.context.route.kind.is_repeatable();
            if is_final || self.context.remaining_ms() == Millis::ZERO {
                return None;
            }
            let port = self.context.shared.handover.port?;
            let address = SocketAddr::new(member.address.ip(), port);
            let _permit = self.context.permit_run(self.calls_sent)?;
            self.count += 1;
            match self.send(address).await {
                Offer::Taken(exchange) => {
                    self.is_written = true;
                    self.calls_sent += 1;
                    return Some(Taken { member, address, exchange });
                }
                Offer::Declined(reason) => self.record_declined(&member, reason),
                Offer::Unreached(failure) => {
                    self.context.sends().record_not_sent();
                    // A caller with little time left says nothing of the member.
                    if failure != CallFailure::NoTimeLeft {
                        self.leave_out(&member);
                    }
                }
                Offer::Lost(failure) => {
                    self.is_written = true;
                    self.calls_sent += 1;
                    self.record_lost(&member, failure);
                }
            }
        }
        None
    }

    /// Passes an answer on. A resumable stream that breaks goes on at another instance.
    pub async fn pass_on(mut self, taken: Taken) -> Result<ConnectionAction, Refusal> {
        let (context, caller) = (self.context, self.caller);
        let mut next = Some(taken);
        while let Some(Taken { member, address, exchange }) = next {
            // What was sent before may have run.
            if self.calls_sent > 1 && NOT_RUN_STATUSES.contains(&exchange.head.status) {
                self.log(member.instance.as_str(), "refused");
                return Err(self.refusal());
            }
            let end = pass_on(context, caller, *exchange, address, &mut self.answer).await;
            let outcome = match &end {
                HopEnd::Complete(_) => "completed",
                HopEnd::Broken(_) if context.route.kind.is_repeatable() => "broken",
                HopEnd::Broken(_) => "cut",
            };
            self.log(member.instance.as_str(), outcome);
            match end {
                HopEnd::Complete(action) => return Ok(action),
                HopEnd::Broken(failure) => self.record_lost(&member, failure),
            }
            next = self.find_next_taker().await;
        }
        Err(self.refusal())
    }

    /// The refusal of a request that may have run.
    fn refusal(&self) -> Refusal {
        let kind = match self.last_failure {
            _ if self.caller.has_begun() => ErrorKind::StreamBroken,
            CallFailure::Silent => ErrorKind::PlainTimeout,
            _ => ErrorKind::ServerLost,
        };
        kind.into()
    }

    fn record_declined(&self, member: &Member, reason: DeclineReason) {
        let (context, now_ms) = (self.context, clock::now_ms());
        context.sends().record_not_sent();
        let mut forwarder = context.shared.forwarder();
        let targets = forwarder.handover_targets();
        targets.record_declined(now_ms, &member.instance, context.service, reason);
    }

    fn record_lost(&mut self, member: &Member, failure: CallFailure) {
        self.last_failure = failure;
        refused_answers::record(self.context.shared, &member.instance, failure);
        // At its deadline a request says nothing of the member.
        if failure != CallFailure::Silent || self.context.remaining_ms() > Millis::ZERO {
            self.leave_out(member);
        }
    }

    fn leave_out(&self, member: &Member) {
        let mut forwarder = self.context.shared.forwarder();
        forwarder.handover_targets().record_unreached(clock::now_ms(), &member.instance);
    }

    async fn send(&self, address: SocketAddr) -> Offer {
        let context = self.context;
        let mut head = self.request_head();
        let bytes = CallBytes::new(&mut head, &context.request.body);
        let is_connected = AtomicBool::new(false);
        let call = OutgoingCall {
            address,
            bytes,
            method: &context.request.head.method,
            request_id: context.request_id,
            is_connected: &is_connected,
            on_opened: &|| {},
        };
        let pool = &context.shared.pool;
        let exchange = match Exchange::start(pool, &call, self.answer_wait_ms()).await {
            Ok(exchange) => exchange,
            Err(failure) if failure.is_sent() => return Offer::Lost(failure),
            Err(failure) => return Offer::Unreached(failure),
        };
        let declined = exchange.head.headers.text(DECLINED_HEADER);
        let declined = declined.filter(|_| exchange.head.status == DECLINED_STATUS);
        let Some(reason) = declined.map(|text| DeclineReason::find(text.trim())) else {
            return Offer::Taken(Box::new(exchange));
        };
        let _ = exchange.read_body(context, address, context.remaining_ms()).await;
        // A reason that a later release may add.
        Offer::Declined(reason.unwrap_or(DeclineReason::NotReady))
    }

    /// Longest wait for an answer: up to the deadline, unless the request may go to another instance.
    fn answer_wait_ms(&self) -> Millis {
        let context = self.context;
        let remaining_ms = context.remaining_ms();
        if self.candidates.is_empty() || !context.route.kind.is_repeatable() {
            return remaining_ms;
        }
        let wait_ms = Millis(context.route.target_ms.0 * ANSWER_WAIT_FACTOR);
        remaining_ms.min(wait_ms.max(MIN_SILENCE_MS))
    }

    /// Head of the request for another instance.
    fn request_head(&self) -> Vec<u8> {
        let context = self.context;
        let request = context.request;
        let metadata = &request.metadata;
        let position = self.answer.events().last_id().map(|last_event_id| StreamPosition {
            last_event_id,
            resumed_attempt: match &metadata.last_event_id {
                Some(_) => metadata.resumed_attempt.as_deref(),
                None => Some(context.request_id),
            },
        });
        let attempts = context.route.max_attempts.saturating_sub(self.calls_sent).max(1);
        let added = [
            Header::new(CONFIG_HEADER, context.table.version().to_string()),
            Header::new(ATTEMPTS_HEADER, attempts.to_string()),
        ];
        let mut bytes = Vec::new();
        handover::write_head(
            &request.head,
            request.body.len(),
            context.remaining_ms(),
            position,
            &added,
            &mut bytes,
        );
        bytes
    }

    fn log(&self, to: &str, outcome: &str) {
        self.context.shared.metrics.handed_over.with_label_values(&[outcome]).inc();
        spdlog::info!(
            "event=handed_over request={} to={to} outcome={outcome} elapsed_ms={} offers={}",
            self.context.request_id,
            clock::now_ms().saturating_sub(self.began_ms).0,
            self.count
        );
    }
}
