//! What callers may rely on, checked over whole histories.
//!
//! The configuration and every key are checked for linearizability, by the Wing-Gong-Lowe checker of
//! `todc-utils`. Numbers, locks and watches have rules that need no search.

use crate::histories::{
    ConfigurationOperation, Histories, KeyOperation, LockEvent, NumberGiven, OrderOutcome, PutOutcome, Recorded,
    WatchTold,
};
use std::collections::BTreeMap;
use std::fmt::Debug;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

/// A rule that a history breaks.
#[derive(Debug, PartialEq, Eq)]
pub enum Violation {
    ConfigurationNotLinearizable,
    KeyNotLinearizable { key: u64 },
    NumberGivenTwice { value: u64 },
    NumberNotAbove { value: u64, floor: u64 },
    TwoHolders { lock: u64 },
    FenceNotRising { lock: u64, fence: u64 },
    WatchLeftOut { revision: u64 },
    RevisionOfTwoPuts { revision: u64 },
}

/// Checks everything that a run recorded.
pub fn check(histories: &Histories) -> Result<(), Violation> {
    check_configuration(&histories.configuration)?;
    for (key, history) in &histories.keys {
        check_key(*key, history)?;
    }
    check_numbers(&histories.numbers)?;
    for (lock, events) in &histories.locks {
        check_lock(*lock, events)?;
    }
    check_watches(&histories.watches, &histories.keys)
}

fn is_linearizable<S: Specification>(recorded: &[Recorded<S::Operation>]) -> bool
where
    S::Operation: Copy + Debug,
{
    if recorded.is_empty() {
        return true;
    }
    let mut actions = Vec::with_capacity(recorded.len() * 2);
    for (process, one) in recorded.iter().enumerate() {
        actions.push((one.called, process, Action::Call(one.operation)));
        // Without an answer it may take effect at any later time, or after everything else.
        actions.push((one.returned.unwrap_or(u64::MAX), process, Action::Response(one.operation)));
    }
    actions.sort_by_key(|(place, process, _)| (*place, *process));
    let actions = actions.into_iter().map(|(_, process, action)| (process, action)).collect();
    WGLChecker::<S>::is_linearizable(History::from_actions(actions))
}

/// One register whose writes name the version they build on.
struct ConfigurationRegister;

impl Specification for ConfigurationRegister {
    /// Version, and the order that made it.
    type State = (u64, u64);
    type Operation = ConfigurationOperation;

    fn init() -> Self::State {
        (0, 0)
    }

    fn apply(operation: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        match *operation {
            ConfigurationOperation::Read { version, order } => ((version, order) == *state, *state),
            ConfigurationOperation::Order { base, version, order, outcome } => {
                let fits = base == state.0 && version > state.0;
                match outcome {
                    OrderOutcome::Acknowledged => (fits, (version, order)),
                    OrderOutcome::Refused => (base != state.0, *state),
                    OrderOutcome::Unknown => (true, if fits { (version, order) } else { *state }),
                }
            }
        }
    }
}

/// Whether all that operators were told fits one chain of versions.
pub fn check_configuration(history: &[Recorded<ConfigurationOperation>]) -> Result<(), Violation> {
    match is_linearizable::<ConfigurationRegister>(history) {
        true => Ok(()),
        false => Err(Violation::ConfigurationNotLinearizable),
    }
}

/// A key. The revision is not known after a put that had no clear answer; then it is above `floor`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KeyState {
    value: u64,
    revision: Option<u64>,
    floor: u64,
}

impl KeyState {
    fn may_be_at(&self, revision: u64) -> bool {
        match self.revision {
            Some(known) => known == revision,
            None => revision > self.floor,
        }
    }

    fn at(&self, revision: u64) -> Self {
        Self { value: self.value, revision: Some(revision), floor: revision }
    }
}

struct KeyRegister;

impl Specification for KeyRegister {
    type State = KeyState;
    type Operation = KeyOperation;

    fn init() -> Self::State {
        KeyState { value: 0, revision: Some(0), floor: 0 }
    }

    fn apply(operation: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        match *operation {
            KeyOperation::Read { value, revision } => {
                (value == state.value && state.may_be_at(revision), state.at(revision))
            }
            KeyOperation::Put { value, enabled, outcome } => put(value, enabled, outcome, state),
        }
    }
}

fn put(value: u64, enabled: Option<u64>, outcome: PutOutcome, state: &KeyState) -> (bool, KeyState) {
    let allowed = enabled.is_none_or(|enabled| state.may_be_at(enabled));
    match outcome {
        PutOutcome::Done(revision) => {
            let above = state.revision.unwrap_or(state.floor).max(enabled.unwrap_or(0));
            (allowed && revision > above, KeyState { value, revision: Some(revision), floor: revision })
        }
        PutOutcome::Refused(revision) => {
            (state.may_be_at(revision) && enabled.is_some_and(|enabled| enabled != revision), state.at(revision))
        }
        PutOutcome::Unknown if allowed => {
            let floor = state.revision.unwrap_or(state.floor);
            (true, KeyState { value, revision: None, floor })
        }
        PutOutcome::Unknown => (true, state.clone()),
    }
}

/// Whether all that was told of a key fits one order of its puts.
pub fn check_key(key: u64, history: &[Recorded<KeyOperation>]) -> Result<(), Violation> {
    match is_linearizable::<KeyRegister>(history) {
        true => Ok(()),
        false => Err(Violation::KeyNotLinearizable { key }),
    }
}

/// Whether each number is above all that were given before it was asked for, and none was given twice.
pub fn check_numbers(history: &[Recorded<NumberGiven>]) -> Result<(), Violation> {
    for one in history {
        let value = one.operation.value;
        if history.iter().filter(|other| other.operation.value == value).count() > 1 {
            return Err(Violation::NumberGivenTwice { value });
        }
        let before = history.iter().filter(|other| other.returned.is_some_and(|returned| returned < one.called));
        let floor = before.map(|other| other.operation.value).max().unwrap_or(0);
        if value <= floor {
            return Err(Violation::NumberNotAbove { value, floor });
        }
    }
    Ok(())
}

/// Whether a lock never had two holders, and its fences rose.
pub fn check_lock(lock: u64, events: &[LockEvent]) -> Result<(), Violation> {
    let mut held = None;
    let mut highest = (0, 0);
    for event in events {
        match *event {
            LockEvent::Held { holder, fence, at, until } => {
                if held.is_some_and(|(other, end)| other != holder && end > at) {
                    return Err(Violation::TwoHolders { lock });
                }
                if fence < highest.1 || (fence == highest.1 && holder != highest.0) {
                    return Err(Violation::FenceNotRising { lock, fence });
                }
                highest = (holder, fence);
                held = Some((holder, until));
            }
            LockEvent::Released { holder } => held = held.filter(|(other, _)| *other != holder),
        }
    }
    Ok(())
}

/// Whether watches left nothing out, and no revision stands for two puts.
pub fn check_watches(
    watches: &[WatchTold],
    keys: &BTreeMap<u64, Vec<Recorded<KeyOperation>>>,
) -> Result<(), Violation> {
    let mut by_revision: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    for (key, recorded) in keys.iter().flat_map(|(key, history)| history.iter().map(move |one| (*key, one))) {
        if let KeyOperation::Put { value, outcome: PutOutcome::Done(revision), .. } = recorded.operation {
            note_revision(&mut by_revision, revision, (key, value))?;
        }
    }
    for told in watches {
        let mut expected = told.after;
        for (key, value, revision) in &told.events {
            expected += 1;
            if *revision != expected {
                return Err(Violation::WatchLeftOut { revision: expected });
            }
            note_revision(&mut by_revision, *revision, (*key, *value))?;
        }
        if told.revision != expected {
            return Err(Violation::WatchLeftOut { revision: expected + 1 });
        }
    }
    Ok(())
}

fn note_revision(known: &mut BTreeMap<u64, (u64, u64)>, revision: u64, put: (u64, u64)) -> Result<(), Violation> {
    match known.insert(revision, put) {
        Some(other) if other != put => Err(Violation::RevisionOfTwoPuts { revision }),
        _ => Ok(()),
    }
}

mod rejections {
    //! Each checker refuses a history that breaks its rule.

    use super::*;
    use trackbed::clock::Moment;

    fn recorded<T>(called: u64, returned: u64, operation: T) -> Recorded<T> {
        Recorded { called, returned: Some(returned), operation }
    }

    fn order(base: u64, version: u64, order: u64, outcome: OrderOutcome) -> ConfigurationOperation {
        ConfigurationOperation::Order { base, version, order, outcome }
    }

    #[test]
    fn an_old_configuration_is_rejected() {
        let mut history = vec![
            recorded(1, 2, order(0, 1, 1, OrderOutcome::Acknowledged)),
            recorded(3, 4, order(1, 2, 2, OrderOutcome::Acknowledged)),
            recorded(5, 6, ConfigurationOperation::Read { version: 2, order: 2 }),
        ];
        assert_eq!(check_configuration(&history), Ok(()));
        history.push(recorded(7, 8, ConfigurationOperation::Read { version: 1, order: 1 }));
        assert_eq!(check_configuration(&history), Err(Violation::ConfigurationNotLinearizable));
    }

    #[test]
    fn two_orders_confirmed_under_one_number_are_rejected() {
        let history = [
            recorded(1, 3, order(0, 1, 1, OrderOutcome::Acknowledged)),
            recorded(2, 4, order(0, 1, 2, OrderOutcome::Acknowledged)),
        ];
        assert_eq!(check_configuration(&history), Err(Violation::ConfigurationNotLinearizable));
    }

    #[test]
    fn an_order_that_was_taken_and_then_refused_is_rejected() {
        let history = [
            recorded(1, 2, order(0, 1, 1, OrderOutcome::Refused)),
            recorded(3, 4, ConfigurationOperation::Read { version: 1, order: 1 }),
        ];
        assert_eq!(check_configuration(&history), Err(Violation::ConfigurationNotLinearizable));
    }

    #[test]
    fn an_order_without_a_clear_answer_may_have_been_taken_or_not() {
        let unknown = Recorded { called: 1, returned: None, operation: order(0, 1, 1, OrderOutcome::Unknown) };
        let taken = [unknown.clone(), recorded(3, 4, ConfigurationOperation::Read { version: 1, order: 1 })];
        assert_eq!(check_configuration(&taken), Ok(()));
        let not_taken = [unknown, recorded(3, 4, ConfigurationOperation::Read { version: 0, order: 0 })];
        assert_eq!(check_configuration(&not_taken), Ok(()));
    }

    #[test]
    fn a_stale_read_of_a_key_is_rejected() {
        let put = |value, outcome| KeyOperation::Put { value, enabled: None, outcome };
        let history = [
            recorded(1, 2, put(1, PutOutcome::Done(1))),
            recorded(3, 4, put(2, PutOutcome::Done(2))),
            recorded(5, 6, KeyOperation::Read { value: 1, revision: 1 }),
        ];
        assert_eq!(check_key(0, &history[..2]), Ok(()));
        assert_eq!(check_key(0, &history), Err(Violation::KeyNotLinearizable { key: 0 }));
    }

    #[test]
    fn a_put_against_its_revision_is_rejected() {
        let history = [
            recorded(1, 2, KeyOperation::Put { value: 1, enabled: Some(0), outcome: PutOutcome::Done(1) }),
            recorded(3, 4, KeyOperation::Put { value: 2, enabled: Some(0), outcome: PutOutcome::Done(2) }),
        ];
        assert_eq!(check_key(0, &history), Err(Violation::KeyNotLinearizable { key: 0 }));
    }

    #[test]
    fn numbers_given_twice_or_falling_are_rejected() {
        let given = |called, value| recorded(called, called + 1, NumberGiven { value });
        assert_eq!(check_numbers(&[given(1, 1), given(3, 2)]), Ok(()));
        assert_eq!(check_numbers(&[given(1, 1), given(3, 1)]), Err(Violation::NumberGivenTwice { value: 1 }));
        let falling = [given(1, 2), given(3, 1)];
        assert_eq!(check_numbers(&falling), Err(Violation::NumberNotAbove { value: 1, floor: 2 }));
    }

    #[test]
    fn two_holders_and_falling_fences_are_rejected() {
        let held = |holder, fence, at, until| {
            let (at, until) = (Moment::from_micros(at), Moment::from_micros(until));
            LockEvent::Held { holder, fence, at, until }
        };
        assert_eq!(check_lock(0, &[held(1, 1, 0, 10), held(2, 2, 11, 20)]), Ok(()));
        assert_eq!(check_lock(0, &[held(1, 1, 0, 10), held(2, 2, 9, 20)]), Err(Violation::TwoHolders { lock: 0 }));
        let falling = [held(1, 2, 0, 10), held(2, 1, 11, 20)];
        assert_eq!(check_lock(0, &falling), Err(Violation::FenceNotRising { lock: 0, fence: 1 }));
        let released = LockEvent::Released { holder: 1 };
        assert_eq!(check_lock(0, &[held(1, 1, 0, 10), released, held(2, 2, 6, 20)]), Ok(()));
    }

    #[test]
    fn a_watch_that_leaves_out_a_put_is_rejected() {
        let told = |events: Vec<(u64, u64, u64)>| WatchTold { after: 1, revision: 3, events };
        let keys = BTreeMap::new();
        assert_eq!(check_watches(&[told(vec![(0, 5, 2), (0, 6, 3)])], &keys), Ok(()));
        assert_eq!(check_watches(&[told(vec![(0, 6, 3)])], &keys), Err(Violation::WatchLeftOut { revision: 2 }));
        assert_eq!(check_watches(&[told(vec![(0, 5, 2)])], &keys), Err(Violation::WatchLeftOut { revision: 3 }));
    }
}
