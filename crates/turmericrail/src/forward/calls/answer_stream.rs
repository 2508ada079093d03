//! The events of one answer to a caller, which several servers may have written.
//!
//! Once the caller has a part of the answer, another server's answer only continues it if it has the
//! status and media type of the first one, and if each of its events has an id above that of the event
//! before. An answer of the same kind that ends in order without an event leaves nothing to add: only
//! the end was lost. The same order of ids holds for a stream that its caller resumes.

use turmericrail_core::forward::RouteKind;
use turmericrail_wire::http1::{BodyFraming, EventError, EventSplitter, ResponseHead};

use super::call_context::CallContext;
use super::call_failure::CallFailure;
use crate::forward::servers::answer_fault::AnswerFault;

/// Media type of a stream of events.
const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// What the answers that make up a stream have in common.
#[derive(Clone, Debug, Eq, PartialEq)]
struct AnswerKind {
    status: u16,
    /// Lower-case media type without parameters; `None` if the answer names none.
    media_type: Option<String>,
    is_event_stream: bool,
}

impl AnswerKind {
    fn of(context: &CallContext<'_>, head: &ResponseHead) -> Self {
        Self {
            status: head.status,
            media_type: media_type(head),
            is_event_stream: is_event_stream(context, head),
        }
    }

    /// Checks whether an answer of this kind may continue one of another kind.
    fn check_continues(&self, begun: &Self) -> Result<(), AnswerFault> {
        let is_same_type = match (&self.media_type, &begun.media_type) {
            (Some(own), Some(begun)) => own == begun,
            _ => true,
        };
        let may_continue = begun.is_event_stream && self.status == begun.status && is_same_type;
        if may_continue { Ok(()) } else { Err(AnswerFault::OtherKind(self.status)) }
    }
}

/// The answer to one caller.
pub struct AnswerStream {
    events: EventSplitter,
    /// Kind of the answer whose head the caller gets.
    begun: Option<AnswerKind>,
    /// Kind of the answer that is read at present.
    present: Option<AnswerKind>,
    /// Events that came before the present answer.
    events_before: u64,
}

impl AnswerStream {
    /// The answer to a request, after the event from which the caller resumes a stream.
    pub fn new(context: &CallContext<'_>) -> Self {
        let last_event_id = context.request.metadata.last_event_id.as_deref();
        let is_resumable = context.route.kind.is_repeatable();
        let last_event_id = last_event_id.filter(|id| is_resumable && !id.is_empty());
        Self {
            events: EventSplitter::after(last_event_id),
            begun: None,
            present: None,
            events_before: 0,
        }
    }

    /// Checks the head of the next answer. `has_begun` tells whether the caller has a part of an
    /// earlier one.
    pub fn begin_answer(
        &mut self,
        context: &CallContext<'_>,
        head: &ResponseHead,
        has_begun: bool,
    ) -> Result<(), AnswerFault> {
        let kind = AnswerKind::of(context, head);
        match &self.begun {
            Some(begun) if has_begun => kind.check_continues(begun)?,
            None if has_begun => return Err(AnswerFault::OtherKind(head.status)),
            _ => self.begun = Some(kind.clone()),
        }
        if has_begun || self.events.last_id().is_some() {
            self.events.require_order();
        }
        self.present = Some(kind);
        self.events_before = self.events.event_count();
        Ok(())
    }

    /// Adds bytes of the body and appends the events that are now whole to `out`, up to the first one
    /// that is refused.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(), EventError> {
        self.events.push(bytes, out)
    }

    /// Ends the present answer and forgets the bytes of an unfinished event. If the body has ended
    /// as its framing demands, the answer is complete with the bytes returned, unless it fails.
    pub fn end_answer(&mut self, head: &ResponseHead) -> Result<Vec<u8>, CallFailure> {
        let is_inside_event = self.events.is_inside_event();
        let rest = self.events.take_partial();
        let is_event_stream = self.present.as_ref().is_some_and(|kind| kind.is_event_stream);
        if !is_event_stream {
            return Ok(rest);
        }
        let has_no_event = self.present_event_count() == 0;
        if is_inside_event || (has_no_event && is_end_unstated(head)) {
            return Err(CallFailure::Lost);
        }
        if has_no_event && self.present != self.begun {
            return Err(AnswerFault::OtherKind(head.status).into());
        }
        Ok(rest)
    }

    /// The events of all answers so far.
    pub fn events(&self) -> &EventSplitter {
        &self.events
    }

    /// Number of events of the present answer.
    pub fn present_event_count(&self) -> u64 {
        self.events.event_count() - self.events_before
    }
}

/// Whether the body of an answer consists of events, each of which must be whole.
pub fn is_event_stream(context: &CallContext<'_>, head: &ResponseHead) -> bool {
    let is_stated = media_type(head).is_some_and(|media_type| media_type == EVENT_STREAM_TYPE);
    is_stated || matches!(context.route.kind, RouteKind::Stream { .. })
}

/// Whether nothing in the body tells its end, so that a lost server may look like a finished one.
pub fn is_end_unstated(head: &ResponseHead) -> bool {
    head.framing == BodyFraming::UntilClose
}

/// Lower-case media type without parameters.
fn media_type(head: &ResponseHead) -> Option<String> {
    let value = head.headers.text("content-type")?;
    let media_type = value.split(';').next().unwrap_or_default().trim();
    Some(media_type.to_ascii_lowercase())
}
