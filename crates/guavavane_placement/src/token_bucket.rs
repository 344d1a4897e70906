//! Limits a rate by a token bucket, in integer arithmetic.

use guavavane_model::prelude::BootTime;

/// Tokens are counted in thousandths, so that slow rates lose nothing to rounding.
const MILLI_TOKENS_PER_TOKEN: u64 = 1_000;

/// A token bucket whose rate and burst are arguments of each refill.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    milli_tokens: u64,
    filled_at: BootTime,
}

impl TokenBucket {
    /// Creates a bucket with one token.
    pub(crate) fn new(now: BootTime) -> Self {
        Self {
            milli_tokens: MILLI_TOKENS_PER_TOKEN,
            filled_at: now,
        }
    }

    /// Adds the tokens accrued since the last refill at `rate_milli` thousandths of a token a
    /// second, up to `burst` tokens.
    pub(crate) fn refill(&mut self, now: BootTime, rate_milli: u64, burst: u64) {
        let elapsed_ms = now.as_millis().saturating_sub(self.filled_at.as_millis());
        let accrued = elapsed_ms.saturating_mul(rate_milli) / 1_000;
        if accrued == 0 {
            return;
        }
        let limit = burst.saturating_mul(MILLI_TOKENS_PER_TOKEN);
        self.milli_tokens = self.milli_tokens.saturating_add(accrued).min(limit);
        self.filled_at = now;
    }

    /// Whether a whole token is available.
    pub(crate) fn has_token(&self) -> bool {
        self.milli_tokens >= MILLI_TOKENS_PER_TOKEN
    }

    /// Takes a token if one is available; returns whether it did.
    pub(crate) fn try_take(&mut self) -> bool {
        let taken = self.has_token();
        if taken {
            self.milli_tokens -= MILLI_TOKENS_PER_TOKEN;
        }
        taken
    }
}
