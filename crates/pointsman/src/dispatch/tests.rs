//! A busy evening over several regions, on steps instead of time: nodes overloaded, answers lost,
//! reads repeated, regions of tenants changed on the way.

use super::Binding;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use std::rc::Rc;
use timetable::configuration::{Configuration, Routes};
use trackbed::http::Request;
use trackbed::ids::RegionName;
use trackbed::random::Random;

const REGIONS: [&str; 3] = ["north", "middle", "south"];
const NODES: usize = 12;
/// Every node has a new configuration after so many steps.
const APPLIED_WITHIN: usize = 300;

fn routes(first: &str, second: &str) -> Rc<Routes> {
    let text = format!(
        r#"{{"version":"r1","routes":{{}},"services":{{}},"tenants":{{
            "school":{{"regions":{first},"claims":[{{"hostname":"h","path_prefix":"/school/"}}]}},
            "press":{{"regions":{second}}}}}}}"#
    );
    Rc::new(Configuration::parse(text.as_bytes()).unwrap().typed().unwrap())
}

fn request(kind: u64) -> Request {
    let mut headers = HeaderMap::new();
    headers.insert("host", HeaderValue::from_static("h"));
    if kind == 1 {
        headers.insert("ferryhinge-tenant", HeaderValue::from_static("press"));
    }
    let target = if kind == 0 { "/school/x" } else { "/other/x" };
    Request {
        method: Method::GET,
        target: target.into(),
        headers,
        body: Bytes::new(),
        keeps: true,
        from: None,
        presence: Default::default(),
    }
}

fn region(node: usize) -> RegionName {
    RegionName::new(REGIONS[node % REGIONS.len()])
}

#[derive(Clone, Copy)]
struct Checks {
    plan: bool,
    receiver: bool,
}

#[derive(Default, Debug)]
struct Evening {
    handled: usize,
    calls: usize,
    violations: usize,
    twice: usize,
    late: usize,
}

struct World {
    random: Random,
    views: Vec<Rc<Routes>>,
    /// What runs at each node's endpoint: binding, and the step at which it ends.
    running: Vec<Vec<(Binding, usize)>>,
    checks: Checks,
    evening: Evening,
}

impl World {
    /// One request, or one call of an endpoint, on its way. Returns the nodes it ran at.
    fn deliver(&mut self, from: usize, request: &Request, binding: &Binding, repeats: bool, step: usize) -> Vec<usize> {
        let mut ran = Vec::new();
        let mut left: Vec<usize> =
            (0..NODES).filter(|node| !self.checks.plan || binding.permits(Some(&region(*node)))).collect();
        self.random.shuffle(&mut left);
        let told = Binding::read(&binding.write().unwrap_or_default());
        let told = if binding.is_free() { Binding::default() } else { told };
        for node in left {
            let own = Binding::of(request, &self.views[node]).unwrap();
            if !binding.permits(Some(&region(node))) {
                // Already to be sent there is to be handled there.
                self.evening.violations += 1;
            }
            if self.checks.receiver && !told.admits(&own, &region(node)) {
                continue;
            }
            if self.running[node].len() >= 4 {
                // Overloaded: not taken, and the next permitted one is asked.
                continue;
            }
            ran.push(node);
            let sender = Binding::of(request, &self.views[from]).unwrap();
            let seen = [binding, &sender, &own];
            if seen.iter().any(|view| !view.permits(Some(&region(node)))) {
                self.evening.violations += 1;
            }
            let span = 5 + self.random.below(30) as usize;
            self.running[node].push((binding.and(&own), step + span));
            self.evening.handled += 1;
            let lost = self.random.chance(0.1);
            if !lost || !repeats || ran.len() >= 2 {
                break;
            }
        }
        ran
    }

    fn step(&mut self, step: usize) {
        for running in &mut self.running {
            running.retain(|(_, end)| step < *end);
        }
        let kind = self.random.below(3);
        let from = self.random.below(NODES as u64) as usize;
        let asked = request(kind);
        let binding = Binding::of(&asked, &self.views[from]).unwrap();
        if !binding.permits(Some(&region(from))) {
            // The door's final word: it runs nowhere.
            return;
        }
        let repeats = self.random.chance(0.6);
        let ran = self.deliver(from, &asked, &binding, repeats, step);
        if !repeats && ran.len() > 1 {
            self.evening.twice += 1;
        }
        for node in ran {
            self.call(node, step);
        }
    }

    /// An endpoint calls on while it runs something: bound by all that runs there.
    fn call(&mut self, node: usize, step: usize) {
        let bound = self.running[node].iter().fold(Binding::default(), |all, (binding, _)| all.and(binding));
        if bound.is_free() {
            return;
        }
        // The endpoint's own region is always left, whatever runs there together.
        if self.checks.plan && self.checks.receiver {
            assert!(bound.permits(Some(&region(node))), "an endpoint bound out of its own region");
        }
        let asked = request(2);
        self.evening.calls += 1;
        self.deliver(node, &asked, &bound, true, step);
    }
}

fn evening(seed: u64, checks: Checks) -> Evening {
    let mut random = Random::seeded(seed);
    let plans = [
        routes(r#"["north","middle"]"#, r#"["south"]"#),
        routes(r#"["north"]"#, r#"["south","middle"]"#),
        routes(r#"["south","middle"]"#, r#"["middle"]"#),
    ];
    let mut world = World {
        views: vec![plans[0].clone(); NODES],
        running: vec![Vec::new(); NODES],
        random: Random::seeded(random.draw()),
        checks,
        evening: Evening::default(),
    };
    for (round, plan) in plans.iter().cycle().take(9).enumerate() {
        let mut due: Vec<usize> = (0..NODES).map(|_| random.below(APPLIED_WITHIN as u64) as usize).collect();
        for step in 0..1500 {
            for (node, due) in due.iter_mut().enumerate() {
                if *due == step {
                    world.views[node] = plan.clone();
                    *due = usize::MAX;
                }
            }
            if step == APPLIED_WITHIN + 40 {
                // From here on nothing of the old regions may be left running.
                world.evening.late += world
                    .running
                    .iter()
                    .enumerate()
                    .flat_map(|(node, running)| running.iter().map(move |(binding, _)| (node, binding)))
                    .filter(|(node, binding)| !binding.permits(Some(&region(*node))))
                    .count();
            }
            world.step(round * 1500 + step);
        }
    }
    world.evening
}

#[test]
fn a_busy_evening_keeps_every_tenant_in_its_regions() {
    for seed in 0..10 {
        let evening = evening(seed, Checks { plan: true, receiver: true });
        assert!(evening.handled > 5_000 && evening.calls > 1_000, "{evening:?}");
        assert_eq!((evening.violations, evening.twice, evening.late), (0, 0, 0), "{evening:?}");
    }
}

#[test]
fn without_either_side_s_check_a_violation_is_seen() {
    assert!(evening(1, Checks { plan: false, receiver: true }).violations > 0);
    assert!(evening(1, Checks { plan: true, receiver: false }).violations > 0);
    assert!(evening(1, Checks { plan: false, receiver: false }).violations > 0);
}
