//! The endpoint's beats and its sign-off, on its own machine.

use super::{FormerSender, Life, ownership};
use crate::node::{Pointsman, coordination, core_calls};
use lineside::call::{Ask, Reply};
use lineside::council::Fact;
use std::rc::Rc;
use std::time::Duration;
use timetable::fleet::{Beat, Post};
use trackbed::clock;
use trackbed::http::{BodyLimits, DoorLimits, Handler, JsonReturn, Request, Return};
use trackbed::ids::InstanceId;

pub struct BeatsDoor(pub Rc<Pointsman>);

/// The longest heartbeat, and what all that are read at once may take, in bytes.
const LONGEST_BEAT: u64 = 64 << 10;
const BEATS_ROOM: u64 = 1 << 20;
const PREFIX: &str = "/v1/instances/";
/// The endpoint moves on after a second.
const ACKNOWLEDGE_LIMIT: Duration = Duration::from_millis(900);

impl Handler for BeatsDoor {
    fn limits(&self) -> DoorLimits {
        DoorLimits { body: BodyLimits { longest: LONGEST_BEAT, room: BEATS_ROOM }, ..DoorLimits::default() }
    }

    async fn handle(self: Rc<Self>, request: Request) -> Option<Return> {
        let Some(id) = request.path().strip_prefix(PREFIX).filter(|id| !id.is_empty() && id.len() < 200) else {
            return Some(Return::fault(404, "no such resource: beats go to /v1/instances/ID"));
        };
        let id = InstanceId::new(id);
        Some(match request.method.as_str() {
            "PUT" => self.beat(id, &request).await,
            "DELETE" => self.sign_off(id).await,
            _ => Return::fault(405, "use PUT to beat and DELETE to sign off"),
        })
    }

    fn turned_away(&self, status: u16, reason: &str) -> Return {
        Return::fault(status, reason)
    }
}

fn acknowledged(body: String) -> Return {
    Return::json(200, body)
}

fn not_now() -> Return {
    Return::fault(503, "the control plane can't be reached just now: beat again")
}

impl BeatsDoor {
    fn read(&self, id: InstanceId, body: &[u8]) -> Result<Beat, &'static str> {
        let config = self.0.live.get();
        let beside = config.listen.inbound.ok_or("this node takes no inbound requests")?;
        let post = Post { node: config.node_name.clone(), beside };
        Beat::read(id, body, Some(post), &config.zone)
    }

    async fn beat(&self, id: InstanceId, request: &Request) -> Return {
        let mut beat = match self.read(id, &request.body) {
            Ok(beat) => beat,
            Err(reason) => return Return::fault(400, reason),
        };
        let arrived = clock::now();
        if !self.take_in(&mut beat) {
            return acknowledged("{}".into());
        }
        let ordered = self.0.fleet.borrow().instance(&beat.instance.id) == Some(&beat.instance);
        if ordered {
            return acknowledged(ownership::answer_to(&self.0, &beat, arrived));
        }
        let heard = beat.clone();
        let fact = match beat.instance.draining {
            true => Fact::Leaving(beat.instance.id.clone()),
            false => Fact::Seen(beat.instance.clone()),
        };
        match core_calls::ask_core(&self.0, Ask::Register(beat.instance), ACKNOWLEDGE_LIMIT).await {
            Some(Reply::Done) => acknowledged(ownership::answer_to(&self.0, &heard, arrived)),
            _ => {
                coordination::tell_fact(&self.0, fact);
                not_now()
            }
        }
    }

    /// What a beat changes here, at once. False when it is late and changes nothing.
    fn take_in(&self, beat: &mut Beat) -> bool {
        let platform = &self.0.platform;
        let now = clock::now();
        if platform.ended.borrow().contains(&beat.instance.id) {
            return false;
        }
        let mut life = platform.life.borrow_mut();
        let mut begun = None;
        match life.as_mut() {
            Some(life) if life.instance.id == beat.instance.id => {
                if beat.sequence <= life.sequence && life.sequence > 0 {
                    return false;
                }
                // What it said once of leaving holds for the rest of this life.
                beat.instance.draining |= life.leaving;
                life.sequence = beat.sequence;
                life.heard = now;
                life.leaving = beat.instance.draining;
                platform.admission.change_cold(|cold| cold.heard(beat.cold, now));
                life.lists_keys = beat.lists_keys;
                life.instance = beat.instance.clone();
            }
            _ => {
                platform.health.start_anew();
                platform.process_end.start_anew();
                match life.is_some() {
                    true => platform.ownership.start_anew(),
                    false => platform.process_end.adopt(self.0.live.get().bounds.hold_max(), now),
                }
                let ordered = self.0.fleet.borrow().instance(&beat.instance.id).is_some_and(|known| known.draining);
                beat.instance.draining |= ordered;
                if let Some(last) = life.as_ref() {
                    platform.ended.borrow_mut().push(last.instance.id.clone());
                }
                platform.lines.clear(beat.instance.address);
                begun = Some(if life.is_some() { FormerSender::Nobody } else { FormerSender::Another });
                *life = Some(Life {
                    instance: beat.instance.clone(),
                    sequence: beat.sequence,
                    heard: now,
                    leaving: beat.instance.draining,
                    lists_keys: beat.lists_keys,
                });
            }
        }
        drop(life);
        if let Some(former) = begun {
            platform.follow(&self.0.fleet.borrow(), &self.0.live.get().bounds, now);
            platform.admission.change_cold(|cold| {
                cold.begin_life(former, now);
                match former {
                    FormerSender::Nobody => cold.introduced(beat.cold, now),
                    _ => cold.heard(beat.cold, now),
                }
            });
        }
        platform.health.spoke();
        platform.process_end.heard(now);
        platform.admission.set_slots(beat.instance.slots);
        true
    }

    async fn sign_off(&self, id: InstanceId) -> Return {
        let platform = &self.0.platform;
        {
            let mut life = platform.life.borrow_mut();
            if let Some(life) = life.as_mut().filter(|life| life.instance.id == id) {
                life.leaving = true;
            }
            let mut ended = platform.ended.borrow_mut();
            if !ended.contains(&id) {
                ended.push(id.clone());
            }
            let surplus = ended.len().saturating_sub(64);
            ended.drain(..surplus);
        }
        let fact = Fact::Leaving(id.clone());
        match core_calls::ask_core(&self.0, Ask::SignOff(id), ACKNOWLEDGE_LIMIT).await {
            Some(Reply::Done) => acknowledged("{}".into()),
            _ => {
                coordination::tell_fact(&self.0, fact);
                not_now()
            }
        }
    }
}
