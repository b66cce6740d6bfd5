//! A retry budget that limits retries to a small part of the requests.

/// Size of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Retries earned by each request, 0 to 1.
    pub ratio: f64,
    /// Maximum number of unused retries that accumulate.
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

/// Token bucket that requests fill and retries drain.
///
/// Invariant: over any span, retries are at most `burst + ratio * requests`.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: BudgetConfig,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(cfg: BudgetConfig) -> Self {
        Self {
            cfg,
            tokens: cfg.burst,
        }
    }

    /// Counts an incoming request.
    pub fn request(&mut self) {
        self.tokens = (self.tokens + self.cfg.ratio).min(self.cfg.burst);
    }

    /// Uses one retry of the budget; returns `false` if none is left.
    pub fn retry(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the number of retries left.
    pub fn left(&self) -> f64 {
        self.tokens
    }
}
