//! Callers of model requests, and the checks of the tokens that they receive.

use turmericrail_core::ids::RequestId;

/// One run of an instance: its index and its incarnation.
pub type Run = (usize, u64);

/// State of a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerState {
    /// Connected to a run, where its request has this number.
    Waiting(Run, RequestId),
    /// Its connection broke; it connects again at this time in milliseconds.
    Reconnecting(u64),
    /// It received its final answer, left or gave up.
    Done,
}

/// A caller of one model request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Length of its answer.
    pub max_tokens: u64,
    pub state: CallerState,
    /// Index of the next token that it expects.
    pub next_index: u64,
    /// Cursor after the last token received; `None` before the first.
    pub cursor: Option<String>,
    /// Whether it sends its request again together with the cursor when it resumes.
    pub resends_request: bool,
    pub broken_connections: u64,
    /// Whether it received the explicit end of the answer.
    pub is_complete: bool,
    /// Whether it closed its connection before the end.
    pub has_left: bool,
}

impl Caller {
    pub fn new(max_tokens: u64, resends_request: bool) -> Self {
        Self {
            max_tokens,
            state: CallerState::Done,
            next_index: 0,
            cursor: None,
            resends_request,
            broken_connections: 0,
            is_complete: false,
            has_left: false,
        }
    }

    /// Checks and counts a token; `stream_caller` is the caller whose prompt the stream answers.
    pub fn receive_token(&mut self, caller: usize, stream_caller: usize, index: u64) {
        assert_eq!(caller, stream_caller, "a caller got a token of another caller's answer");
        assert_eq!(index, self.next_index, "a token was repeated or is missing");
        self.next_index += 1;
    }

    /// Checks and records the explicit end of the answer.
    pub fn receive_end(&mut self) {
        assert_eq!(self.next_index, self.max_tokens, "an answer ended before its last token");
        assert!(!self.is_complete, "an answer ended twice");
        self.is_complete = true;
        self.state = CallerState::Done;
    }
}
