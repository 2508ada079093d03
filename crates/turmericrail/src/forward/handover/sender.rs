//! Offers a request to other instances, one after the other.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;

use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::forward::{DeclineReason, Member};
use turmericrail_core::units::Millis;
use turmericrail_platform::handover::{self, StreamPosition};
use turmericrail_wire::http1::{EventSplitter, Header};

use super::hop_answer::{HopEnd, pass_on};
use super::{CONFIG_HEADER, DECLINED_HEADER, DECLINED_STATUS};
use crate::forward::callers::caller_stream::CallerStream;
use crate::forward::callers::dispatch::{ConnectionAction, Refusal};
use crate::forward::calls::call_context::CallContext;
use crate::forward::calls::call_failure::CallFailure;
use crate::forward::clock;
use crate::forward::servers::exchange::{Exchange, OutgoingCall};

/// What came of one offer.
enum Offer {
    /// The answer has begun.
    Taken(Box<Exchange>),
    Declined(DeclineReason),
    /// Nothing was written.
    Unreached,
    /// The request may have been taken.
    Lost(CallFailure),
}

/// The offers of one request.
struct Offers<'a> {
    context: &'a CallContext<'a>,
    caller: &'a CallerStream,
    events: EventSplitter,
    began_ms: Millis,
    /// Calls that may have run, here and at other instances.
    calls_sent: u32,
    /// Whether an instance may have taken the request.
    is_written: bool,
    last_failure: CallFailure,
    count: u32,
}

/// Offers a request to other instances; `None` if none takes it and nothing was sent.
pub async fn offer(
    context: &CallContext<'_>,
    caller: &CallerStream,
) -> Result<Option<ConnectionAction>, Refusal> {
    let mut offers = Offers {
        context,
        caller,
        events: EventSplitter::default(),
        began_ms: clock::now_ms(),
        calls_sent: u32::from(context.sends().has_sent()),
        is_written: false,
        last_failure: CallFailure::NotSent,
        count: 0,
    };
    for member in candidates(context) {
        if let Some(action) = offers.offer_to(&member).await {
            return Ok(Some(action));
        }
        let is_final = offers.is_written && !context.route.kind.is_repeatable();
        if is_final || context.remaining_ms() == Millis::ZERO {
            break;
        }
    }
    if !offers.is_written {
        offers.log("none", "declined");
        return Ok(None);
    }
    offers.log("none", "unknown");
    let kind = match offers.last_failure {
        _ if caller.has_begun() => ErrorKind::StreamBroken,
        CallFailure::Silent => ErrorKind::PlainTimeout,
        _ => ErrorKind::ServerLost,
    };
    Err(kind.into())
}

fn candidates(context: &CallContext<'_>) -> Vec<Member> {
    let shared = context.shared;
    let (now_ms, random) = (clock::now_ms(), fastrand::u64(..));
    let members = shared.relay.members().list(now_ms);
    let data_centre = &shared.settings().data_centre;
    let mut forwarder = shared.forwarder();
    forwarder.handover_targets().candidates(now_ms, members, context.service, data_centre, random)
}

impl Offers<'_> {
    /// Offers the request to one instance; `None` if another one may be asked.
    async fn offer_to(&mut self, member: &Member) -> Option<ConnectionAction> {
        let context = self.context;
        let port = context.shared.handover.port?;
        let address = SocketAddr::new(member.address.ip(), port);
        let _permit = context.permit_run(self.calls_sent)?;
        self.count += 1;
        match self.send(address).await {
            Offer::Taken(exchange) => {
                self.is_written = true;
                self.calls_sent += 1;
                let is_repeatable = context.route.kind.is_repeatable();
                let end = pass_on(context, self.caller, *exchange, address, &mut self.events).await;
                let outcome = match &end {
                    HopEnd::Complete(_) => "completed",
                    HopEnd::Broken(_) if is_repeatable => "broken",
                    HopEnd::Broken(_) => "cut",
                };
                self.log(member.instance.as_str(), outcome);
                match end {
                    HopEnd::Complete(action) => return Some(action),
                    HopEnd::Broken(failure) => self.record_lost(member, failure),
                }
            }
            Offer::Declined(reason) => {
                context.sends().record_not_sent();
                context.shared.forwarder().handover_targets().record_declined(
                    clock::now_ms(),
                    &member.instance,
                    context.service,
                    reason,
                );
            }
            Offer::Unreached => {
                context.sends().record_not_sent();
                self.leave_out(member);
            }
            Offer::Lost(failure) => {
                self.is_written = true;
                self.calls_sent += 1;
                self.record_lost(member, failure);
            }
        }
        None
    }

    fn record_lost(&mut self, member: &Member, failure: CallFailure) {
        self.last_failure = failure;
        self.leave_out(member);
    }

    fn leave_out(&self, member: &Member) {
        let mut forwarder = self.context.shared.forwarder();
        forwarder.handover_targets().record_unreached(clock::now_ms(), &member.instance);
    }

    async fn send(&self, address: SocketAddr) -> Offer {
        let context = self.context;
        let bytes = self.request_bytes();
        let is_connected = AtomicBool::new(false);
        let call = OutgoingCall {
            address,
            bytes: &bytes,
            method: &context.request.head.method,
            request_id: context.request_id,
            is_connected: &is_connected,
            on_opened: &|| {},
        };
        let pool = &context.shared.pool;
        let exchange = match Exchange::start(pool, &call, context.remaining_ms()).await {
            Ok(exchange) => exchange,
            Err(failure) if failure.is_sent() => return Offer::Lost(failure),
            Err(_) => return Offer::Unreached,
        };
        let declined = exchange.head.headers.text(DECLINED_HEADER);
        let declined = declined.filter(|_| exchange.head.status == DECLINED_STATUS);
        let Some(reason) = declined.map(|text| DeclineReason::find(text.trim())) else {
            return Offer::Taken(Box::new(exchange));
        };
        let _ = exchange.read_body(pool, address, context.remaining_ms()).await;
        // A reason that a later release may add.
        Offer::Declined(reason.unwrap_or(DeclineReason::NotReady))
    }

    /// Head and body of the request for another instance.
    fn request_bytes(&self) -> Vec<u8> {
        let context = self.context;
        let request = context.request;
        let metadata = &request.metadata;
        let position = self.events.last_id().map(|last_event_id| StreamPosition {
            last_event_id,
            resumed_attempt: match &metadata.last_event_id {
                Some(_) => metadata.resumed_attempt.as_deref().unwrap_or_default(),
                None => context.request_id,
            },
        });
        let mut bytes = Vec::new();
        handover::write_head(
            &request.head,
            request.body.len(),
            context.remaining_ms(),
            position,
            Header::new(CONFIG_HEADER, context.table.version().to_string()),
            &mut bytes,
        );
        bytes.extend_from_slice(&request.body);
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
