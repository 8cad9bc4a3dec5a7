//! What other nodes send: Zab's messages, calls, and gossip.

use super::{Signalbox, primary, turn};
use borsh::BorshDeserialize;
use interlocking::zab::Envelope;
use lineside::call::{Answering, Ask, Reply};
use lineside::gossip::{Datagram, GossipAction};
use std::rc::Rc;
use std::time::Duration;
use trackbed::clock;

impl Answering for Signalbox {
    fn on_zab(&self, bytes: &[u8]) {
        match Envelope::try_from_slice(bytes) {
            Ok(envelope) => {
                let actions = self.zab.borrow_mut().handle(envelope, clock::now());
                turn::act(self, actions);
            }
            Err(error) => log::warn!("a member's message can't be read ({error}): it is left out"),
        }
    }

    async fn answer(self: Rc<Self>, ask: Ask) -> Reply {
        match ask {
            Ask::News { since, assured: false } => {
                let settled = self.settled.borrow();
                Reply::News { news: settled.fleet.news_since(since), zxid: settled.fleet.zxid() }
            }
            Ask::News { since, assured: true } => primary::assured_news(&self, since).await,
            Ask::Control(call) => primary::run_if_primary(&self, &call).await,
            Ask::Register(instance) => primary::register(&self, instance).await,
            Ask::SignOff(id) => primary::sign_off(&self, id).await,
            Ask::Occupancy => Reply::Occupancy(None),
        }
    }
}

pub async fn listen(node: Rc<Signalbox>) {
    loop {
        let (outcome, buffer) = node.datagrams.recv_from(Vec::with_capacity(4 << 10)).await;
        match outcome {
            Ok((count, from)) => {
                if let Ok(datagram) = Datagram::try_from_slice(&buffer[..count]) {
                    let actions = node.roster.borrow_mut().receive(from, datagram, clock::now());
                    gossip(&node, actions);
                }
            }
            // A port that nobody listens at answers so: the roster finds out by silence.
            Err(_) => monoio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

/// Carries out what the roster wants. A core node that is behind hears it from Zab, not from gossip.
pub fn gossip(node: &Signalbox, actions: Vec<GossipAction>) {
    for action in actions {
        if let GossipAction::Send { to, datagram } = action {
            let bytes = borsh::to_vec(&datagram).expect("writing to memory can't fail");
            send_datagram(node, to, bytes);
        }
    }
}

fn send_datagram(node: &Signalbox, to: std::net::SocketAddr, bytes: Vec<u8>) {
    use std::os::fd::{AsRawFd, BorrowedFd};
    // SAFETY: the socket lives as long as the node, which outlasts this call.
    let descriptor = unsafe { BorrowedFd::borrow_raw(node.datagrams.as_raw_fd()) };
    // A datagram that can't go now is one that was lost.
    let _ = trackbed::net::send_datagram(&descriptor, &bytes, to);
}
