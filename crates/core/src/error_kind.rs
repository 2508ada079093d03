//! Error kinds and the answer that a caller gets for each.
//!
//! Every final answer that is not a success names one of these kinds. The table gives the HTTP
//! status, the outcome that the caller is told, and whether a `retry-after` header is sent.
//! `NotRun` guarantees that nothing of the request was executed, so the caller can safely send it
//! again.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What the caller may conclude about the execution of its call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The call ran once and its whole answer was returned.
    Completed,
    /// The call was not executed and can safely be sent again.
    NotRun,
    /// The call may or may not have been executed.
    Unknown,
}

impl Outcome {
    /// Text used in answers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Completed => "completed",
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

macro_rules! error_kinds {
    ($($name:ident, $text:literal, $status:literal, $outcome:ident, $retry:literal, $doc:literal;)*) => {
        /// Why a request did not complete.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $(#[doc = $doc] $name,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$name,)*];

            /// The row of the table for this kind.
            pub fn answer(self) -> ErrorAnswer {
                match self {
                    $(ErrorKind::$name => ErrorAnswer {
                        text: $text,
                        status: $status,
                        outcome: Outcome::$outcome,
                        has_retry_after: $retry,
                        meaning: $doc,
                    },)*
                }
            }
        }
    };
}

/// A row of the table: the answer for one error kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct ErrorAnswer {
    /// Name of the kind in answers, metrics and logs.
    pub text: &'static str,
    /// HTTP status code.
    pub status: u16,
    pub outcome: Outcome,
    /// Whether the answer has a `retry-after` header.
    pub has_retry_after: bool,
    /// Explanation for people, in one sentence.
    pub meaning: &'static str,
}

error_kinds! {
    BadRequest, "bad_request", 400, NotRun, false, "The request can't be parsed or lacks a field.";
    TooLarge, "too_large", 413, NotRun, false, "The request is larger than the settings allow.";
    HeadTooLarge, "head_too_large", 431, NotRun, false, "The head of the request is larger than the configuration allows.";
    ReceiveTimeout, "receive_timeout", 408, NotRun, false, "The body did not arrive in time.";
    UnknownKey, "unknown_key", 401, NotRun, false, "The request carries no API key that the configuration in force holds.";
    UnknownRoute, "unknown_route", 404, NotRun, false, "No route of the configuration matches the method and path.";
    UnknownModel, "unknown_model", 404, NotRun, false, "The configuration names no such model or version.";
    UnknownAdapter, "unknown_adapter", 404, NotRun, false, "The configuration names no such adapter of the version.";
    UnknownCallerKind, "unknown_caller_kind", 400, NotRun, false, "The configuration names no such caller kind.";
    TicketRequired, "ticket_required", 428, NotRun, false, "The route is not idempotent and the call carries no ticket.";
    BadTicket, "bad_ticket", 400, Unknown, false, "The ticket was altered, or sealed with a key that this instance does not have.";
    TicketMismatch, "ticket_mismatch", 422, Unknown, false, "The ticket was spent by a call with another method, path or body; this call was not sent.";
    CopyRefused, "copy_refused", 400, Unknown, false, "This copy of the call was refused before its ticket was looked at; an earlier copy may have run.";
    BadCursor, "bad_cursor", 400, NotRun, false, "The cursor was not issued by this deployment or was altered.";
    CursorExpired, "cursor_expired", 410, Unknown, false, "The stream that the cursor names is no longer held by its engine.";
    VersionRemoved, "version_removed", 410, Unknown, false, "The stream is no longer held by its engine, and the model version that began the answer is no longer served.";
    HeadRefused, "head_refused", 400, Unknown, false, "The head of the request was refused, so nothing of it was read; an earlier copy may have run.";
    TooManyConnections, "too_many_connections", 503, Unknown, true, "This instance has as many connections as its settings allow, so nothing of the request was read; an earlier copy may have run.";
    DeadlineUnreachable, "deadline_unreachable", 503, NotRun, true, "The target for this caller kind and hour can't be met at the present load.";
    Overloaded, "overloaded", 503, NotRun, true, "The workspace or the instance is at its limit.";
    UsageCapReached, "usage_cap_reached", 429, NotRun, true, "The tenant has used up its cap over all instances for now.";
    NoServer, "no_server", 503, NotRun, true, "No reachable backend server serves the call.";
    PromptQuarantined, "prompt_quarantined", 503, NotRun, true, "Engines were lost one after the other as they began answers to prompts with these parts, so the prompt isn't sent to any for a while.";
    RequestQuarantined, "request_quarantined", 503, NotRun, true, "Servers ended one after the other while they ran this request, so it isn't sent to any for a while.";
    VersionUnavailable, "version_unavailable", 503, NotRun, false, "The software version that began the answer isn't known, or no server has it any more, so the answer can't go on.";
    NotReady, "not_ready", 503, NotRun, true, "This instance has no configuration yet.";
    ShuttingDown, "shutting_down", 503, NotRun, true, "This instance is shutting down and takes no new work.";
    HomeUnreachable, "home_unreachable", 504, Unknown, false, "The instance that issued the ticket can't be reached, so whether the call ran is not known.";
    PlainTimeout, "plain_timeout", 504, Unknown, false, "No whole answer came within the route's timeout; the call may have run.";
    ServerLost, "server_lost", 502, Unknown, false, "The backend server was lost after the call may have started.";
    StreamBroken, "stream_broken", 502, Unknown, false, "The answer could not be completed within the retry budget.";
    CallerGone, "caller_gone", 408, Unknown, false, "The caller closed its connection.";
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.answer().text)
    }
}
