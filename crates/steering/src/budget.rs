//! The share of the fleet's retry budget that one gateway may use.

/// Part of the budget's ratio that a gateway uses; the rest covers requests that were counted but
/// never reached the pool.
const RATIO_SHARE: f64 = 0.95;
/// Part of the fleet's fixed allowance that all gateways together use.
const SLACK_SHARE: f64 = 0.9;
/// Most retries that a gateway may save up, beside its part of the fixed allowance.
const MAX_SAVED: f64 = 4.0;

/// Retries that one gateway may make to one pool.
///
/// Each request earns the ratio. What is earned and not used is kept up to the gateway's part of
/// the fixed allowance, so the sum over the fleet stays within the budget in every window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: 1.0 }
    }
}

impl RetryBudget {
    /// Counts a request for the pool.
    pub fn earn(&mut self, ratio: f64, slack: f64, gateways: usize) {
        self.tokens = (self.tokens + ratio * RATIO_SHARE).min(Self::cap(slack, gateways));
    }

    /// Takes one retry and returns whether it was allowed.
    pub fn take(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// Returns whether a retry is left.
    #[must_use]
    pub fn any(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Returns a retry that was taken and not used.
    pub fn give_back(&mut self) {
        self.tokens += 1.0;
    }

    fn cap(slack: f64, gateways: usize) -> f64 {
        let gateways = u32::try_from(gateways.max(1)).map_or(f64::MAX, f64::from);
        (slack * SLACK_SHARE / gateways).clamp(1.0, MAX_SAVED)
    }
}
