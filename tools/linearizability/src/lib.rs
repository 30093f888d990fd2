//! Whether what clients saw of one key fits one order of all calls (it is linearizable): a checker after Wing and Gong.
//!
//! It does no I/O. It must never pass a history because it is long: what it takes is bounded, and told.

use std::collections::HashSet;

/// The most deeds of one history.
pub const MOST: usize = 128;

/// What a client does to a key, which holds a number or nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Call {
    /// It sets it.
    Put(u64),
    /// From, to, and whether it did, if that is known.
    Cas(u64, u64, Option<bool>),
    /// What it saw.
    Get(Option<u64>),
}

/// One call, with the time in which it took effect.
#[derive(Debug, Clone)]
pub struct Deed {
    /// The key.
    pub key: u64,
    /// The call.
    pub call: Call,
    /// When it began, in microseconds.
    pub began: u64,
    /// `None`: its fate is not known, and it may take effect at any time after it began, or never.
    pub ended: Option<u64>,
}

/// The deeds at one key that are checked: the first ones, by their beginnings.
#[must_use]
pub fn first(history: &[Deed], key: u64) -> Vec<Deed> {
    let mut deeds: Vec<_> = history.iter().filter(|d| d.key == key).cloned().collect();
    deeds.sort_by_key(|d| d.began);
    deeds.truncate(MOST);
    deeds
}

/// Whether the deeds at one key fit one order: each takes effect at some moment between its beginning and its end.
///
/// # Panics
///
/// There are more than [`MOST`].
#[must_use]
pub fn fits(deeds: &[Deed]) -> bool {
    fn go(
        deeds: &[Deed],
        done: u128,
        value: Option<u64>,
        seen: &mut HashSet<(u128, Option<u64>)>,
    ) -> bool {
        let open: Vec<_> = deeds
            .iter()
            .enumerate()
            .filter(|(n, _)| done >> n & 1 == 0)
            .collect();
        if open.iter().all(|(_, d)| d.ended.is_none()) {
            return true;
        }
        if !seen.insert((done, value)) {
            return false;
        }
        // The next one can't have begun after another had ended that is still to come.
        let end = open.iter().filter_map(|(_, d)| d.ended).min();
        open.iter()
            .filter(|(_, d)| end.is_none_or(|e| d.began <= e))
            .any(|(n, deed)| {
                let next = match deed.call {
                    Call::Put(new) => Some(Some(new)),
                    Call::Cas(old, new, held) => {
                        let holds = value == Some(old);
                        held.is_none_or(|h| h == holds).then_some(if holds {
                            Some(new)
                        } else {
                            value
                        })
                    }
                    Call::Get(got) => (got == value).then_some(value),
                };
                next.is_some_and(|next| go(deeds, done | 1 << n, next, seen))
            })
    }
    assert!(deeds.len() <= MOST, "{} deeds, {MOST} at most", deeds.len());
    go(deeds, 0, None, &mut HashSet::new())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn deed(call: Call, began: u64, ended: u64) -> Deed {
        Deed {
            key: 0,
            call,
            began,
            ended: Some(ended),
        }
    }

    /// What fits no order is noticed: an old value after a new one was told, and two that both exchange one value.
    #[test]
    fn what_fits_no_order_is_noticed() {
        let stale = [
            deed(Call::Put(1), 0, 1),
            deed(Call::Put(2), 2, 3),
            deed(Call::Get(Some(1)), 4, 5),
        ];
        assert!(!fits(&stale) && fits(&stale[..2]));
        let mut both = vec![
            deed(Call::Cas(1, 2, Some(true)), 2, 9),
            deed(Call::Cas(1, 3, Some(true)), 2, 9),
        ];
        both.push(deed(Call::Put(1), 0, 1));
        assert!(!fits(&both));
        // One whose fate is not known may have taken effect, or not.
        let unknown = Deed {
            ended: None,
            ..deed(Call::Put(7), 2, 0)
        };
        for seen in [1, 7] {
            assert!(fits(&[
                deed(Call::Put(1), 0, 1),
                unknown.clone(),
                deed(Call::Get(Some(seen)), 5, 6)
            ]));
        }
    }
}
