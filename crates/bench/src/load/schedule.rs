//! Who asks what when: drawn beforehand from the plan's seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wagtailreel_core::Priority;

use super::plan::Plan;
use crate::answer::Ask;

/// One request of the schedule.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it is sent, from the start of the run.
    pub at: Duration,
    /// Which step of the plan it belongs to.
    pub step: usize,
    /// Position of the entry in the plan's targets.
    pub target: usize,
    /// The request. Its prompt is one of the pool's with the request's id behind it, so that it is
    /// asked only once and the engines' requests can be found by it.
    pub ask: Ask,
}

/// The arrivals of a plan in the order of their times: a Poisson process at each step's rate.
#[derive(Debug)]
pub struct Schedule<'a> {
    plan: &'a Plan,
    prompts: Vec<String>,
    rng: StdRng,
    run: String,
    epoch_seconds: u64,
    count: u64,
    at: Duration,
    step: usize,
    step_end: Duration,
    again: Option<Arrival>,
}

impl<'a> Schedule<'a> {
    /// Starts the schedule of `plan`.
    ///
    /// `run` is part of every request's id; `epoch_seconds` is the present as seconds since 1970,
    /// which the keys of orders carry.
    pub fn new(plan: &'a Plan, run: &str, epoch_seconds: u64) -> Self {
        Self {
            plan,
            prompts: prompt_pool(plan),
            rng: StdRng::seed_from_u64(plan.seed),
            run: run.to_owned(),
            epoch_seconds,
            count: 0,
            at: Duration::ZERO,
            step: 0,
            step_end: plan.steps.first().map_or(Duration::ZERO, |it| it.duration),
            again: None,
        }
    }

    /// Moves on by one exponential gap; the memory of a Poisson process ends with each step.
    fn advance(&mut self) -> Option<()> {
        loop {
            let step = self.plan.steps.get(self.step)?;
            let uniform: f64 = self.rng.random();
            let gap = -(1.0 - uniform).ln() / step.rate;
            let next = self.at + Duration::from_secs_f64(gap);
            if next < self.step_end {
                self.at = next;
                return Some(());
            }
            self.at = self.step_end;
            self.step += 1;
            let following = self.plan.steps.get(self.step)?;
            self.step_end += following.duration;
        }
    }

    fn draw(&mut self) -> Arrival {
        let plan = self.plan;
        let customer = pick(&mut self.rng, &plan.customers, |it| it.weight);
        let service = pick(&mut self.rng, &plan.services, |it| it.weight);
        let tokens = plan.max_tokens;
        let max_tokens = self.rng.random_range(tokens.least..=tokens.most);
        let id = self.next_id();
        let prompt = self.rng.random_range(0..self.prompts.len());
        let is_order = self.rng.random_bool(plan.orders.share);
        Arrival {
            at: self.at,
            step: self.step,
            target: self.rng.random_range(0..plan.targets.len()),
            ask: Ask {
                service: service.name.clone(),
                key: customer.key.clone(),
                customer: customer.name.clone(),
                order: is_order.then(|| format!("{}.{id}", self.epoch_seconds)),
                prompt: format!("{} {id}", self.prompts[prompt]),
                request: Some(id),
                max_tokens,
                priority: self.draw_priority(),
                deadline: plan.deadline,
                engine_bundle: plan.engine_bundle,
            },
        }
    }

    fn draw_priority(&mut self) -> Option<Priority> {
        let weights: Vec<(Priority, f64)> = self
            .plan
            .priorities
            .iter()
            .map(|(priority, weight)| (*priority, *weight))
            .collect();
        if weights.is_empty() {
            return None;
        }
        Some(pick(&mut self.rng, &weights, |it| it.1).0)
    }

    /// Sends an order again at the next entry, as an impatient caller does over a balancer.
    fn draw_again(&mut self, first: &Arrival) -> Option<Arrival> {
        first.ask.order.as_ref()?;
        if !self.rng.random_bool(self.plan.orders.twice) {
            return None;
        }
        let mut again = first.clone();
        again.target = (first.target + 1) % self.plan.targets.len();
        let id = self.next_id();
        again.ask.prompt = format!("{} again as {id}", first.ask.prompt);
        again.ask.request = Some(id);
        Some(again)
    }

    fn next_id(&mut self) -> String {
        self.count += 1;
        format!("{}-{}", self.run, self.count)
    }
}

impl Iterator for Schedule<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        if let Some(again) = self.again.take() {
            return Some(again);
        }
        self.advance()?;
        let arrival = self.draw();
        self.again = self.draw_again(&arrival);
        Some(arrival)
    }
}

/// Draws one of `items`, which are not empty, by weight.
fn pick<'a, T, F>(rng: &mut StdRng, items: &'a [T], weight: F) -> &'a T
where
    F: Fn(&T) -> f64,
{
    let total: f64 = items.iter().map(&weight).sum();
    let mut left = rng.random::<f64>() * total;
    for item in items {
        left -= weight(item);
        if left < 0.0 {
            return item;
        }
    }
    // Rounding can leave a trace over; it belongs to the last.
    &items[items.len() - 1]
}

/// Makes the pool of prompts: groups with a shared beginning, then each prompt's own words.
fn prompt_pool(plan: &Plan) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(plan.seed ^ 0x70_72_6f_6d_70_74);
    let spec = &plan.prompts;
    let prefixes: Vec<String> = (0..spec.prefixes)
        .map(|_| letters(&mut rng, spec.prefix_chars))
        .collect();
    (0..spec.pool)
        .map(|n| {
            let prefix = &prefixes[n % prefixes.len()];
            format!("{prefix} {n} {}", letters(&mut rng, spec.own_chars))
        })
        .collect()
}

fn letters(rng: &mut StdRng, count: usize) -> String {
    (0..count)
        .map(|_| char::from(rng.random_range(b'a'..=b'z')))
        .collect()
}
