//! A budget that keeps retries a small part of the requests.

/// How much may be retried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Retries for each request, 0 to 1.
    pub ratio: f64,
    /// Most retries that may be saved up.
    pub burst: f64,
}

impl Default for BudgetConfig {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            burst: 20.0,
        }
    }
}

/// Tokens that requests earn and retries spend.
///
/// Invariant: over any span, retries are at most `burst + ratio * requests`.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: BudgetConfig,
    tokens: f64,
}

impl RetryBudget {
    /// Makes a budget that is full.
    pub fn new(cfg: BudgetConfig) -> Self {
        Self {
            cfg,
            tokens: cfg.burst,
        }
    }

    /// Counts a request that came in.
    pub fn request(&mut self) {
        self.tokens = (self.tokens + self.cfg.ratio).min(self.cfg.burst);
    }

    /// Takes one retry out of the budget; returns whether there was one.
    pub fn retry(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the retries that are left.
    pub fn left(&self) -> f64 {
        self.tokens
    }
}
