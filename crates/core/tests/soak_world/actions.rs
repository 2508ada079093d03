//! What a daemon's edges do: carry out actions, call engines, and tell the node how it ended.

use turmericrail_core::action::{Action, PrefillCall, ReadCall, TransferCall};
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::event::Event;
use turmericrail_core::ids::{RequestId, ServerId, StreamId};
use turmericrail_core::report::Holder;
use turmericrail_core::units::Tokens;

use super::callers::{CallerState, Run};
use super::engines::Stream;
use super::world::{Delivery, World};

/// Life of a prefill result.
const RESULT_LIFE_MS: u64 = 900;

/// A call to an engine.
pub enum Call {
    /// Compute a prompt.
    Prefill(PrefillCall),
    /// Import a KV cache.
    Transfer(TransferCall),
    /// Read tokens.
    Read(ReadCall),
    /// Free a stream.
    Cancel(StreamId, Holder),
    /// Tell the load.
    Poll,
}

/// A call without an answer yet.
#[derive(Clone, Debug)]
pub struct PendingCall {
    /// The calling run.
    pub run: Run,
    /// The engine.
    pub server: ServerId,
    /// Where a transfer comes from.
    pub source: Option<ServerId>,
    /// The request.
    pub request: RequestId,
    /// The stream.
    pub stream: StreamId,
}

impl World {
    /// Carries out an action of a node.
    pub fn perform(&mut self, run: Run, action: Action) {
        match action {
            Action::Send { to, envelope, .. } => self.send(run, to.as_str(), Event::Peer(envelope)),
            Action::Prefill(call) => {
                self.call(run, call.target.server.clone(), Call::Prefill(call))
            }
            Action::Transfer(call) => {
                self.call(run, call.target.server.clone(), Call::Transfer(call))
            }
            Action::Read(call) => self.call(run, call.target.server.clone(), Call::Read(call)),
            Action::Cancel { target, stream, holder } => {
                self.call(run, target.server, Call::Cancel(stream, holder))
            }
            Action::Poll(target) => self.call(run, target.server, Call::Poll),
            Action::Log(decision) if decision.event == "retry" => {
                let (_, reason) = &decision.fields[0];
                *self.retries.entry(reason.clone()).or_default() += 1;
            }
            Action::AnswerError { request, kind, .. } => {
                self.check_error(run, request, kind);
                *self.errors.entry(kind.to_string()).or_default() += 1;
                self.answer(run, request);
            }
            _ => {}
        }
    }

    /// A caller that sends its request along is not told that its stream is gone.
    fn check_error(&self, run: Run, request: RequestId, kind: ErrorKind) {
        let Some(caller) = self.caller_of(run, request) else {
            return;
        };
        let is_sent_along = self.callers[caller].brings_request;
        let is_gone = matches!(kind, ErrorKind::CursorExpired | ErrorKind::BadCursor);
        assert!(!is_sent_along || !is_gone, "a caller that sent its request was told {kind}");
    }

    /// Notes the final answer of a request; there is only one.
    pub fn answer(&mut self, run: Run, request: RequestId) {
        assert!(self.answered.insert((run, request)), "a request got a second final answer");
        let Some(caller) = self.caller_of(run, request) else {
            return;
        };
        self.callers[caller].state = CallerState::Done;
    }

    /// The caller that waits for an answer to a request.
    pub fn caller_of(&self, run: Run, request: RequestId) -> Option<usize> {
        let caller = *self.asked.get(&(run, request))?;
        let is_waiting = self.callers[caller].state == CallerState::Asking(run, request);
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
        let mut most_ms = 3;
        if self.now_ms < self.network.disturbed_until_ms {
            copies += u64::from(self.draw.happens(self.network.copy_percent));
            copies *= u64::from(!self.draw.happens(self.network.loss_percent));
            most_ms += self.network.delay_ms;
        }
        let run = (index, self.slots[index].incarnation);
        for _ in 0..copies {
            let delay_ms = self.draw.below(most_ms);
            self.queue_in(delay_ms, Delivery::Event(run, event.clone()));
        }
    }

    fn call(&mut self, run: Run, server: ServerId, call: Call) {
        let delay_ms = self.draw.below(4);
        self.queue_in(delay_ms, Delivery::Call(server, run, call));
    }

    /// An engine gets a call.
    pub fn take_call(&mut self, server: ServerId, run: Run, call: Call) {
        let is_reached = self.reaches(run.0, &self.engines[&server]);
        match call {
            Call::Prefill(call) => {
                let event = Event::PrefillFailed(call.request, call.stream.clone());
                match is_reached {
                    true => self.take_prefill(server, run, call),
                    false => self.tell(run, event),
                }
            }
            Call::Transfer(call) => {
                let event = Event::TransferFailed(call.request, call.stream.clone());
                match is_reached {
                    true => self.take_transfer(server, run, call),
                    false => self.tell(run, event),
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
                self.tell(run, Event::Report(server, report));
            }
            Call::Poll => self.tell(run, Event::ReportFailed(server)),
        }
    }

    /// A stream that a caller reads through another instance is not cancelled while that instance
    /// is heard, but for a late cancellation by a former holder at an engine that checks none.
    fn check_cancelled(&self, server: &ServerId, by: Run, stream: &StreamId) {
        let is_former_holder = self.read_by.contains(&(stream.clone(), by));
        if is_former_holder && !self.engines[server].checks_holders {
            return;
        }
        let Some(reader) = self.reader_of(stream).filter(|reader| reader.run != by) else {
            return;
        };
        let is_heard = self.was_heard(reader.run.0) && self.was_connected(by.0);
        assert!(!is_heard, "{by:?} cancelled {stream}, which {:?} reads", reader.run);
    }

    fn take_prefill(&mut self, server: ServerId, run: Run, call: PrefillCall) {
        let Some(caller) = self.asked.get(&(run, call.request)).copied() else {
            return;
        };
        let stream = Stream {
            holder: call.holder,
            kv_pieces: 2,
            caller,
            is_computed: false,
            decode_from_ms: None,
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
        let work_ms = 20 + self.draw.below(300);
        let number = self.pend(pending, call.timeout_ms.0);
        self.queue_in(work_ms, Delivery::PrefillEnd(number));
    }

    /// A prefill ends, unless it was cancelled or its engine died.
    pub fn end_prefill(&mut self, number: u64) {
        let Some(call) = self.calls.remove(&number) else {
            return;
        };
        let engine = self.engines.get_mut(&call.server);
        let Some(stream) = engine.and_then(|engine| engine.streams.get_mut(&call.stream)) else {
            self.tell(call.run, Event::PrefillFailed(call.request, call.stream));
            return;
        };
        stream.is_computed = true;
        let end = Delivery::ResultEnd(call.server, call.stream.clone());
        self.queue_in(RESULT_LIFE_MS, end);
        let (request, stream) = (call.request, call.stream);
        let cached_tokens = Tokens::ZERO;
        self.tell(call.run, Event::PrefillDone { request, stream, cached_tokens });
    }

    /// A prefill result that was not fetched is discarded.
    pub fn end_result(&mut self, server: &ServerId, stream: &StreamId) {
        if let Some(engine) = self.engines.get_mut(server) {
            engine.streams.remove(stream);
        }
    }

    fn take_transfer(&mut self, server: ServerId, run: Run, call: TransferCall) {
        let source = call.source.server.clone();
        let has_room = self.engines[&server].has_room(call.kv_pieces.0);
        let exported = self.engines.get_mut(&source).filter(|engine| engine.is_up(self.now_ms));
        let exported = exported.filter(|_| has_room);
        let exported = exported.and_then(|engine| engine.streams.remove(&call.stream));
        let Some(exported) = exported.filter(|stream| stream.is_computed) else {
            self.tell(run, Event::TransferFailed(call.request, call.stream));
            return;
        };
        let stream = Stream {
            holder: call.holder,
            kv_pieces: call.kv_pieces.0,
            decode_from_ms: None,
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
        let is_stalled = self.now_ms < self.engines[&server].stalled_until_ms;
        if let Some(engine) = self.engines.get_mut(&server) {
            engine.streams.insert(call.stream, stream);
        }
        let work_ms = 5 + self.draw.below(40);
        let number = self.pend(pending, call.timeout_ms.0);
        if !is_stalled {
            self.queue_in(work_ms, Delivery::TransferEnd(number));
        }
    }

    /// A transfer ends, unless it was cancelled or the engine died.
    pub fn end_transfer(&mut self, number: u64) {
        let Some(call) = self.calls.remove(&number) else {
            return;
        };
        let now_ms = self.now_ms;
        let engine = self.engines.get_mut(&call.server);
        let stream = engine.and_then(|engine| engine.streams.get_mut(&call.stream));
        let event = match stream {
            Some(stream) => {
                stream.decode_from_ms = Some(now_ms);
                Event::TransferDone(call.request, call.stream)
            }
            None => Event::TransferFailed(call.request, call.stream),
        };
        self.tell(call.run, event);
    }

    /// The edge gives a call up.
    pub fn time_out(&mut self, number: u64) {
        let Some(call) = self.calls.remove(&number) else {
            return;
        };
        self.tell(
            call.run,
            match call.source {
                Some(_) => Event::TransferFailed(call.request, call.stream),
                None => Event::PrefillFailed(call.request, call.stream),
            },
        );
    }

    fn pend(&mut self, call: PendingCall, timeout_ms: u64) -> u64 {
        self.serial += 1;
        let number = self.serial;
        self.calls.insert(number, call);
        self.queue_in(timeout_ms, Delivery::Timeout(number));
        number
    }
}
