//! The regions' councils, which choose a coordinator while a region can't reach the core.
//!
//! A council changes by one member at a time, so that any majority of one and of the next share a
//! member; and the next change waits until majorities of both have taken the last, and until every
//! lease granted under the one before has lapsed. So no two councils that could grant apart are ever
//! in force together. A region that is cut off changes nothing: its majority is not heard.

use super::{Signalbox, primary};
use lineside::council::CouncilTiming;
use lineside::gossip::{Role, Standing};
use lineside::inspection::RoutesReport;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use timetable::fleet::{Charter, FleetChange, Member};
use trackbed::clock::{self, Moment};
use trackbed::ids::{NodeName, RegionName, ZoneName, Zxid};
use trackbed::random::stable_hash;

const EVERY: Duration = Duration::from_secs(2);
const SIZE: usize = 5;
/// A region with fewer nodes has no council.
const FEWEST: usize = 3;

/// A node that could sit in a council.
#[derive(Clone, Debug, PartialEq)]
struct Sitter {
    member: Member,
    zone: ZoneName,
    /// How far the ordered state was there when it spoke last.
    fleet: Zxid,
}

pub async fn keep(node: Rc<Signalbox>) {
    // Since when this node knows of each charter.
    let mut known: BTreeMap<RegionName, (Zxid, Moment)> = BTreeMap::new();
    loop {
        monoio::time::sleep(EVERY).await;
        let now = clock::now();
        if !node.zab.borrow().is_primary() || !primary::lease_holds(&node) {
            known.clear();
            continue;
        }
        for (region, sitters) in sitters(&node, now) {
            let charter = node.committed.borrow().fleet.charter(&region).cloned();
            if let Some(charter) = &charter {
                let entry = known.entry(region.clone()).or_insert((charter.zxid, now));
                if entry.0 != charter.zxid {
                    *entry = (charter.zxid, now);
                }
                if now.since(entry.1) < CouncilTiming::default().lease * 2 {
                    continue;
                }
            }
            if let Some(members) = next(charter.as_ref(), &sitters) {
                let names: Vec<&str> = members.iter().map(|member| member.node.as_str()).collect();
                log::info!("council of {region} becomes {}", names.join(", "));
                primary::order(&node, FleetChange::Council { region, members });
            }
        }
    }
}

/// Who was heard of late, by region.
fn sitters(node: &Signalbox, now: Moment) -> BTreeMap<RegionName, Vec<Sitter>> {
    let reports: BTreeMap<NodeName, RoutesReport> =
        node.inspector.borrow().fresh(now).map(|report| (report.node.clone(), report.clone())).collect();
    let mut sitters: BTreeMap<RegionName, Vec<Sitter>> = BTreeMap::new();
    let roster = node.roster.borrow();
    for card in roster.cards().filter(|card| card.peer.role != Role::Core && card.standing == Standing::Alive) {
        if let Some(report) = reports.get(&card.peer.name) {
            let member = Member { node: report.node.clone(), life: report.life, address: report.address };
            let sitter = Sitter { member, zone: card.peer.zone.clone(), fleet: report.fleet };
            sitters.entry(card.peer.region.clone()).or_default().push(sitter);
        }
    }
    sitters
}

/// The next council, one step from the present one; nothing when it is right, or not to be changed now.
fn next(charter: Option<&Charter>, sitters: &[Sitter]) -> Option<Vec<Member>> {
    let Some(charter) = charter else {
        let mut members = Vec::new();
        while members.len() < SIZE {
            let Some(more) = best(&members, sitters) else { break };
            members.push(more);
        }
        return (members.len() >= FEWEST).then_some(members);
    };
    let sitter_of = |member: &Member| sitters.iter().find(|sitter| sitter.member == *member);
    let has_taken = |members: &[Member]| {
        let taken = |member: &&Member| sitter_of(member).is_some_and(|sitter| sitter.fleet >= charter.zxid);
        members.iter().filter(taken).count() > members.len() / 2
    };
    if !has_taken(&charter.members) || (!charter.before.is_empty() && !has_taken(&charter.before)) {
        return None;
    }
    let gone = charter.members.iter().position(|member| sitter_of(member).is_none());
    let mut members = charter.members.clone();
    match gone {
        Some(gone) if members.len() >= SIZE.min(sitters.len()).max(FEWEST) => {
            members.remove(gone);
        }
        _ if members.len() < SIZE => members.push(best(&members, sitters)?),
        _ => return None,
    }
    Some(members)
}

/// Whoever is of the zone with the fewest members.
fn best(members: &[Member], sitters: &[Sitter]) -> Option<Member> {
    let zone_of = |member: &Member| sitters.iter().find(|sitter| sitter.member == *member).map(|sitter| &sitter.zone);
    let seated: BTreeSet<&NodeName> = members.iter().map(|member| &member.node).collect();
    let free = sitters.iter().filter(|sitter| !seated.contains(&sitter.member.node));
    free.min_by_key(|sitter| {
        let there = members.iter().filter(|member| zone_of(member) == Some(&sitter.zone)).count();
        (there, stable_hash(sitter.member.node.as_str()))
    })
    .map(|sitter| sitter.member.clone())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sitter(index: u64, life: u64, fleet: u64) -> Sitter {
        Sitter {
            member: Member {
                node: NodeName::new(&format!("n{index}")),
                life,
                address: ([10, 0, 0, index as u8], 1).into(),
            },
            zone: ZoneName::new(["a", "b", "c"][index as usize % 3]),
            fleet: Zxid::new(1, fleet),
        }
    }

    fn charter(zxid: u64, members: Vec<Member>, before: Vec<Member>) -> Charter {
        Charter { region: RegionName::new("r"), zxid: Zxid::new(1, zxid), members, before }
    }

    #[test]
    fn a_council_spans_the_zones_and_changes_by_one() {
        let all: Vec<Sitter> = (0..9).map(|index| sitter(index, 1, 10)).collect();
        let first = next(None, &all).unwrap();
        assert_eq!(first.len(), 5);
        let zones: BTreeSet<&ZoneName> =
            first.iter().map(|member| &all.iter().find(|sitter| sitter.member == *member).unwrap().zone).collect();
        assert_eq!(zones.len(), 3);
        let now = charter(5, first.clone(), Vec::new());
        assert_eq!(next(Some(&now), &all), None, "it is right as it is");
        // One starts anew: its former life makes way first, then another is taken in.
        let gone = first[2].clone();
        let later: Vec<Sitter> = all
            .iter()
            .cloned()
            .map(
                |one| if one.member == gone { Sitter { member: Member { life: 2, ..one.member }, ..one } } else { one },
            )
            .collect();
        let four = next(Some(&now), &later).unwrap();
        assert_eq!(four.len(), 4);
        assert!(!four.contains(&gone));
        let then = charter(11, four.clone(), first.clone());
        assert_eq!(next(Some(&then), &later), None, "nobody has taken it yet");
        let taken: Vec<Sitter> = later.iter().cloned().map(|one| Sitter { fleet: Zxid::new(1, 11), ..one }).collect();
        assert_eq!(next(Some(&then), &taken).unwrap().len(), 5);
    }

    #[test]
    fn a_region_that_is_not_heard_keeps_its_council() {
        let all: Vec<Sitter> = (0..9).map(|index| sitter(index, 1, 10)).collect();
        let first = next(None, &all).unwrap();
        let now = charter(5, first.clone(), Vec::new());
        let heard: Vec<Sitter> = all.iter().filter(|one| !first[..3].contains(&one.member)).cloned().collect();
        assert_eq!(next(Some(&now), &heard), None);
        assert_eq!(next(None, &all[..2]), None, "too few for a council");
    }
}
