//! Budgets that cap retries and hedges to a share of the requests.

/// Tokens are kept in hundredths, so that a percentage is whole.
const TOKEN: u32 = 100;

/// A token budget: each request adds a share of a token, each resend takes one.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u32,
    tokens: u32,
    tokens_max: u32,
}

impl RetryBudget {
    /// A full budget of `percent` resends for each hundred requests, `tokens_max` at once.
    pub fn new(percent: u32, tokens_max: u32) -> Self {
        let tokens_max = tokens_max.saturating_mul(TOKEN);
        Self {
            percent,
            tokens: tokens_max,
            tokens_max,
        }
    }

    /// Counts a request.
    pub fn deposit(&mut self) {
        self.tokens = self
            .tokens
            .saturating_add(self.percent)
            .min(self.tokens_max);
    }

    /// Takes one resend, if the budget has it.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < TOKEN {
            return false;
        }
        self.tokens -= TOKEN;
        true
    }
}
