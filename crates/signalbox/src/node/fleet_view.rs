//! The fleet as this node sees it, for operators and for `gauge`. Read only, answered here and now.

use super::Signalbox;
use lineside::gossip::{Role, Standing};
use std::fmt::Write;
use trackbed::logs::escape;

pub const PATH: &str = "/v1/fleet";

fn role(role: Role) -> &'static str {
    match role {
        Role::Core => "core",
        Role::Beside => "beside",
        Role::Gate => "gate",
    }
}

fn standing(standing: Standing) -> &'static str {
    match standing {
        Standing::Alive => "alive",
        Standing::Suspect => "suspect",
        Standing::Leaving => "leaving",
        Standing::Dead => "dead",
    }
}

fn list(items: impl Iterator<Item = String>) -> String {
    format!("[{}]", items.collect::<Vec<_>>().join(","))
}

/// `verdicts`: what the primary makes of proxies' tables, where a majority stands behind it.
pub fn write(node: &Signalbox, verdicts: Option<String>) -> String {
    let (zab, roster, committed) = (node.zab.borrow(), node.roster.borrow(), node.committed.borrow());
    let fleet = &committed.fleet;
    let primary = zab.primary().map(|primary| format!("\"{}\"", primary.address)).unwrap_or_else(|| "null".into());
    let members = list(zab.voters().iter().map(|voter| {
        let own = voter.id == zab.me().id;
        format!("{{\"member\":\"{}\",\"address\":\"{}\",\"asked\":{own}}}", voter.id, voter.address)
    }));
    let nodes = list(roster.cards().map(|card| {
        let peer = &card.peer;
        let (zxid, epoch) = roster.told_by(&peer.name).unwrap_or_default();
        format!(
            "{{\"node_name\":\"{}\",\"incarnation\":{},\"role\":\"{}\",\"standing\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"region\":\"{}\",\"fleet\":\"{zxid}\",\"configuration\":\"{epoch}\"}}",
            escape(peer.name.as_str()),
            peer.incarnation,
            role(peer.role),
            standing(card.standing),
            peer.address,
            escape(peer.zone.as_str()),
            escape(peer.region.as_str()),
        )
    }));
    let endpoints = list(fleet.instances().map(|instance| {
        let occupancy = roster.occupancy_of(&instance.node).filter(|(occupancy, _)| occupancy.instance == instance.id);
        let mut text = format!(
            "{{\"instance_id\":\"{}\",\"service_name\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"node_name\":\"{}\",\"capacity_slots\":{},\"draining\":{}",
            escape(instance.id.as_str()),
            escape(instance.service.as_str()),
            instance.address,
            escape(instance.zone.as_str()),
            escape(instance.node.as_str()),
            instance.slots,
            instance.draining,
        );
        if let Some((occupancy, _)) = occupancy {
            let seconds = occupancy.service_micros as f64 / 1e6;
            let _ = write!(text, ",\"running\":{},\"queued\":{},\"service_s\":{seconds}", occupancy.running, occupancy.queued);
        }
        text.push('}');
        text
    }));
    let evacuated = list(fleet.evacuations().iter().map(|(zone, _)| format!("\"{}\"", escape(zone.as_str()))));
    let (datagrams, calls, replication) = (node.datagrams.tally(), node.caller.tally(), node.replication.tally());
    let counters = format!(
        "\"datagrams_sent\":{},\"datagram_bytes_sent\":{},\"calls_sent\":{},\"call_bytes_sent\":{},\"nodes_collected\":{}",
        datagrams.sent,
        datagrams.sent_bytes,
        calls.sent + replication.sent,
        calls.sent_bytes + replication.sent_bytes,
        node.aggregation.collector.borrow().nodes(),
    );
    format!(
        "{{\"primary\":{primary},\"majority\":{},{counters},\"zab_epoch\":{},\"fleet\":\"{}\",\"configuration\":\"{}\",\"members\":{members},\"nodes\":{nodes},\"endpoints\":{endpoints},\"evacuated\":{evacuated},\"proxies\":{}}}",
        zab.has_majority(trackbed::clock::now()),
        zab.epoch(),
        fleet.zxid(),
        fleet.epoch(),
        verdicts.as_deref().unwrap_or("null"),
    )
}
