//! Limit on what a tenant uses over all instances together.

use crate::forward::ModelCallSize;
use crate::units::Tokens;

/// What a usage cap counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UsageUnit {
    /// Each request counts one.
    Requests,
    /// A request counts the tokens of its prompt and the token limit of its answer.
    Tokens {
        /// Count of a request that states no tokens.
        plain: Tokens,
    },
}

/// Sustained rate and burst of a tenant, in its unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageCap {
    /// Units a second; above zero.
    pub rate_per_s: f64,
    /// Units beyond the rate that may be used at once.
    pub burst: f64,
    /// What the units are.
    pub unit: UsageUnit,
}

impl UsageCap {
    /// Units that a request counts; `size` is absent in plain calls.
    pub fn cost(&self, size: Option<ModelCallSize>) -> f64 {
        match (self.unit, size) {
            (UsageUnit::Requests, _) => 1.0,
            (UsageUnit::Tokens { plain }, None) => plain.0 as f64,
            (UsageUnit::Tokens { .. }, Some(size)) => {
                size.prompt_tokens.0 as f64 + size.max_output_tokens.0 as f64
            }
        }
    }
}
