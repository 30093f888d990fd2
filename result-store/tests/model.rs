//! The ledger against plain models: lists that are searched from end to end, under any order of calls.
#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

use std::rc::Rc;

use proptest::prelude::*;
use violetgate_result_store::token::{Sealer, Token};
use violetgate_result_store::{Ending, Keys, Limits, Missing, Results, Seen};

const ONE: usize = 100;
const BYTES: usize = 450;

#[derive(Debug, Clone)]
enum Call {
    Ask(usize, u64),
    Fetch(usize),
    Delete(usize),
    Wait(u64),
}

fn call() -> impl Strategy<Value = Call> {
    prop_oneof![
        (0..=ONE, 1u64..60_000).prop_map(|(bytes, span)| Call::Ask(bytes, span)),
        (0usize..12).prop_map(Call::Fetch),
        (0usize..12).prop_map(Call::Delete),
        (1u64..20_000).prop_map(Call::Wait),
    ]
}

proptest! {
    /// A result is there for its whole time and not a moment longer, nothing but its client takes it away before,
    /// and what is held is never more than the budget.
    #[test]
    fn what_is_promised_is_kept(calls in proptest::collection::vec(call(), 1..120)) {
        let mut now = 1_000_000;
        let limits = Limits { bytes: BYTES, one: ONE, results: 6 };
        let mut results = Results::new(Sealer::new(&[7; 32]), limits, now);
        // Token, bytes, until, deleted.
        let mut model: Vec<(String, usize, u64, bool)> = Vec::new();
        for call in calls {
            match call {
                Call::Wait(span) => now += span,
                Call::Ask(bytes, span) => {
                    let live = |now: u64| model.iter().filter(move |m| !m.3 && m.2 > now);
                    // What has just ended may count until the wheel has come to it, a tick later.
                    let fits = |now: u64| {
                        live(now).map(|m| m.1).sum::<usize>() + ONE <= BYTES && live(now).count() < limits.results
                    };
                    match results.reserve(now) {
                        Ok(place) => {
                            prop_assert!(fits(now));
                            let token = results.promise(Rc::new(bytes), bytes, place, (now, 3), now + span);
                            model.push((token, bytes, now + span, false));
                        }
                        Err(wait) => {
                            prop_assert!(!fits(now.saturating_sub(2_048)));
                            prop_assert!(live(now).all(|m| m.2 + 2_048 >= now + wait.min(1)));
                        }
                    }
                    prop_assert!(results.budget().held() <= BYTES);
                }
                Call::Fetch(n) | Call::Delete(n) => {
                    let Some(m) = model.get_mut(n) else { continue };
                    let expected = if m.3 || m.2 <= now { Err(Missing::Gone) } else { Ok(m.1) };
                    let found = results.find(now, &m.0).map(|(pages, _)| *pages);
                    prop_assert_eq!(found, expected);
                    if matches!(call, Call::Delete(_)) {
                        prop_assert_eq!(results.delete(now, &m.0).is_ok(), expected.is_ok());
                        // One that has ended by itself counts until the wheel has come to it.
                        m.3 |= expected.is_ok();
                    }
                }
            }
        }
        results.expire(now + 100_000);
        prop_assert!(results.is_empty() && results.budget().held() == 0);
    }

    /// A token is what was sealed, and nothing else is one.
    #[test]
    fn no_token_but_a_sealed_one(
        (result, query, attempt, until) in any::<(u64, u64, u32, u64)>(), at in 0usize..58, noise in "\\PC{0,80}",
    ) {
        let token = Token { result, query, attempt, until };
        let sealer = Sealer::new(&[1; 32]);
        let text = sealer.seal(&token);
        prop_assert_eq!(sealer.open(&text), Some(token));
        prop_assert_eq!(Sealer::new(&[2; 32]).open(&text), None);
        prop_assert_eq!(sealer.open(&noise), None);
        let mut bent = text.clone().into_bytes();
        bent[at] = if bent[at] == b'A' { b'B' } else { b'A' };
        prop_assert_eq!(sealer.open(std::str::from_utf8(&bent).unwrap()), None);
        prop_assert_eq!(sealer.open(&text[..text.len() - 1]), None);
    }

    /// Of all queries of a key one runs at a time; what was served is replayed for the window and no longer; what
    /// may have run is run again only within the window of the first; every waiter is told once.
    #[test]
    fn keys_against_a_plain_model(calls in proptest::collection::vec((0u8..6, 0usize..4, 0u8..2, 1u64..9_000), 1..200)) {
        const WINDOW: u64 = 20_000;
        const MOST: usize = 3;
        #[derive(Clone, Default)]
        struct One {
            print: u8,
            first: u64,
            until: u64,
            running: bool,
            waiters: Vec<u32>,
            served: Option<u32>,
            again: bool,
        }
        let names = ["a", "b", "c", "d"];
        let mut model: [Option<One>; 4] = Default::default();
        let mut keys: Keys<u32, u32> = Keys::new(MOST, 3, 0);
        let (mut now, mut next) = (5_000_000u64, 0u32);
        // When keys ended: they count until the wheel has come to them, two ticks later at most.
        let mut over = [0u64; 4];
        for (what, key, print, span) in calls {
            for (m, over) in model.iter_mut().zip(&mut over) {
                if let Some(o) = m.take_if(|o| !o.running && o.until <= now) {
                    *over = o.until;
                }
            }
            let name = names[key];
            match what {
                0..=2 => {
                    next += 1;
                    let taken = model.iter().flatten().count();
                    let seen = keys.begin(now, name, [print; 16], WINDOW, next);
                    let one = &mut model[key];
                    match one {
                        None if matches!(seen, Seen::Full(_)) => {
                            let lingers = |(n, over): (usize, &u64)| n != key && *over + 2_048 > now;
                            let lingering = over.iter().enumerate().filter(|o| lingers(*o)).count();
                            prop_assert!(taken + lingering >= MOST);
                        }
                        None if taken >= MOST => prop_assert!(false, "{:?} in a full table", seen),
                        None => {
                            prop_assert_eq!(seen, Seen::Run);
                            let waiters = vec![next];
                            *one = Some(One { print, first: now, running: true, waiters, ..One::default() });
                        }
                        Some(o) if o.print != print => prop_assert_eq!(seen, Seen::Differs),
                        Some(o) if o.running && o.waiters.len() >= 3 => prop_assert_eq!(seen, Seen::Full(0)),
                        Some(o) if o.running => {
                            prop_assert_eq!(seen, Seen::Join);
                            o.waiters.push(next);
                        }
                        Some(One { served: Some(answer), .. }) => prop_assert_eq!(seen, Seen::Replay(*answer)),
                        Some(o) if now < o.first + WINDOW => {
                            prop_assert_eq!(seen, Seen::Run);
                            (o.running, o.again, o.waiters) = (true, true, vec![next]);
                        }
                        Some(_) => prop_assert_eq!(seen, Seen::Unsure),
                    }
                }
                3 => {
                    let ending = [Ending::Served(next), Ending::Unknown, Ending::Harmless][span as usize % 3].clone();
                    let told = keys.ended(now, name, ending.clone());
                    let Some(o) = model[key].as_mut().filter(|o| o.running) else {
                        prop_assert!(told.is_empty());
                        continue;
                    };
                    prop_assert_eq!(&told, &o.waiters);
                    (o.running, o.until, o.waiters) = (false, now + WINDOW, Vec::new());
                    match ending {
                        Ending::Served(answer) => o.served = Some(answer),
                        Ending::Harmless if !o.again => model[key] = None,
                        _ => {}
                    }
                }
                4 => {
                    let waiter = model[key].as_ref().and_then(|o| o.waiters.first().copied()).unwrap_or(u32::MAX);
                    let last = keys.left(now, name, &waiter);
                    let Some(o) = model[key].as_mut().filter(|o| o.running) else {
                        prop_assert!(!last);
                        continue;
                    };
                    o.waiters.retain(|w| *w != waiter);
                    prop_assert_eq!(last, o.waiters.is_empty());
                    if last {
                        (o.running, o.until) = (false, now + WINDOW);
                    }
                }
                _ => now += span,
            }
            keys.expire(now);
            let live = model.iter().flatten().filter(|o| o.running || o.until > now).count();
            prop_assert!(keys.len() >= live && keys.len() <= MOST);
        }
    }
}
