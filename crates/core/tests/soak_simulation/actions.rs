//! Plays the part of the daemon's edges: performs the actions of nodes, calls engines and passes the
//! results back as events.

use turmericrail_core::action::{Action, PrefillCall, ReadCall, TransferCall};
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::event::Event;
use turmericrail_core::ids::{RequestId, ServerId, StreamId};
use turmericrail_core::report::Holder;
use turmericrail_core::units::Tokens;

use super::callers::{CallerState, Run};
use super::engines::Stream;
use super::simulation::{Delivery, Simulation};

/// Time for which an engine keeps a prefill result that is not fetched.
const RESULT_LIFETIME_MS: u64 = 900;

/// A call to an engine.
pub enum Call {
    /// Prefills a prompt.
    Prefill(PrefillCall),
    /// Imports a KV cache from another engine.
    Transfer(TransferCall),
    /// Reads the tokens of a stream.
    Read(ReadCall),
    /// Frees a stream on behalf of a holder.
    Cancel(StreamId, Holder),
    /// Requests the load report.
    Poll,
}

/// A prefill or a KV transfer that has not ended.
#[derive(Clone, Debug)]
pub struct PendingCall {
    /// Run that made the call.
    pub run: Run,
    pub server: ServerId,
    /// Engine that a transfer fetches from; `None` for a prefill.
    pub source: Option<ServerId>,
    pub request: RequestId,
    pub stream: StreamId,
}

impl Simulation {
    pub fn perform(&mut self, run: Run, action: Action) {
        match action {
            Action::Send { to, envelope, .. } => self.send(run, to.as_str(), Event::Peer(envelope)),
            Action::Prefill(call) => {
                self.call_engine(run, call.target.server.clone(), Call::Prefill(call))
            }
            Action::Transfer(call) => {
                self.call_engine(run, call.target.server.clone(), Call::Transfer(call))
            }
            Action::Read(call) => {
                self.call_engine(run, call.target.server.clone(), Call::Read(call))
            }
            Action::Cancel { target, stream, holder } => {
                self.call_engine(run, target.server, Call::Cancel(stream, holder))
            }
            Action::Poll(target) => self.call_engine(run, target.server, Call::Poll),
            Action::Log(decision) if decision.event == "retry" => {
                let (_, reason) = &decision.fields[0];
                *self.retries.entry(reason.clone()).or_default() += 1;
            }
            Action::AnswerError { request, kind, .. } => {
                self.check_error(run, request, kind);
                *self.errors.entry(kind.to_string()).or_default() += 1;
                self.record_final_answer(run, request);
                self.handle_plain_answer((run, request), Err(kind));
            }
            Action::AnswerPlain(request, answer) => {
                self.record_final_answer(run, request);
                self.handle_plain_answer((run, request), Ok(answer));
            }
            Action::AnswerTickets(request, tickets) => {
                self.record_final_answer(run, request);
                self.send_booking_copies((run, request), tickets);
            }
            Action::CallPlain(call) => {
                let delay_ms = self.random.below(4);
                self.schedule(delay_ms, Delivery::SendPlain(run, call));
            }
            Action::Forward { request, address, .. } => {
                self.forward_plain_call((run, request), address.port());
            }
            _ => {}
        }
    }

    /// Asserts that a caller that sent its request with the cursor is not refused because the stream is
    /// gone: the request can run again.
    fn check_error(&self, run: Run, request: RequestId, kind: ErrorKind) {
        let Some(caller) = self.caller_of(run, request) else {
            return;
        };
        let resends_request = self.callers[caller].resends_request;
        let is_gone = matches!(kind, ErrorKind::CursorExpired | ErrorKind::BadCursor);
        assert!(
            !resends_request || !is_gone,
            "a caller that sent its request was refused with {kind}"
        );
    }

    /// Records the final answer of a request and asserts that it is the only one.
    pub fn record_final_answer(&mut self, run: Run, request: RequestId) {
        assert!(
            self.answered_requests.insert((run, request)),
            "a request got a second final answer"
        );
        let Some(caller) = self.caller_of(run, request) else {
            return;
        };
        self.callers[caller].state = CallerState::Done;
    }

    /// Index of the caller that still waits for the answer to a request.
    pub fn caller_of(&self, run: Run, request: RequestId) -> Option<usize> {
        let caller = *self.caller_by_request.get(&(run, request))?;
        let is_waiting = self.callers[caller].state == CallerState::Waiting(run, request);
        is_waiting.then_some(caller)
    }

    fn send(&mut self, from: Run, to: &str, event: Event) {
        let number = to.rsplit('-').next().and_then(|number| number.parse::<usize>().ok());
        let Some(index) = number else {
            return;
        };
        if !self.is_connected(from.0, index) {
            return;
        }
        let mut copies = 1;
        let mut max_delay_ms = 3;
        if self.now_ms < self.network.disturbed_until_ms {
            copies += u64::from(self.random.chance_percent(self.network.duplicate_percent));
            copies *= u64::from(!self.random.chance_percent(self.network.loss_percent));
            max_delay_ms += self.network.max_extra_delay_ms;
        }
        let run = (index, self.instances[index].incarnation);
        for _ in 0..copies {
            let delay_ms = self.random.below(max_delay_ms);
            self.schedule(delay_ms, Delivery::Event(run, event.clone()));
        }
    }

    fn call_engine(&mut self, run: Run, server: ServerId, call: Call) {
        let delay_ms = self.random.below(4);
        self.schedule(delay_ms, Delivery::Call(server, run, call));
    }

    /// Handles a call that reaches an engine, or reports that the engine is unreachable.
    pub fn handle_engine_call(&mut self, server: ServerId, run: Run, call: Call) {
        let is_reached = self.can_reach(run.0, &self.engines[&server]);
        match call {
            Call::Prefill(call) => {
                let event = Event::PrefillFailed(call.request, call.stream.clone());
                match is_reached {
                    true => self.start_prefill(server, run, call),
                    false => self.deliver_event(run, event),
                }
            }
            Call::Transfer(call) => {
                let event = Event::TransferFailed(call.request, call.stream.clone());
                match is_reached {
                    true => self.start_transfer(server, run, call),
                    false => self.deliver_event(run, event),
                }
            }
            Call::Read(call) => self.open_reader(server, run, call, is_reached),
            Call::Cancel(stream, holder) if is_reached => {
                let engine = self.engines.get_mut(&server);
                let is_cancelled = engine.is_some_and(|engine| engine.cancel(&stream, &holder));
                if is_cancelled {
                    self.check_cancelled(&server, run, &stream);
                }
            }
            Call::Cancel(..) => {}
            Call::Poll if is_reached => {
                let report = self.engines[&server].report(self.now_ms);
                self.deliver_event(run, Event::Report(server, report));
            }
            Call::Poll => self.deliver_event(run, Event::ReportFailed(server)),
        }
    }

    /// Asserts that a stream that a caller reads through another instance is not cancelled unless
    /// contact with that instance was interrupted. A late cancellation by a former reader is allowed
    /// at an engine that does not check holders.
    fn check_cancelled(&self, server: &ServerId, by: Run, stream: &StreamId) {
        let is_former_holder = self.read_by.contains(&(stream.clone(), by));
        if is_former_holder && !self.engines[server].checks_holders {
            return;
        }
        let Some(reader) = self.reader_of(stream).filter(|reader| reader.run != by) else {
            return;
        };
        let is_uninterrupted = self.was_reachable(reader.run.0) && self.was_connected(by.0);
        assert!(!is_uninterrupted, "{by:?} cancelled {stream}, which {:?} reads", reader.run);
    }

    fn start_prefill(&mut self, server: ServerId, run: Run, call: PrefillCall) {
        let Some(caller) = self.caller_by_request.get(&(run, call.request)).copied() else {
            return;
        };
        let stream = Stream {
            holder: call.holder,
            kv_pieces: 2,
            caller,
            is_prefilled: false,
            decode_since_ms: None,
            max_tokens: 0,
        };
        let pending = PendingCall {
            run,
            server: server.clone(),
            source: None,
            request: call.request,
            stream: call.stream.clone(),
        };
        if let Some(engine) = self.engines.get_mut(&server) {
            engine.streams.insert(call.stream, stream);
        }
        let work_ms = 20 + self.random.below(300);
        let number = self.add_pending_call(pending, call.timeout_ms.0);
        self.schedule(work_ms, Delivery::PrefillEnd(number));
    }

    /// Ends a prefill; it fails if the stream was cancelled or the engine crashed meanwhile.
    pub fn finish_prefill(&mut self, number: u64) {
        let Some(call) = self.pending_calls.remove(&number) else {
            return;
        };
        let engine = self.engines.get_mut(&call.server);
        let Some(stream) = engine.and_then(|engine| engine.streams.get_mut(&call.stream)) else {
            self.deliver_event(call.run, Event::PrefillFailed(call.request, call.stream));
            return;
        };
        stream.is_prefilled = true;
        let end = Delivery::ResultExpiry(call.server, call.stream.clone());
        self.schedule(RESULT_LIFETIME_MS, end);
        let (request, stream) = (call.request, call.stream);
        let cached_tokens = Tokens::ZERO;
        self.deliver_event(call.run, Event::PrefillDone { request, stream, cached_tokens });
    }

    /// Discards a prefill result that was not fetched.
    pub fn expire_result(&mut self, server: &ServerId, stream: &StreamId) {
        if let Some(engine) = self.engines.get_mut(server) {
            engine.streams.remove(stream);
        }
    }

    fn start_transfer(&mut self, server: ServerId, run: Run, call: TransferCall) {
        let source = call.source.server.clone();
        let has_room = self.engines[&server].has_room(call.kv_pieces.0);
        let exported = self.engines.get_mut(&source).filter(|engine| engine.is_up(self.now_ms));
        let exported = exported.filter(|_| has_room);
        let exported = exported.and_then(|engine| engine.streams.remove(&call.stream));
        let Some(exported) = exported.filter(|stream| stream.is_prefilled) else {
            self.deliver_event(run, Event::TransferFailed(call.request, call.stream));
            return;
        };
        let stream = Stream {
            holder: call.holder,
            kv_pieces: call.kv_pieces.0,
            decode_since_ms: None,
            max_tokens: call.max_tokens.0,
            ..exported
        };
        let pending = PendingCall {
            run,
            server: server.clone(),
            source: Some(source),
            request: call.request,
            stream: call.stream.clone(),
        };
        let is_stalled = self.now_ms < self.engines[&server].transfers_stalled_until_ms;
        if let Some(engine) = self.engines.get_mut(&server) {
            engine.streams.insert(call.stream, stream);
        }
        let work_ms = 5 + self.random.below(40);
        let number = self.add_pending_call(pending, call.timeout_ms.0);
        if !is_stalled {
            self.schedule(work_ms, Delivery::TransferEnd(number));
        }
    }

    /// Ends a transfer; it fails if the stream was cancelled or the engine crashed meanwhile.
    pub fn finish_transfer(&mut self, number: u64) {
        let Some(call) = self.pending_calls.remove(&number) else {
            return;
        };
        let now_ms = self.now_ms;
        let engine = self.engines.get_mut(&call.server);
        let stream = engine.and_then(|engine| engine.streams.get_mut(&call.stream));
        let event = match stream {
            Some(stream) => {
                stream.decode_since_ms = Some(now_ms);
                Event::TransferDone(call.request, call.stream)
            }
            None => Event::TransferFailed(call.request, call.stream),
        };
        self.deliver_event(call.run, event);
    }

    /// Fails a call that has not ended within its timeout.
    pub fn time_out_call(&mut self, number: u64) {
        let Some(call) = self.pending_calls.remove(&number) else {
            return;
        };
        self.deliver_event(
            call.run,
            match call.source {
                Some(_) => Event::TransferFailed(call.request, call.stream),
                None => Event::PrefillFailed(call.request, call.stream),
            },
        );
    }

    fn add_pending_call(&mut self, call: PendingCall, timeout_ms: u64) -> u64 {
        self.last_sequence_number += 1;
        let number = self.last_sequence_number;
        self.pending_calls.insert(number, call);
        self.schedule(timeout_ms, Delivery::Timeout(number));
        number
    }
}
