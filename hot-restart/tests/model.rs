//! Both ends in every order of events: words that are under way, either process killed at any step, time that runs out, a
//! call to leave. Never do both take keys; and once nothing is under way, whoever lives takes clients.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

use stateright::{Checker, Model, Property};
use violetgate_hot_restart::{Action, Message, New, Old, PATIENCE};

const PARTS: u32 = 2;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Ends {
    old: Option<Old>,
    new: Option<New>,
    /// What is under way; `None` is the end of the conversation.
    to_old: Vec<Option<Message>>,
    to_new: Vec<Option<Message>>,
    /// Whether each takes clients, and keys.
    old_takes: (bool, bool),
    new_takes: (bool, bool),
    adopted: u32,
    starts: u8,
    told_gone: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Event {
    ToOld,
    ToNew,
    KillOld,
    KillNew,
    OldWaitsTooLong,
    NewWaitsTooLong,
    Leave,
    Gone,
    StartNew,
}

/// What is wrong on purpose.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The new process takes keys as soon as it listens beside the old one.
    KeysBeside,
    /// The old process goes on taking keys once it has given all.
    KeysKept,
    /// The old process does not notice that the other has died.
    DeathUnseen,
}

struct Upgrade(Fault);

impl Upgrade {
    fn settle(&self, s: &mut Ends) {
        for action in s.old.as_mut().map(Old::actions).unwrap_or_default() {
            match action {
                Action::Say(m) | Action::Pass(m) => s.to_new.push(Some(m)),
                Action::SayPart(number) => s.to_new.push(Some(Message::Part {
                    number,
                    bytes: vec![],
                })),
                Action::SayYours => s.to_new.push(Some(Message::Yours(vec![]))),
                Action::Accept(takes) => s.old_takes.0 = takes,
                Action::Keys(takes) => s.old_takes.1 = takes || self.0 == Fault::KeysKept,
                Action::HangUp => {
                    s.to_old.clear();
                    s.to_new.push(None);
                }
                _ => panic!("not the old one's: {action:?}"),
            }
        }
        for action in s.new.as_mut().map(New::actions).unwrap_or_default() {
            match action {
                Action::Say(m) => s.to_old.push(Some(m)),
                Action::Accept(takes) => s.new_takes.0 = takes,
                Action::Keys(takes) => s.new_takes.1 = takes,
                Action::ListenBeside => s.new_takes.1 |= self.0 == Fault::KeysBeside,
                Action::Adopt(number, _) => {
                    assert_eq!(number, s.adopted);
                    s.adopted += 1;
                }
                Action::HangUp => {
                    s.to_new.clear();
                    s.to_old.push(None);
                }
                Action::Hold | Action::AdoptLast(_) => {}
                _ => panic!("not the new one's: {action:?}"),
            }
        }
        // Nobody hears what is said to the dead.
        if s.old.is_none() {
            s.to_old.clear();
        }
        if s.new.is_none() {
            s.to_new.clear();
        }
    }

    fn start(s: &mut Ends) {
        s.new = Some(New::ask(0));
        (s.adopted, s.told_gone) = (0, false);
        s.starts += 1;
    }
}

impl Model for Upgrade {
    type State = Ends;
    type Action = Event;

    fn init_states(&self) -> Vec<Ends> {
        let mut first = Ends {
            old: Some(Old::new()),
            new: None,
            to_old: vec![],
            to_new: vec![],
            old_takes: (true, true),
            new_takes: (false, false),
            adopted: 0,
            starts: 0,
            told_gone: false,
        };
        Self::start(&mut first);
        self.settle(&mut first);
        vec![first]
    }

    fn actions(&self, s: &Ends, out: &mut Vec<Event>) {
        let mut may = |event, when: bool| out.extend(when.then_some(event));
        may(Event::ToOld, !s.to_old.is_empty());
        may(Event::ToNew, !s.to_new.is_empty());
        may(Event::KillOld, s.old.is_some());
        may(Event::KillNew, s.new.is_some());
        may(
            Event::OldWaitsTooLong,
            s.old.as_ref().is_some_and(|o| o.next_tick().is_some()),
        );
        may(
            Event::NewWaitsTooLong,
            s.new
                .as_ref()
                .is_some_and(|n| n.next_tick() == Some(PATIENCE)),
        );
        may(Event::Leave, s.old.is_some());
        may(
            Event::Gone,
            s.old.is_none() && s.new.is_some() && !s.told_gone,
        );
        // Upgrades one after another.
        may(
            Event::StartNew,
            s.new.is_none() && s.old.is_some() && s.to_old.is_empty() && s.starts < 3,
        );
    }

    fn next_state(&self, before: &Ends, event: Event) -> Option<Ends> {
        let mut s = before.clone();
        match event {
            Event::ToOld => {
                let message = s.to_old.remove(0);
                let old = s.old.as_mut()?;
                match message {
                    Some(message) => old.hear(&message, PARTS, 0),
                    None if self.0 == Fault::DeathUnseen => {}
                    None => old.lost(),
                }
            }
            Event::ToNew => {
                let message = s.to_new.remove(0);
                let new = s.new.as_mut()?;
                match message {
                    Some(message) => new.hear(message, 0),
                    None => new.lost(),
                }
            }
            Event::KillOld => {
                s.old = None;
                s.old_takes = (false, false);
                s.to_new.push(None);
            }
            Event::KillNew => {
                s.new = None;
                s.new_takes = (false, false);
                s.to_old.push(None);
            }
            Event::OldWaitsTooLong => s.old.as_mut()?.tick(PATIENCE),
            Event::NewWaitsTooLong => s.new.as_mut()?.tick(PATIENCE),
            Event::Leave => s.old.as_mut()?.leave(),
            Event::Gone => {
                s.told_gone = true;
                s.new.as_mut()?.gone();
            }
            Event::StartNew => Self::start(&mut s),
        }
        self.settle(&mut s);
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never do both take keys", |_, s: &Ends| {
                !(s.old_takes.1 && s.new_takes.1)
            }),
            Property::always("whoever lives takes clients", |_, s: &Ends| {
                let still = s.to_old.is_empty() && s.to_new.is_empty();
                let alive = s.old.is_some() || s.new.is_some();
                !still || !alive || s.old_takes.0 || s.new_takes.0
            }),
            Property::always("all is given with all parts", |_, s: &Ends| {
                let owner = s.new.as_ref().is_some_and(New::is_owner);
                !owner || s.told_gone || s.adopted == PARTS
            }),
            Property::sometimes("an upgrade comes to its end", |_, s: &Ends| {
                s.new_takes == (true, true) && s.old_takes == (false, false) && s.old.is_some()
            }),
            Property::sometimes("the old one takes all back", |_, s: &Ends| {
                s.old_takes == (true, true) && s.new.is_none() && s.starts == 2
            }),
        ]
    }
}

#[test]
fn no_order_of_events_leaves_keys_to_both_or_clients_to_nobody() {
    let checked = Upgrade(Fault::None).checker().spawn_bfs().join();
    println!("{} states", checked.unique_state_count());
    checked.assert_properties();
    assert!(
        checked.unique_state_count() > 500,
        "{}",
        checked.unique_state_count()
    );
}

/// A model that can't fail shows nothing.
#[test]
fn ends_that_are_wrong_are_caught() {
    for (fault, broken) in [
        (Fault::KeysBeside, "never do both take keys"),
        (Fault::KeysKept, "never do both take keys"),
        (Fault::DeathUnseen, "whoever lives takes clients"),
    ] {
        let checked = Upgrade(fault).checker().spawn_bfs().join();
        assert!(checked.discovery(broken).is_some(), "{broken}");
    }
}

/// Other versions, a second conversation, a word that makes no sense: the old one goes on as it was.
#[test]
fn what_can_not_be_understood_changes_nothing() {
    let mut old = Old::new();
    old.hear(&Message::Hello { least: 7, most: 9 }, PARTS, 0);
    assert!(matches!(
        old.actions().as_slice(),
        [Action::Say(Message::Refuse(_)), Action::HangUp]
    ));
    assert!(old.may_begin().is_ok());
    old.hear(&Message::Hello { least: 1, most: 9 }, PARTS, 0);
    assert!(matches!(
        old.actions().as_slice(),
        [Action::Pass(Message::Offer {
            version: 1,
            parts: PARTS
        })]
    ));
    assert!(old.may_begin().is_err());
    old.hear(&Message::Holds(PARTS + 1), PARTS, 0);
    assert_eq!(old.actions(), [Action::HangUp]);
    assert!(old.may_begin().is_ok() && !old.has_given());
    let mut new = New::ask(0);
    new.actions();
    new.hear(Message::Yours(vec![]), 0);
    assert_eq!(new.actions(), [Action::ListenBeside, Action::Accept(true)]);
    assert!(!new.is_owner());
}
