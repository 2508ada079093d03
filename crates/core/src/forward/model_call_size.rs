//! The size of a model call.

use crate::units::Tokens;

/// Tokens that stand in for the sizes of a call that does not tell them.
const DEFAULT_TOKENS: u64 = 1_000;

/// The size of a model call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ModelCallSize {
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// Most tokens of the answer.
    pub max_output_tokens: Tokens,
    /// The caller's estimate of the length of the answer.
    pub expected_output_tokens: Tokens,
}

impl Default for ModelCallSize {
    fn default() -> Self {
        let tokens = Tokens(DEFAULT_TOKENS);
        Self { prompt_tokens: tokens, max_output_tokens: tokens, expected_output_tokens: tokens }
    }
}

impl ModelCallSize {
    /// Engine memory that the call will need, as far as its caller can tell.
    pub fn expected_kv_tokens(&self) -> Tokens {
        let expected = self.expected_output_tokens.min(self.max_output_tokens);
        self.prompt_tokens + expected
    }
}
