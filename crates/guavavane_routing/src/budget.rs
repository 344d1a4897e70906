//! Budgets that limit retries and hedges to a percentage of the requests.

/// Hundredths per token. Tokens are counted in hundredths, so that a request with a budget of n
/// percent adds a whole number, n.
const HUNDREDTHS_PER_TOKEN: u32 = 100;

/// Token bucket filled by requests: each request adds a fraction of a token, each retry or hedge
/// takes one token.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    percent: u32,
    hundredths: u32,
    hundredths_max: u32,
}

impl RetryBudget {
    /// Creates a full budget of `percent` retries per hundred requests that holds at most
    /// `tokens_max` tokens.
    pub fn new(percent: u32, tokens_max: u32) -> Self {
        let hundredths_max = tokens_max.saturating_mul(HUNDREDTHS_PER_TOKEN);
        Self {
            percent,
            hundredths: hundredths_max,
            hundredths_max,
        }
    }

    /// Adds the fraction of a token that one request earns.
    pub fn deposit(&mut self) {
        self.hundredths = self
            .hundredths
            .saturating_add(self.percent)
            .min(self.hundredths_max);
    }

    /// Takes one token; returns `false` if the budget has less than one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.hundredths < HUNDREDTHS_PER_TOKEN {
            return false;
        }
        self.hundredths -= HUNDREDTHS_PER_TOKEN;
        true
    }
}
