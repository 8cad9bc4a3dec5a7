//! What other nodes send: Zab's messages, calls, and gossip.

use super::memory::MemoryShares;
use super::{Signalbox, aggregation, forecast, inspection, members, primary, shards, turn};
use borsh::BorshDeserialize;
use interlocking::zab::Envelope;
use lineside::call::{Answering, Ask, Reply};
use lineside::gossip::{Datagram, GossipAction};
use std::rc::Rc;
use std::time::Duration;
use trackbed::clock;

impl Answering for Signalbox {
    fn longest_frame(&self) -> usize {
        MemoryShares::of(self.live.get().limits.memory_mb).longest_frame()
    }

    fn on_zab(&self, bytes: &[u8]) {
        match Envelope::decode(bytes) {
            Ok(envelope) => {
                let actions = self.zab.borrow_mut().handle(envelope, clock::now());
                turn::act(self, actions);
            }
            Err(error) => self.complaints.tell(&error),
        }
    }

    fn on_release(&self, _: u64, _: u8, _: Duration) {}

    async fn answer(self: Rc<Self>, ask: Ask) -> Reply {
        match ask {
            Ask::News { since, assured: false } => {
                let committed = self.committed.borrow();
                Reply::News { news: committed.fleet.news_since(since), zxid: committed.fleet.zxid() }
            }
            Ask::News { since, assured: true } => primary::assured_news(&self, since).await,
            Ask::Knock => Reply::Done,
            Ask::Whole => primary::assured_whole(&self).await,
            Ask::Routes(report) => inspection::receive_report(&self, report),
            Ask::RoutesHeard(reports) => inspection::receive_forwarded_reports(&self, reports),
            Ask::RoutesVerdicts => match inspection::verdicts(&self) {
                Some(text) => Reply::Text(text),
                None => Reply::NotNow("this node is not the primary".into()),
            },
            Ask::Grant(_) | Ask::Order(_) | Ask::Fact(_) => Reply::NotNow("a core node sits in no council".into()),
            Ask::RoutesDetail { .. } => Reply::NotNow("a core node routes nothing".into()),
            Ask::Counted(counted) => aggregation::counted(&self, counted),
            Ask::Parts { from, parts, known, sealed, wall_millis } => {
                forecast::record_member_time(&self, &from, wall_millis);
                aggregation::parts(&self, &from, parts, known, sealed)
            }
            Ask::Report { known } => aggregation::report(&self, known),
            Ask::Forecast { service } => match forecast::report(&self, service.as_deref()) {
                Some(text) => Reply::Text(text),
                None => Reply::NotNow("this node is not the primary".into()),
            },
            Ask::Permit(_) => Reply::NotNow("no endpoint is at home at a core node".into()),
            Ask::Assure => primary::assure(&self),
            Ask::Control(call) => primary::run_if_primary(&self, call).await,
            Ask::Register(instance) => primary::register(&self, instance).await,
            Ask::SignOff(id) => primary::sign_off(&self, id).await,
            Ask::HandOver { member, limit } => {
                members::answer_hand_over(&self, member, Duration::from_millis(limit as u64)).await
            }
            Ask::EndpointSilent(endpoint) => shards::endpoint_silent(&self, endpoint).await,
            Ask::ShardDemand(demand) => shards::demand(&self, demand).await,
            Ask::FreshNews { since } => primary::fresh_news(&self, since).await,
            Ask::ShardLoad(load) => shards::report(&self, load).await,
            Ask::ShardRelease(release) => shards::release(&self, release).await,
            Ask::Heard { from, heard } => {
                self.heartbeats.borrow_mut().reported(from, heard, clock::now());
                Reply::Done
            }
        }
    }
}

const STREAM_PROBE_LIMIT: Duration = Duration::from_millis(900);

pub async fn listen(node: Rc<Signalbox>) {
    loop {
        let (bytes, from) = node.datagrams.receive().await;
        if let Ok(datagram) = Datagram::try_from_slice(&bytes) {
            let actions = node.roster.borrow_mut().receive(from, datagram, clock::now());
            gossip(&node, actions);
        }
    }
}

/// Carries out what the roster wants. A core node that is behind hears it from Zab, not from gossip.
pub fn gossip(node: &Signalbox, actions: Vec<GossipAction>) {
    for action in actions {
        match action {
            GossipAction::Send { to, datagram } => {
                let bytes = borsh::to_vec(&datagram).expect("writing to memory can't fail");
                node.datagrams.send(&bytes, to);
            }
            GossipAction::Knock { peer } => node.to_probe_over_stream.borrow_mut().push(peer),
            GossipAction::Ahead { .. } => {}
        }
    }
}

/// Probes over a stream the peers that leave datagrams unanswered.
pub fn probe_over_stream(node: &Rc<Signalbox>) {
    for peer in std::mem::take(&mut *node.to_probe_over_stream.borrow_mut()) {
        let node = node.clone();
        monoio::spawn(async move {
            if node.caller.call(peer.address, Ask::Knock, STREAM_PROBE_LIMIT).await == Ok(Reply::Done) {
                node.roster.borrow_mut().vouch(&peer.name, clock::now());
            }
        });
    }
}
