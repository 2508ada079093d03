//! Size of a model call, from which its KV memory and its prefill time are predicted.

use crate::units::Tokens;

/// Assumed for each of the counts that a call does not state.
const DEFAULT_TOKENS: u64 = 1_000;

/// Token counts of a model call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct ModelCallSize {
    pub prompt_tokens: Tokens,
    /// Upper limit on the tokens of the answer.
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
    /// KV memory that the call will need, from the prompt and the expected output.
    pub fn expected_kv_tokens(&self) -> Tokens {
        self.prompt_tokens + self.output_tokens()
    }

    /// Expected length of the answer.
    pub fn output_tokens(&self) -> Tokens {
        self.expected_output_tokens.min(self.max_output_tokens)
    }
}
