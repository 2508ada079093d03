//! Callers: what each asked, what it received, and the checks on its answer.

use turmericrail_core::ids::RequestId;

/// One run of an instance, by index and incarnation.
pub type Run = (usize, u64);

/// Where a caller stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerState {
    /// Connected to a run, as this request.
    Waiting(Run, RequestId),
    /// Its connection broke; it asks another instance at this time.
    Reconnecting(u64),
    /// It has its final answer, or left.
    Done,
}

/// One caller.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Tokens of its answer.
    pub max_tokens: u64,
    /// Where it stands.
    pub state: CallerState,
    /// Index of the next token that it lacks.
    pub next_index: u64,
    /// Cursor behind the last token.
    pub cursor: Option<String>,
    /// Whether it sends its request along when it resumes.
    pub resends_request: bool,
    /// Connections that broke.
    pub reconnects: u64,
    /// Whether it received the whole answer.
    pub is_complete: bool,
    /// Whether it left.
    pub has_left: bool,
}

impl Caller {
    /// A caller that just asked.
    pub fn new(max_tokens: u64, resends_request: bool) -> Self {
        Self {
            max_tokens,
            state: CallerState::Done,
            next_index: 0,
            cursor: None,
            resends_request,
            reconnects: 0,
            is_complete: false,
            has_left: false,
        }
    }

    /// Takes a token of an answer to `answered`.
    pub fn receive_token(&mut self, caller: usize, stream_caller: usize, index: u64) {
        assert_eq!(caller, stream_caller, "a caller got a token of another caller's answer");
        assert_eq!(index, self.next_index, "a token was repeated or is missing");
        self.next_index += 1;
    }

    /// Takes the explicit end.
    pub fn receive_end(&mut self) {
        assert_eq!(self.next_index, self.max_tokens, "an answer ended before its last token");
        assert!(!self.is_complete, "an answer ended twice");
        self.is_complete = true;
        self.state = CallerState::Done;
    }
}
