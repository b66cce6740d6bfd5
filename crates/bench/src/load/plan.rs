//! The plan of a load run, a YAML file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, DurationSecondsWithFrac, serde_as};
use snafu::ensure;
use wagtailreel_core::{CustomerId, Digest, Priority, ServiceName};

use crate::error::{ParseSnafu, PlanSnafu, Result};
use crate::fleet::Fleet;

/// Deadline of a steady load's requests, and how long it waits for the last answers.
const STEADY_PATIENCE: Duration = Duration::from_secs(30);

/// What is asked of which entries, how often and by whom.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Callers' addresses of the entries; they get requests in equal shares.
    pub targets: Vec<SocketAddr>,
    /// Asks the targets as engines, past entries and agents, for answers from this bundle: what the
    /// system adds is measured against such a run.
    #[serde(default)]
    pub engine_bundle: Option<Digest>,
    /// Base URLs of stand-ins whose statistics the outcomes are counted against.
    #[serde(default)]
    pub engines: Vec<String>,
    /// Seed of every draw.
    #[serde(default)]
    pub seed: u64,
    /// Steps one after the other.
    pub steps: Vec<Step>,
    /// Who asks.
    pub customers: Vec<CustomerShare>,
    /// What is asked for.
    pub services: Vec<ServiceShare>,
    /// Weights of priorities; empty leaves it to the services.
    #[serde(default)]
    pub priorities: BTreeMap<Priority, f64>,
    /// Orders that run at most once.
    #[serde(default)]
    pub orders: Orders,
    /// The prompts.
    #[serde(default)]
    pub prompts: Prompts,
    /// How long answers are.
    #[serde(default)]
    pub max_tokens: MaxTokens,
    /// How long a caller waits at most.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default, rename = "deadline_ms")]
    pub deadline: Option<Duration>,
    /// Whether connections may fail, as where an entry is killed during the run. They are counted
    /// as `lost`, but are no problem.
    #[serde(default)]
    pub lost_allowed: bool,
    /// How long is waited for the last answers after the last request.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(default = "drain", rename = "drain_s")]
    pub drain: Duration,
    /// Arrivals of the first part of the run that are asked and checked but not timed, so that
    /// connections are made and code is warm.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(default, rename = "warm_up_s")]
    pub warm_up: Duration,
}

fn drain() -> Duration {
    Duration::from_secs(30)
}

/// One step of a run.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// How long it lasts.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "duration_s")]
    pub duration: Duration,
    /// Requests a second on average.
    pub rate: f64,
}

/// One customer's part of the requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerShare {
    /// Name, for the tables.
    pub name: CustomerId,
    /// Key.
    pub key: String,
    /// Part of the requests, against the other customers' weights.
    #[serde(default = "one")]
    pub weight: f64,
}

/// One service's part of the requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceShare {
    /// Name of the service.
    pub name: ServiceName,
    /// Part of the requests, against the other services' weights.
    #[serde(default = "one")]
    pub weight: f64,
}

fn one() -> f64 {
    1.0
}

/// Orders among the requests.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Orders {
    /// Share of requests that are orders, from 0 to 1.
    pub share: f64,
    /// Share of orders that are sent a second time with the same key at another entry at once,
    /// from 0 to 1.
    pub twice: f64,
}

/// The prompts: a fixed pool, in groups that start alike.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Prompts {
    /// Prompts in the pool.
    pub pool: usize,
    /// Shared beginnings.
    pub prefixes: usize,
    /// Characters of a shared beginning.
    pub prefix_chars: usize,
    /// Characters that are a prompt's own.
    pub own_chars: usize,
}

impl Default for Prompts {
    fn default() -> Self {
        Self {
            pool: 200,
            prefixes: 20,
            prefix_chars: 200,
            own_chars: 40,
        }
    }
}

/// Lengths of answers, drawn evenly.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MaxTokens {
    /// Fewest tokens.
    pub least: u32,
    /// Most tokens.
    pub most: u32,
}

impl Default for MaxTokens {
    fn default() -> Self {
        Self {
            least: 16,
            most: 64,
        }
    }
}

impl Plan {
    /// Makes a steady load on one service of `fleet`, spread over its customers, in which every
    /// answer is checked against the engines.
    pub fn steady(fleet: &Fleet, service: &str, step: Step, max_tokens: MaxTokens) -> Self {
        let customers = fleet.spec().customers.iter().map(|it| CustomerShare {
            name: it.name.clone(),
            key: it.key.clone(),
            weight: 1.0,
        });
        Self {
            targets: fleet.callers(),
            engine_bundle: None,
            engines: fleet.engine_urls(),
            seed: 1,
            steps: vec![step],
            customers: customers.collect(),
            services: vec![ServiceShare {
                name: service.to_owned(),
                weight: 1.0,
            }],
            priorities: BTreeMap::new(),
            orders: Orders::default(),
            prompts: Prompts::default(),
            max_tokens,
            deadline: Some(STEADY_PATIENCE),
            lost_allowed: false,
            drain: STEADY_PATIENCE,
            warm_up: Duration::ZERO,
        }
    }

    /// Reads a plan from a file and checks it.
    ///
    /// # Errors
    ///
    /// Returns an error that names the place of the first mistake.
    pub fn read(path: &Path) -> Result<Self> {
        let parse = |detail: String| {
            let what = path.display().to_string();
            ParseSnafu { what, detail }.build()
        };
        let text = std::fs::read_to_string(path).map_err(|source| parse(source.to_string()))?;
        let plan: Self =
            serde_saphyr::from_str(&text).map_err(|source| parse(source.to_string()))?;
        plan.check()?;
        Ok(plan)
    }

    /// Checks that the plan can be run.
    ///
    /// # Errors
    ///
    /// Returns an error that names the place of the first mistake.
    pub fn check(&self) -> Result<()> {
        let shares = [
            ("orders.share", self.orders.share),
            ("orders.twice", self.orders.twice),
        ];
        for (at, share) in shares {
            let detail = "write a share from 0 to 1";
            ensure!((0.0..=1.0).contains(&share), PlanSnafu { at, detail });
        }
        let counts = [
            ("targets", self.targets.len()),
            ("steps", self.steps.len()),
            ("customers", self.customers.len()),
            ("services", self.services.len()),
            ("prompts.pool", self.prompts.pool),
            ("prompts.prefixes", self.prompts.prefixes),
        ];
        for (at, count) in counts {
            let detail = "at least one is needed";
            ensure!(count > 0, PlanSnafu { at, detail });
        }
        let rates = self.steps.iter().map(|step| step.rate);
        let weights = self.customers.iter().map(|it| it.weight);
        let weights = weights.chain(self.services.iter().map(|it| it.weight));
        let weights = weights.chain(self.priorities.values().copied());
        for (at, number) in rates
            .map(|it| ("steps", it))
            .chain(weights.map(|it| ("weight", it)))
        {
            let detail = format!("{number} is not above 0");
            ensure!(number.is_finite() && number > 0.0, PlanSnafu { at, detail });
        }
        let tokens = self.max_tokens;
        ensure!(
            tokens.least > 0 && tokens.least <= tokens.most,
            PlanSnafu {
                at: "max_tokens",
                detail: "`least` has to be from 1 to `most`",
            }
        );
        Ok(())
    }
}
