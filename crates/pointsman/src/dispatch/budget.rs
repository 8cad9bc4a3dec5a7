//! This node's share of the fleet's budget for further goes.
//!
//! The fleet may make `ratio` × first goes + `slack` further goes in a window. Each node counts the
//! first goes it sent itself, so the shares of the ratio add up to the whole; the slack is split
//! among all nodes ever seen. Half of both is left unused: calls that repeated runs make count too,
//! and windows slide. A node that just started has no slack until a window has passed.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use trackbed::clock::Moment;
use trackbed::ids::ServiceName;

const USED_SHARE: f64 = 0.5;
const STEPS: u32 = 20;

#[derive(Default)]
struct Window {
    /// Step number and count. Invariant: steps rise.
    steps: VecDeque<(u64, u32)>,
    sum: u32,
}

impl Window {
    fn prune(&mut self, step: u64) {
        while self.steps.front().is_some_and(|(at, _)| at + STEPS as u64 <= step) {
            if let Some((_, count)) = self.steps.pop_front() {
                self.sum -= count;
            }
        }
    }

    fn add(&mut self, step: u64) {
        self.prune(step);
        match self.steps.back_mut() {
            Some((at, count)) if *at == step => *count += 1,
            _ => self.steps.push_back((step, 1)),
        }
        self.sum += 1;
    }
}

#[derive(Default)]
struct Account {
    first: Window,
    further: Window,
}

pub struct Budgets {
    accounts: BTreeMap<ServiceName, Account>,
    started: Moment,
}

/// The bounds in force, and among how many the slack is split.
#[derive(Clone, Copy)]
pub struct BudgetBounds {
    pub ratio: f64,
    pub slack: f64,
    pub window: Duration,
    pub nodes: usize,
}

impl Budgets {
    pub fn new(started: Moment) -> Self {
        Self { accounts: BTreeMap::new(), started }
    }

    fn step(now: Moment, window: Duration) -> u64 {
        now.micros() / (window.as_micros() as u64 / STEPS as u64).max(1)
    }

    pub fn first_go(&mut self, service: &ServiceName, now: Moment, window: Duration) {
        let step = Self::step(now, window);
        match self.accounts.get_mut(service) {
            Some(account) => account.first.add(step),
            None => self.accounts.entry(service.clone()).or_default().first.add(step),
        }
    }

    /// Takes one further go out of the share, if there is one.
    pub fn further_go(&mut self, service: &ServiceName, now: Moment, bounds: BudgetBounds) -> bool {
        let step = Self::step(now, bounds.window);
        let settled = now.since(self.started) > bounds.window;
        let account = self.accounts.entry(service.clone()).or_default();
        account.first.prune(step);
        account.further.prune(step);
        let slack = if settled { bounds.slack / bounds.nodes.max(1) as f64 } else { 0.0 };
        let allowed = USED_SHARE * (bounds.ratio * account.first.sum as f64 + slack);
        if (account.further.sum + 1) as f64 > allowed {
            return false;
        }
        account.further.add(step);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use trackbed::random::Random;

    #[test]
    fn the_fleet_keeps_to_the_budget_in_every_window() {
        let window = Duration::from_secs(10);
        let service = ServiceName::new("s");
        for seed in 0..20 {
            let mut random = Random::seeded(seed);
            let nodes = 9;
            let bounds = BudgetBounds { ratio: 0.2, slack: 56.0, window, nodes };
            let mut budgets: Vec<Budgets> = (0..nodes).map(|_| Budgets::new(Moment::from_micros(0))).collect();
            let mut firsts: Vec<u64> = Vec::new();
            let mut furthers: Vec<u64> = Vec::new();
            for tick in 0..60_000u64 {
                let now = Moment::from_micros(1_000_000 + tick * 1000);
                let node = random.below(nodes as u64) as usize;
                if random.chance(0.0002) {
                    // A node starts anew: it gets no fresh allowance.
                    budgets[node] = Budgets::new(now);
                }
                if random.chance(0.05) {
                    budgets[node].first_go(&service, now, window);
                    firsts.push(tick);
                }
                if random.chance(0.5) && budgets[node].further_go(&service, now, bounds) {
                    furthers.push(tick);
                }
            }
            for end in (10_000..60_000).step_by(250) {
                let within =
                    |times: &[u64]| times.iter().filter(|at| **at > end - 10_000 && **at <= end).count() as f64;
                let before = |times: &[u64]| {
                    times.iter().filter(|at| **at + 20_000 > end && **at + 10_000 <= end).count() as f64
                };
                let requests = within(&firsts).max(before(&firsts));
                assert!(within(&furthers) <= 0.2 * requests + 56.0, "seed {seed} at {end}");
            }
            assert!(furthers.len() > 100, "the budget is of use");
        }
    }
}
