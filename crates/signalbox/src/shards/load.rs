//! What is asked of the keys of one service, and how fast its endpoints are, as reported.

use lineside::call::{KEYS_IN_BUCKET, ShardDemand, ShardLoad};
use std::collections::BTreeMap;
use std::time::Duration;
use timetable::shards::{KeyRange, LAST_KEY};
use trackbed::clock::Moment;
use trackbed::ids::{InstanceId, NodeName};

const BUCKETS: usize = (LAST_KEY as usize + 1) / KEYS_IN_BUCKET as usize;
/// Share of a new measure in what is known of an endpoint's speed or a gateway's rates.
const NEWEST: f64 = 0.5;
/// How long what was reported of a bucket counts, on average.
const RATES_LAST: f64 = 3.0;
/// Keys of which so many times more is asked than was known are taken at their newest measure.
const JUMP: f64 = 1.6;
/// A report that is older says nothing any more.
const REPORT_LASTS: Duration = Duration::from_secs(8);
/// A gateway's rate for a bucket that has fallen below this is forgotten, in requests a second.
const LEAST_RATE: f64 = 0.01;
/// Requests asked of all keys together below which nothing is moved for its load.
const FEWEST_A_SECOND: f64 = 5.0;

#[derive(Clone, Copy, Debug)]
struct Speed {
    seconds: f64,
    /// For how long what is known of the endpoint's keys was measured, in seconds; older measures count for less.
    observed: f64,
    at: Moment,
}

/// Requests a second by bucket of keys, and seconds of a slot that one takes at each endpoint.
#[derive(Clone, Debug)]
pub struct ServiceLoad {
    rates: Vec<f64>,
    /// Of these, what each gateway told, and when.
    gateways: BTreeMap<NodeName, GatewayRates>,
    speeds: BTreeMap<InstanceId, Speed>,
}

/// Requests a second that begin at one gateway, by bucket of keys.
#[derive(Clone, Debug)]
struct GatewayRates {
    rates: BTreeMap<u16, f64>,
    at: Moment,
}

impl Default for ServiceLoad {
    fn default() -> Self {
        Self { rates: vec![0.0; BUCKETS], gateways: BTreeMap::new(), speeds: BTreeMap::new() }
    }
}

fn buckets(range: KeyRange) -> std::ops::RangeInclusive<usize> {
    (range.first() / KEYS_IN_BUCKET) as usize..=(range.last() / KEYS_IN_BUCKET) as usize
}

impl ServiceLoad {
    /// Takes in what an endpoint's node measured.
    pub fn reported(&mut self, report: &ShardLoad, now: Moment) {
        let seconds = report.window_millis.max(1) as f64 / 1000.0;
        let counts: BTreeMap<usize, f64> =
            report.requests.iter().map(|(bucket, count)| (*bucket as usize, *count as f64 / seconds)).collect();
        let measured: Vec<(usize, f64)> = report
            .covered
            .iter()
            .flat_map(|range| buckets(*range).map(move |bucket| (bucket, share_of_bucket(*range, bucket).max(0.1))))
            .map(|(bucket, share)| (bucket, counts.get(&bucket).copied().unwrap_or(0.0) / share))
            .collect();
        let known: f64 = measured.iter().map(|(bucket, _)| self.rates[*bucket]).sum();
        let newest: f64 = measured.iter().map(|(_, rate)| rate).sum();
        // What was known before a service is asked for anything says nothing of what is asked now.
        let jumped = newest > known * JUMP;
        let weight = if jumped { 1.0 } else { 1.0 - (-seconds / RATES_LAST).exp() };
        for (bucket, rate) in measured {
            self.rates[bucket] += (rate - self.rates[bucket]) * weight;
        }
        self.measured(&report.instance, report.service_micros, now);
        if let Some(speed) = self.speeds.get_mut(&report.instance) {
            let before = if jumped { 0.0 } else { speed.observed * (1.0 - weight) };
            speed.observed = before + seconds;
        }
    }

    /// Takes in what a gateway saw. The rates of all gateways add up.
    pub fn demanded(&mut self, demand: &ShardDemand, now: Moment) {
        let seconds = demand.window_millis.max(1) as f64 / 1000.0;
        let mut rates: BTreeMap<u16, f64> =
            demand.requests.iter().map(|(bucket, count)| (*bucket, *count as f64 / seconds * NEWEST)).collect();
        let before = self.gateways.remove(&demand.from);
        for (bucket, rate) in before.iter().flat_map(|before| &before.rates) {
            *rates.entry(*bucket).or_default() += rate * (1.0 - NEWEST);
        }
        rates.retain(|bucket, rate| *rate > LEAST_RATE && (*bucket as usize) < BUCKETS);
        before.iter().for_each(|before| self.add(&before.rates, -1.0));
        self.add(&rates, 1.0);
        self.gateways.insert(demand.from.clone(), GatewayRates { rates, at: now });
        self.forget_silent_gateways(now);
        demand.service_micros.iter().for_each(|(instance, micros)| self.measured(instance, *micros, now));
    }

    fn add(&mut self, rates: &BTreeMap<u16, f64>, times: f64) {
        for (bucket, rate) in rates {
            let sum = &mut self.rates[*bucket as usize];
            *sum = (*sum + rate * times).max(0.0);
        }
    }

    fn forget_silent_gateways(&mut self, now: Moment) {
        let silent = |told: &GatewayRates| now.since(told.at) >= REPORT_LASTS;
        let gone: Vec<NodeName> =
            self.gateways.iter().filter(|(_, told)| silent(told)).map(|(name, _)| name.clone()).collect();
        for name in gone {
            if let Some(told) = self.gateways.remove(&name) {
                self.add(&told.rates, -1.0);
            }
        }
    }

    fn measured(&mut self, instance: &InstanceId, service_micros: u32, now: Moment) {
        if service_micros == 0 {
            return;
        }
        let newest = service_micros as f64 / 1e6;
        let known =
            self.speeds.entry(instance.clone()).or_insert(Speed { seconds: newest, observed: RATES_LAST, at: now });
        known.seconds += (newest - known.seconds) * NEWEST;
        known.at = now;
    }

    /// Forgets endpoints that are gone.
    pub fn retain(&mut self, is_there: impl Fn(&InstanceId) -> bool) {
        self.speeds.retain(|instance, _| is_there(instance));
    }

    /// Whether enough is measured to move keys by.
    pub fn is_measured(&self) -> bool {
        self.total() >= FEWEST_A_SECOND
    }

    pub fn total(&self) -> f64 {
        self.rates.iter().sum()
    }

    /// Requests a second for a range; the same for each key as long as nothing is measured.
    pub fn rate(&self, range: KeyRange) -> f64 {
        if !self.is_measured() {
            return range.length() as f64 / (LAST_KEY as f64 + 1.0);
        }
        buckets(range).map(|bucket| self.rates[bucket] * share_of_bucket(range, bucket)).sum()
    }

    /// The relative error to be reckoned with in an endpoint's load, where it has this rate of requests: that of a count
    /// over the time for which it was measured.
    pub fn error(&self, instance: &InstanceId, rate: f64) -> f64 {
        let observed = self.speeds.get(instance).map_or(RATES_LAST, |speed| speed.observed);
        1.0 / (rate * observed).max(1.0).sqrt()
    }

    /// Seconds of a slot that one request takes at an endpoint; the mean of all where that is not known.
    pub fn seconds(&self, instance: &InstanceId, now: Moment) -> f64 {
        let fresh = |speed: &&Speed| now.since(speed.at) < REPORT_LASTS;
        if let Some(known) = self.speeds.get(instance).filter(fresh) {
            return known.seconds;
        }
        let known: Vec<f64> = self.speeds.values().filter(fresh).map(|speed| speed.seconds).collect();
        match known.len() {
            0 => 1.0,
            count => known.iter().sum::<f64>() / count as f64,
        }
    }
}

/// The part of a bucket's keys that a range holds.
fn share_of_bucket(range: KeyRange, bucket: usize) -> f64 {
    let first = bucket as u16 * KEYS_IN_BUCKET;
    let whole = KeyRange::new(first, first + (KEYS_IN_BUCKET - 1)).expect("the first key is the lowest");
    let inside = whole.intersection(range).map_or(0, KeyRange::length);
    inside as f64 / KEYS_IN_BUCKET as f64
}
