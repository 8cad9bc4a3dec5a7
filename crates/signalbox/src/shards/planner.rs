//! What is to become of a service's keys next. A plan is data; the primary orders it.

use super::load::ServiceLoad;
use lineside::call::KEYS_IN_BUCKET;
use std::collections::BTreeMap;
use timetable::shards::{Holding, KeyRange, ShardChange, ShardMap};
use trackbed::clock::Moment;
use trackbed::ids::InstanceId;

/// A freed range is given out in parts of at most this share of an endpoint's mean load.
const LARGEST_PART: f64 = 0.25;
/// Endpoints that are busier than the coolest by no more than this take keys like it.
const AS_COOL: f64 = 0.1;
/// A move must save more requests within this time than it costs.
const PAYS_WITHIN_SECONDS: f64 = 8.0;
/// For how long nobody serves keys that change hands.
const MOVE_SECONDS: f64 = 1.0;
/// Requests begin to be late at this utilization, and at 1 so many are late or refused.
const FIRST_LATE: f64 = 0.6;
const LOST_WHEN_FULL: f64 = 0.15;
/// Ranges that one endpoint gives away at once.
const MOST_CUTS: usize = 4;
/// What is left above the mean is not worth another cut.
const SMALLEST_SURPLUS: f64 = 0.05;
/// One that holds no keys gets some from one that is busier than this.
const BUSY_ENOUGH: f64 = 0.3;
/// How much cooler than the giver the taker must be, so that keys don't go back and forth.
const COOLER: f64 = 0.8;
/// A move may come to this many times what is too much.
const MOST_OVER_SURPLUS: f64 = 1.5;
/// Ranges in other hands at once, as a share of the endpoints.
const MOVING_AT_ONCE: f64 = 0.5;
/// An endpoint with more ranges than this gets no further ones by a move.
const MOST_RANGES: usize = 24;

/// An endpoint that may hold keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    pub id: InstanceId,
    pub slots: u32,
}

struct Candidate {
    endpoint: Endpoint,
    /// Seconds of a slot that a request takes there.
    seconds: f64,
    /// Share of its slots in use, by the keys that it holds or is about to.
    utilization: f64,
    /// The relative error of that.
    error: f64,
    ranges: usize,
    is_moving: bool,
}

impl Candidate {
    fn load_of(&self, rate: f64) -> f64 {
        rate * self.seconds / self.endpoint.slots.max(1) as f64
    }
}

/// The next changes: ranges that nobody holds are given out, and where all are held, keys are moved off endpoints that
/// have too much. Nothing while there are no endpoints.
pub fn plan(map: &ShardMap, load: &ServiceLoad, endpoints: &[Endpoint], now: Moment) -> Vec<ShardChange> {
    let mut candidates = candidates(map, load, endpoints, now);
    if candidates.is_empty() {
        return Vec::new();
    }
    let grants = grants(map, load, &mut candidates);
    if !grants.is_empty() {
        return vec![ShardChange::Grant(grants)];
    }
    let moves = moves(map, load, &mut candidates);
    match moves.is_empty() {
        true => Vec::new(),
        false => vec![ShardChange::Revoke(moves)],
    }
}

fn candidates(map: &ShardMap, load: &ServiceLoad, endpoints: &[Endpoint], now: Moment) -> Vec<Candidate> {
    let mut by_owner: BTreeMap<&InstanceId, (f64, usize, bool)> = BTreeMap::new();
    for shard in map.shards() {
        let Some(owner) = shard.holding.owner() else { continue };
        let (rate, ranges, is_moving) = by_owner.entry(owner).or_default();
        match shard.holding {
            Holding::Releasing { .. } => *is_moving = true,
            _ => {
                *rate += load.rate(shard.range);
                *ranges += 1;
            }
        }
    }
    let candidate = |endpoint: &Endpoint| {
        let (rate, ranges, is_moving) = by_owner.get(&endpoint.id).copied().unwrap_or_default();
        let seconds = load.seconds(&endpoint.id, now);
        let error = load.error(&endpoint.id, rate);
        let mut candidate =
            Candidate { endpoint: endpoint.clone(), seconds, utilization: 0.0, error, ranges, is_moving };
        candidate.utilization = candidate.load_of(rate);
        candidate
    };
    endpoints.iter().map(candidate).collect()
}

fn mean_utilization(candidates: &[Candidate]) -> f64 {
    candidates.iter().map(|candidate| candidate.utilization).sum::<f64>() / candidates.len() as f64
}

/// Gives out what nobody holds: a share each where nobody holds anything, else part by part to the least loaded.
fn grants(map: &ShardMap, load: &ServiceLoad, candidates: &mut [Candidate]) -> Vec<(KeyRange, InstanceId)> {
    let free = map.shards().iter().filter(|shard| matches!(shard.holding, Holding::Free { .. }));
    let free: Vec<KeyRange> = free.map(|shard| shard.range).collect();
    if free == [KeyRange::ALL] {
        return even_shares(candidates);
    }
    let total: f64 = free.iter().map(|range| load.rate(*range)).sum();
    let mean = mean_utilization(candidates).max(candidates[0].load_of(total) / candidates.len() as f64);
    let mut grants = Vec::new();
    for range in free {
        for part in parts(range, load, &candidates[0], mean * LARGEST_PART) {
            let rate = load.rate(part);
            let after = |candidate: &Candidate| candidate.utilization + candidate.load_of(rate);
            let coolest = candidates.iter_mut().min_by(|one, other| after(one).total_cmp(&after(other)));
            let Some(coolest) = coolest else { continue };
            coolest.utilization += coolest.load_of(rate);
            coolest.ranges += 1;
            grants.push((part, coolest.endpoint.id.clone()));
        }
    }
    grants
}

/// Contiguous ranges in proportion to the endpoints' slots.
fn even_shares(candidates: &[Candidate]) -> Vec<(KeyRange, InstanceId)> {
    let slots: u64 = candidates.iter().map(|candidate| candidate.endpoint.slots.max(1) as u64).sum();
    let keys = KeyRange::ALL.length() as u64;
    let mut taken = 0;
    let mut first = 0;
    let mut shares = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        taken += candidate.endpoint.slots.max(1) as u64;
        let end = keys * taken / slots;
        if end > first {
            let range = KeyRange::new(first as u16, (end - 1) as u16).expect("the end is above the first");
            shares.push((range, candidate.endpoint.id.clone()));
        }
        first = end;
    }
    shares
}

/// A range cut at the edges of buckets into parts of about `most` utilization of an endpoint like `like`.
fn parts(range: KeyRange, load: &ServiceLoad, like: &Candidate, most: f64) -> Vec<KeyRange> {
    let mut parts = Vec::new();
    let mut first = range.first();
    let mut sum = 0.0;
    for bucket in bucket_ranges(range) {
        sum += like.load_of(load.rate(bucket));
        if sum >= most || bucket.last() == range.last() {
            parts.extend(KeyRange::new(first, bucket.last()));
            first = bucket.last().wrapping_add(1);
            sum = 0.0;
        }
    }
    parts
}

/// The parts of a range that lie in one bucket each, in order.
fn bucket_ranges(range: KeyRange) -> impl DoubleEndedIterator<Item = KeyRange> {
    let buckets = range.first() / KEYS_IN_BUCKET..=range.last() / KEYS_IN_BUCKET;
    buckets.filter_map(move |bucket| {
        let first = bucket * KEYS_IN_BUCKET;
        KeyRange::new(first, first + (KEYS_IN_BUCKET - 1))?.intersection(range)
    })
}

/// Takes keys off the hottest endpoints, as many as cooler ones have room for.
fn moves(map: &ShardMap, load: &ServiceLoad, candidates: &mut [Candidate]) -> Vec<(KeyRange, InstanceId)> {
    if !load.is_measured() {
        return Vec::new();
    }
    let releasing = map.shards().iter().filter(|shard| matches!(shard.holding, Holding::Releasing { .. })).count();
    let most = (candidates.len() as f64 * MOVING_AT_ONCE).ceil() as usize;
    let mean = mean_utilization(candidates);
    let mut moves = Vec::new();
    let mut givers: Vec<usize> = (0..candidates.len()).collect();
    givers.sort_by(|one, other| candidates[*other].utilization.total_cmp(&candidates[*one].utilization));
    for giver in givers {
        if releasing + moves.len() >= most {
            break;
        }
        if !candidates[giver].is_moving {
            give_away(map, load, candidates, giver, mean, &mut moves);
        }
    }
    moves
}

/// Cuts ranges off one endpoint until it has no more than the others, or until there is nobody to take them.
fn give_away(
    map: &ShardMap,
    load: &ServiceLoad,
    candidates: &mut [Candidate],
    giver: usize,
    mean: f64,
    moves: &mut Vec<(KeyRange, InstanceId)>,
) {
    let mut held: Vec<KeyRange> = map.held_by(&candidates[giver].endpoint.id).map(|(range, _, _)| range).collect();
    for _ in 0..MOST_CUTS {
        let Some(taker) = coolest_taker(candidates, giver) else { return };
        let (hot, cool) = (candidates[giver].utilization, candidates[taker].utilization);
        let starts_empty = candidates[taker].ranges == 0 && hot > BUSY_ENOUGH;
        let surplus = (hot - mean.max(cool)).min((hot - cool) / 2.0);
        if surplus < SMALLEST_SURPLUS || cool >= hot * COOLER {
            return;
        }
        let Some(range) = edge(&held, load, &candidates[giver], surplus) else { return };
        let rate = load.rate(range);
        let takers = candidates.iter().filter(|other| other.utilization <= mean.min(cool + AS_COOL)).count();
        if !starts_empty && !pays(&candidates[giver], &candidates[taker], takers, rate) {
            return;
        }
        held = held.iter().flat_map(|kept| kept.without(range)).collect();
        candidates[giver].utilization -= candidates[giver].load_of(rate);
        candidates[taker].utilization += candidates[taker].load_of(rate);
        candidates[taker].ranges += 1;
        moves.push((range, candidates[giver].endpoint.id.clone()));
    }
}

/// The share of requests that are late or refused at a utilization.
fn lost_share(utilization: f64) -> f64 {
    match utilization {
        low if low <= FIRST_LATE => 0.0,
        busy if busy <= 1.0 => (busy - FIRST_LATE) / (1.0 - FIRST_LATE) * LOST_WHEN_FULL,
        full => 1.0 - (1.0 - LOST_WHEN_FULL) / full,
    }
}

/// Whether a move of keys with this rate saves more than it costs. The giver is taken to have no more than is sure. What it
/// gives is spread over as many takers, each as cool as the one that is shown.
fn pays(giver: &Candidate, taker: &Candidate, takers: usize, rate: f64) -> bool {
    let lost = |candidate: &Candidate, utilization: f64| {
        let requests = utilization * candidate.endpoint.slots as f64 / candidate.seconds;
        requests * lost_share(utilization)
    };
    let hot = giver.utilization * (1.0 - giver.error);
    let saved = lost(giver, hot) - lost(giver, hot - giver.load_of(rate));
    let takers = takers.max(1) as f64;
    let after = taker.utilization + taker.load_of(rate) / takers;
    let added = takers * (lost(taker, after) - lost(taker, taker.utilization));
    (saved - added) * PAYS_WITHIN_SECONDS > rate * MOVE_SECONDS
}

fn coolest_taker(candidates: &[Candidate], giver: usize) -> Option<usize> {
    let others = (0..candidates.len()).filter(|index| *index != giver && candidates[*index].ranges < MOST_RANGES);
    others.min_by(|one, other| candidates[*one].utilization.total_cmp(&candidates[*other].utilization))
}

/// Buckets at one end of one of the giver's ranges that come closest to `surplus`, but never the whole range.
fn edge(held: &[KeyRange], load: &ServiceLoad, giver: &Candidate, surplus: f64) -> Option<KeyRange> {
    let cuts = held.iter().flat_map(|range| {
        let range = *range;
        let buckets: Vec<KeyRange> = bucket_ranges(range).collect();
        let most = buckets.len().saturating_sub(1);
        let low = cut(buckets.iter().take(most), load, giver, surplus);
        let high = cut(buckets.iter().rev().take(most), load, giver, surplus);
        [low, high]
    });
    let best = cuts.flatten().max_by(|one, other| one.1.total_cmp(&other.1));
    best.filter(|(_, sum)| *sum > 0.0).map(|(range, _)| range)
}

/// Neighbouring buckets taken in order until they come to `surplus`, with what they come to.
fn cut<'a>(
    order: impl Iterator<Item = &'a KeyRange>,
    load: &ServiceLoad,
    giver: &Candidate,
    surplus: f64,
) -> Option<(KeyRange, f64)> {
    let mut sum = 0.0;
    let mut taken: Option<KeyRange> = None;
    for bucket in order {
        let next = sum + giver.load_of(load.rate(*bucket));
        if next > surplus * MOST_OVER_SURPLUS {
            break;
        }
        sum = next;
        taken = match taken {
            None => Some(*bucket),
            Some(range) => KeyRange::new(range.first().min(bucket.first()), range.last().max(bucket.last())),
        };
        if sum >= surplus {
            break;
        }
    }
    taken.map(|range| (range, sum))
}
