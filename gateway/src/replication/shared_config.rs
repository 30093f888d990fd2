//! What members agree on, as keys of the state, and what follows for this instance. It does no I/O and keeps no time:
//! a view is read from a state, and the moves between two views are what has to be done.
//!
//! | key | holds |
//! | --- | --- |
//! | `cordons/ENGINE` | an engine is called out: who by |
//! | `drains/MEMBER`, `drains/FRONT_END` | an instance is drained: who by |
//! | `settings/current` | the version of the agreed settings that holds |
//! | `settings/versions/N` | the text of one |
//! | `members/MEMBER` | where a member is, and by what number its disk goes |
//! | `engines/ENGINE`, `list` | the engine list's last known state, and up to which event |
//!
//! It must never decide about a request, nor about an engine beyond what operators called for.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use violetgate_replicated_state::{
    Condition, Entries, Mutation, Revision, Txn, MAX_TXN_LENGTH, MAX_VALUE_BYTES,
};

use crate::settings::{SettingsError, SharedSettings};

/// Keys under these have a meaning, and are changed by calls of their own.
pub const RESERVED: [&str; 6] = [
    "cordons/",
    "drains/",
    "settings/",
    "members/",
    "engines/",
    "list",
];
/// Versions of the settings that are kept.
const VERSIONS: u64 = 50;

/// Where a member is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberAddress {
    /// For other members.
    pub listen: SocketAddr,
    /// For operators.
    pub api: SocketAddr,
    /// By what number its disk goes, once it has come.
    pub born: Option<u64>,
}

/// Who called for something.
#[derive(Debug, Serialize, Deserialize)]
struct By {
    by: String,
}

/// What a state means for one instance.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SharedConfig {
    /// Engines that are called out.
    pub cordons: BTreeSet<String>,
    /// This instance is drained.
    pub drained: bool,
    /// The agreed settings: version and text.
    pub settings: Option<(u64, String)>,
    /// The members that have told where they are.
    pub members: BTreeMap<u64, MemberAddress>,
}

/// What has to be done so that an instance is as agreed.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigChange {
    /// An engine is called out, or back.
    Cordon(String, bool),
    /// This instance is drained, or takes clients again.
    Drain(bool),
    /// Other settings hold.
    Settings(Option<(u64, String)>),
    /// Members are elsewhere, or others.
    Members,
}

fn below(state: &impl Entries, prefix: &'static str) -> impl Iterator<Item = (String, Vec<u8>)> {
    let listed = state.entries_with_prefix(prefix).into_iter();
    listed.map(|entry| {
        let rest = entry.key.get(prefix.len()..).unwrap_or_default();
        (rest.to_owned(), entry.value)
    })
}

fn number(state: &impl Entries, key: &str) -> Option<u64> {
    std::str::from_utf8(state.entry(key)?.value)
        .ok()?
        .parse()
        .ok()
}

/// The text of a version of the settings.
#[must_use]
pub fn version(state: &impl Entries, version: u64) -> Option<String> {
    let text = state.entry(&version_key(version))?.value;
    String::from_utf8(text.to_vec()).ok()
}

/// The version of the settings that holds; 0: none does.
#[must_use]
pub fn current_version(state: &impl Entries) -> u64 {
    number(state, "settings/current").unwrap_or(0)
}

/// The versions that are kept, each with the revision that made it, oldest first.
#[must_use]
pub fn versions(state: &impl Entries) -> Vec<(u64, Revision)> {
    let prefix = "settings/versions/";
    let listed = state.entries_with_prefix(prefix);
    listed
        .iter()
        .filter_map(|entry| Some((entry.key.get(prefix.len()..)?.parse().ok()?, entry.revision)))
        .collect()
}

/// The version that a revision made.
#[must_use]
pub fn version_of(state: &impl Entries, revision: Revision) -> Option<u64> {
    versions(state)
        .into_iter()
        .find(|(_, at)| *at == revision)
        .map(|(version, _)| version)
}

fn version_key(version: u64) -> String {
    format!("settings/versions/{version:08}")
}

impl SharedConfig {
    /// What agreed state means for an instance: a member by its id, a front end that subscribes by its name.
    #[must_use]
    pub fn read(state: &impl Entries, me: &str) -> Self {
        let current = number(state, "settings/current");
        let record = |(id, bytes): (String, Vec<u8>)| {
            Some((id.parse().ok()?, serde_json::from_slice(&bytes).ok()?))
        };
        SharedConfig {
            cordons: below(state, "cordons/").map(|(name, _)| name).collect(),
            drained: state.entry(&format!("drains/{me}")).is_some(),
            settings: current.and_then(|n| Some((n, version(state, n)?))),
            members: below(state, "members/").filter_map(record).collect(),
        }
    }

    /// What has to be done where this held and `now` holds.
    #[must_use]
    pub fn moves(&self, now: &SharedConfig) -> Vec<ConfigChange> {
        // What is out comes first: nothing may be sent to it in between.
        let out = now
            .cordons
            .difference(&self.cordons)
            .map(|c| ConfigChange::Cordon(c.clone(), true));
        let back = self
            .cordons
            .difference(&now.cordons)
            .map(|c| ConfigChange::Cordon(c.clone(), false));
        let mut moves: Vec<_> = out.chain(back).collect();
        if self.drained != now.drained {
            moves.push(ConfigChange::Drain(now.drained));
        }
        if self.settings != now.settings {
            moves.push(ConfigChange::Settings(now.settings.clone()));
        }
        if self.members != now.members {
            moves.push(ConfigChange::Members);
        }
        moves
    }

    /// Where members are: as this instance's own file has it, else as they told.
    #[must_use]
    pub fn addresses(&self, own: &BTreeMap<u64, SocketAddr>) -> BTreeMap<u64, SocketAddr> {
        let told = self.members.iter().map(|(id, r)| (*id, r.listen));
        told.chain(own.iter().map(|(id, at)| (*id, *at))).collect()
    }

    /// By what numbers members' disks go.
    #[must_use]
    pub fn disks(&self) -> BTreeMap<u64, u64> {
        self.members
            .iter()
            .filter_map(|(id, r)| Some((*id, r.born?)))
            .collect()
    }
}

fn put(key: String, value: impl Into<Vec<u8>>) -> Mutation {
    Mutation::Put {
        key,
        value: value.into(),
        lease: None,
    }
}

fn by(who: &str) -> Vec<u8> {
    serde_json::to_vec(&By { by: who.to_owned() }).unwrap_or_default()
}

fn marked(key: String, on: bool, who: &str) -> Txn {
    let op = if on {
        put(key, by(who))
    } else {
        Mutation::Delete(key)
    };
    Txn {
        then: vec![op],
        ..Txn::default()
    }
}

/// Calls an engine out, or back.
#[must_use]
pub fn cordon(engine: &str, out: bool, who: &str) -> Txn {
    marked(format!("cordons/{engine}"), out, who)
}

/// Drains an instance, or lets it take clients again.
#[must_use]
pub fn drain(instance: &str, on: bool, who: &str) -> Txn {
    marked(format!("drains/{instance}"), on, who)
}

/// Records where a member is: held only while no other disk goes by its id.
#[must_use]
pub fn member(state: &impl Entries, id: u64, record: &MemberAddress) -> Option<Txn> {
    let key = format!("members/{id}");
    let held = state.entry(&key);
    let before: Option<MemberAddress> =
        held.and_then(|current| serde_json::from_slice(current.value).ok());
    if before.as_ref() == Some(record) {
        return None;
    }
    let changed = held.map_or(0, |current| current.revision);
    // Another disk under the same id changes nothing: the condition can't hold.
    let foreign = before
        .and_then(|b| b.born)
        .is_some_and(|born| Some(born) != record.born);
    let checks = vec![Condition::RevisionIs(
        key.clone(),
        if foreign { Revision::MAX } else { changed },
    )];
    Some(Txn {
        conditions: checks,
        then: vec![put(key, serde_json::to_vec(record).ok()?)],
        ..Txn::default()
    })
}

/// Why settings are not proposed.
#[derive(Debug, PartialEq, Eq)]
pub enum SettingsRejection {
    /// What is wrong with the text, by line.
    Problems(Vec<SettingsError>),
    /// It is too long.
    TooLong,
    /// Another version holds than the one that was to be replaced.
    Replaced(u64),
    /// That version is not kept.
    Unknown,
}

/// Makes a text the settings that hold, as a new version, where `expected` still holds (0: none does). The version
/// goes with the change.
///
/// # Errors
///
/// It can't be used, and is proposed to nobody.
pub fn settings(
    state: &impl Entries,
    text: &str,
    expected: Option<u64>,
) -> Result<(u64, Txn), SettingsRejection> {
    SharedSettings::parse(text).map_err(SettingsRejection::Problems)?;
    if text.len() > MAX_VALUE_BYTES {
        return Err(SettingsRejection::TooLong);
    }
    let current = current_version(state);
    if expected.is_some_and(|e| e != current) {
        return Err(SettingsRejection::Replaced(current));
    }
    let changed = state
        .entry("settings/current")
        .map_or(0, |current| current.revision);
    let next = current + 1;
    let mut then = vec![
        put(version_key(next), text),
        put("settings/current".to_owned(), next.to_string()),
    ];
    if let Some(old) = next.checked_sub(VERSIONS) {
        then.push(Mutation::Delete(version_key(old)));
    }
    // Of two that are proposed at once, one is told that it was not the next.
    let checks = vec![Condition::RevisionIs(
        "settings/current".to_owned(),
        changed,
    )];
    Ok((
        next,
        Txn {
            conditions: checks,
            then,
            ..Txn::default()
        },
    ))
}

/// Makes an earlier version hold again, as a new one.
///
/// # Errors
///
/// It is not kept, or can't be used any more.
pub fn roll_back(state: &impl Entries, to: u64) -> Result<(u64, Txn), SettingsRejection> {
    let text = version(state, to).ok_or(SettingsRejection::Unknown)?;
    settings(state, &text, None)
}

/// The engine list as the event bus told it: the last event's number, and engines by name in the bus's own words.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineListSnapshot {
    /// The number.
    pub last: u64,
    /// The engines.
    pub engines: BTreeMap<String, Value>,
}

/// The list that the members have kept.
#[must_use]
pub fn list(state: &impl Entries) -> Option<EngineListSnapshot> {
    let engine =
        |(name, bytes): (String, Vec<u8>)| Some((name, serde_json::from_slice(&bytes).ok()?));
    Some(EngineListSnapshot {
        last: number(state, "list")?,
        engines: below(state, "engines/").filter_map(engine).collect(),
    })
}

/// Up to which event the members have kept the list.
#[must_use]
pub fn list_last(state: &impl Entries) -> Option<u64> {
    number(state, "list")
}

/// The next change that makes the kept list this one, if it is newer; a long one takes several. The number goes in
/// with the last, so that what is kept in between is followed from the number before.
#[must_use]
pub fn keep_list(state: &impl Entries, now: &EngineListSnapshot) -> Option<Txn> {
    let kept = number(state, "list");
    if kept.is_some_and(|last| last >= now.last) {
        return None;
    }
    let held: BTreeMap<String, Vec<u8>> = below(state, "engines/").collect();
    let wanted: BTreeMap<_, _> = now
        .engines
        .iter()
        .filter_map(|(k, v)| Some((k.clone(), serde_json::to_vec(v).ok()?)))
        .collect();
    let gone = held
        .keys()
        .filter(|k| !wanted.contains_key(*k))
        .map(|k| Mutation::Delete(format!("engines/{k}")));
    let new = wanted.iter().filter(|(k, v)| held.get(*k) != Some(*v));
    let new = new.map(|(k, v)| put(format!("engines/{k}"), v.clone()));
    let mut then: Vec<_> = gone.chain(new).take(MAX_TXN_LENGTH).collect();
    if then.len() < MAX_TXN_LENGTH {
        then.push(put("list".to_owned(), now.last.to_string()));
    }
    let changed = state.entry("list").map_or(0, |list| list.revision);
    Some(Txn {
        conditions: vec![Condition::RevisionIs("list".to_owned(), changed)],
        then,
        ..Txn::default()
    })
}

#[cfg(test)]
#[allow(clippy::unwrap_used)]
mod tests {
    use super::*;
    use violetgate_replicated_state::{Command, Operation, Outcome, Store};

    fn apply(store: &mut Store, txn: Txn) -> bool {
        let command = Command {
            request_id: None,
            actor: "t".to_owned(),
            time: 0,
            operation: Operation::Txn(txn),
        };
        matches!(
            store.apply(&command),
            Outcome::Applied {
                conditions_held: true,
                ..
            }
        )
    }

    /// Calls out come before calls back, and what is as it was makes no move.
    #[test]
    fn moves_lead_from_one_view_to_the_next() {
        let mut store = Store::default();
        let mut view = SharedConfig::read(&store, "2");
        let mut step = |txn| {
            assert!(apply(&mut store, txn));
            let now = SharedConfig::read(&store, "2");
            let moves = view.moves(&now);
            view = now;
            moves
        };
        assert_eq!(
            step(cordon("e-1", true, "op")),
            [ConfigChange::Cordon("e-1".to_owned(), true)]
        );
        assert_eq!(step(cordon("e-1", true, "other")), []);
        let both = Txn {
            then: [
                cordon("e-1", false, "op").then,
                cordon("e-2", true, "op").then,
            ]
            .concat(),
            ..Txn::default()
        };
        let moves = [
            ConfigChange::Cordon("e-2".to_owned(), true),
            ConfigChange::Cordon("e-1".to_owned(), false),
        ];
        assert_eq!(step(both), moves);
        assert_eq!(step(drain("1", true, "op")), [], "another instance");
        assert_eq!(step(drain("2", true, "op")), [ConfigChange::Drain(true)]);
        assert_eq!(step(drain("2", false, "op")), [ConfigChange::Drain(false)]);
    }

    /// Settings are checked before they are proposed; of two at once one holds; an earlier version comes back as a new
    /// one, and the oldest go.
    #[test]
    fn settings_have_versions() {
        let mut store = Store::default();
        let text = |n: u64| format!("rest {{\n  results = {n}\n}}\n");
        assert!(matches!(
            settings(&store, "rest { results = 0 }", None),
            Err(SettingsRejection::Problems(_))
        ));
        let (one, first) = settings(&store, &text(1), Some(0)).unwrap();
        let (_, rival) = settings(&store, &text(9), Some(0)).unwrap();
        assert!(one == 1 && apply(&mut store, first) && !apply(&mut store, rival));
        assert_eq!(
            settings(&store, &text(2), Some(0)),
            Err(SettingsRejection::Replaced(1))
        );
        for n in 2..=VERSIONS + 1 {
            let (version, txn) = settings(&store, &text(n), Some(n - 1)).unwrap();
            assert!(version == n && apply(&mut store, txn));
        }
        assert_eq!(roll_back(&store, 1), Err(SettingsRejection::Unknown));
        let (version, txn) = roll_back(&store, 2).unwrap();
        assert!(apply(&mut store, txn));
        assert_eq!(
            SharedConfig::read(&store, "1").settings,
            Some((version, text(2)))
        );
    }

    /// A list of any length is kept in steps, its number last; an older one changes nothing.
    #[test]
    fn a_list_is_kept_in_steps() {
        let mut store = Store::default();
        let engines = |n: u64, of: u64| {
            (0..n)
                .map(|e| (format!("e-{e}"), Value::from(of)))
                .collect()
        };
        for (now, steps) in [
            (
                EngineListSnapshot {
                    last: 7,
                    engines: engines(300, 1),
                },
                3,
            ),
            (
                EngineListSnapshot {
                    last: 8,
                    engines: engines(2, 1),
                },
                3,
            ),
            (
                EngineListSnapshot {
                    last: 9,
                    engines: engines(2, 5),
                },
                1,
            ),
        ] {
            let before = list(&store).map(|l| l.last);
            for step in 1..=steps {
                assert_eq!(list(&store).map(|l| l.last), before, "step {step}");
                let txn = keep_list(&store, &now).unwrap();
                assert!(apply(&mut store, txn));
            }
            assert_eq!((list(&store), keep_list(&store, &now)), (Some(now), None));
        }
        assert_eq!(keep_list(&store, &EngineListSnapshot::default()), None);
    }

    /// A member's record follows its address, and not another disk.
    #[test]
    fn a_record_stays_with_its_disk() {
        let mut store = Store::default();
        let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let record = |port, born| MemberAddress {
            listen: at(port),
            api: at(port + 1),
            born,
        };
        for (port, born, held) in [
            (1, None, true),
            (1, Some(5), true),
            (3, Some(5), true),
            (3, Some(6), false),
        ] {
            let txn = member(&store, 4, &record(port, born)).unwrap();
            assert_eq!(apply(&mut store, txn), held, "{port} {born:?}");
        }
        assert_eq!(member(&store, 4, &record(3, Some(5))), None);
        let view = SharedConfig::read(&store, "1");
        assert_eq!(view.disks(), BTreeMap::from([(4, 5)]));
        assert_eq!(
            view.addresses(&BTreeMap::from([(4, at(9))])),
            BTreeMap::from([(4, at(9))])
        );
    }
}
