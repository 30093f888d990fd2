//! Tests that the membership core sends and reports exactly the same as when these digests were
//! recorded. For each scenario, the test encodes all actions of a fleet in order and compares one
//! FNV-1a hash of them.

#![allow(
    clippy::unwrap_used,
    clippy::indexing_slicing,
    reason = "a failed step fails the test"
)]

mod driver;

use std::ops::Range;

use violetgate_membership::{
    Action, FleetSize, FleetSizeConfig, Identity, LinkState, MemberState, MemberUpdate, Membership,
    MembershipConfig, Message, MessageBody,
};
use violetgate_simulator::load::{simulate, Case};
use violetgate_simulator::{Cut, FaultPlan, MemberEvent, Pause, World, SECOND};

use crate::driver::{Death, Fleet, Fnv, Lcg, Scenario};

fn pause(member: usize, begin_s: u64, end_s: u64) -> Pause {
    Pause {
        member,
        begin: begin_s * SECOND,
        end: end_s * SECOND,
    }
}

fn event(member: usize, at_s: u64) -> MemberEvent {
    MemberEvent {
        member,
        at: at_s * SECOND,
    }
}

fn death(member: usize, at_s: u64, restart_at_s: Option<u64>) -> Death {
    Death {
        member,
        at: at_s * SECOND,
        restart_at: restart_at_s.map(|at| at * SECOND),
    }
}

fn cut(from: Range<usize>, to: Range<usize>, begin_s: u64, end_s: u64) -> Cut {
    Cut {
        from: from.collect(),
        to: to.collect(),
        begin: begin_s * SECOND,
        end: end_s * SECOND,
    }
}

fn check(name: &str, scenario: Scenario, expected: u64) {
    let digest = Fleet::new(scenario).digest();
    assert_eq!(digest, expected, "{name}: {digest:#018x}");
}

#[test]
fn trace_with_deaths_and_restarts_is_unchanged() {
    for (seed, expected) in [(1, 0x13a5_af74_9369_9964), (2, 0xc9bc_e7c9_b714_b19a)] {
        let scenario = Scenario {
            members: 30,
            seconds: 60,
            seed,
            deaths: vec![
                death(3, 10, None),
                death(7, 12, Some(14)),
                death(9, 12, Some(30)),
                death(0, 20, Some(21)),
            ],
            leaves: vec![event(5, 25), event(11, 40)],
            ..Scenario::default()
        };
        check("deaths", scenario, expected);
    }
}

#[test]
fn trace_with_loss_pauses_and_stale_messages_is_unchanged() {
    for (seed, expected) in [(3, 0x4783_28a5_56ae_ecdd), (4, 0x0c00_da22_e5cc_021b)] {
        let scenario = Scenario {
            members: 24,
            seconds: 60,
            seed,
            loss_percent: 25,
            pauses: vec![
                pause(1, 10, 12),
                pause(4, 15, 16),
                pause(8, 15, 35),
                pause(9, 30, 32),
                pause(0, 41, 42),
            ],
            stale_one_in: Some(20),
            ..Scenario::default()
        };
        check("loss", scenario, expected);
    }
}

#[test]
fn trace_with_cuts_that_heal_is_unchanged() {
    for (seed, expected) in [(5, 0x5b26_0a35_0e3a_63f1), (6, 0x8031_9ba8_c1b7_1ce0)] {
        let scenario = Scenario {
            members: 40,
            seconds: 100,
            seed,
            cuts: vec![
                cut(0..20, 20..40, 10, 45),
                cut(20..40, 0..20, 10, 45),
                cut(2..3, 0..40, 65, 80),
                cut(0..40, 30..31, 65, 85),
                cut(11..12, 12..13, 50, 90),
                cut(12..13, 11..12, 50, 90),
            ],
            ..Scenario::default()
        };
        check("cuts", scenario, expected);
    }
}

#[test]
fn trace_of_a_large_fleet_that_starts_at_once_is_unchanged() {
    let scenario = Scenario {
        members: 150,
        seconds: 15,
        seed: 7,
        loss_percent: 2,
        ..Scenario::default()
    };
    check("start", scenario, 0x5388_3daa_4c76_eadd);
}

#[test]
fn trace_with_a_full_member_table_is_unchanged() {
    let scenario = Scenario {
        members: 20,
        seconds: 40,
        seed: 8,
        deaths: vec![death(6, 15, None)],
        capacity: Some(12),
        ..Scenario::default()
    };
    check("full", scenario, 0x12e7_11dc_fb1d_ef7b);
}

/// Members forget a dead member after ten minutes, so this scenario runs for longer than that.
#[test]
fn trace_with_forgotten_members_is_unchanged() {
    let scenario = Scenario {
        members: 6,
        seconds: 700,
        seed: 9,
        deaths: vec![death(2, 20, None), death(4, 30, Some(650))],
        leaves: vec![event(5, 40)],
        ..Scenario::default()
    };
    check("forgotten", scenario, 0xd23d_cfbc_0500_7e8c);
}

/// Covers the simulator itself: its records and counters in a world with all kinds of faults.
#[test]
fn records_of_the_simulated_world_are_unchanged() {
    for (seed, expected) in [(11, 0x32e8_c7e6_dd0c_973f), (12, 0xcbc5_83bb_750d_0328)] {
        let faults = FaultPlan {
            loss: 0.05,
            jitter: 20_000,
            pauses: vec![pause(1, 8, 11), pause(5, 12, 30)],
            cuts: vec![cut(2..4, 4..5, 10, 22)],
            deaths: vec![event(6, 14)],
            leaves: vec![event(7, 16)],
        };
        let config = MembershipConfig::default();
        let mut world = World::new(20, seed, &config, faults);
        world.run(25 * SECOND).unwrap();
        world.restart(6, &config, 1_000 + 25 * SECOND);
        world.kill(8);
        world.leave(9);
        world.resume_paused();
        world.run(50 * SECOND).unwrap();
        let mut hash = Fnv::new();
        for change in &world.view_changes {
            hash.number(change.at);
            hash.number(change.observer as u64);
            hash.number(change.subject as u64);
            hash.number(change.state as u64);
        }
        for change in &world.link_changes {
            hash.number(change.at);
            hash.number(change.observer as u64);
            hash.number(change.subject as u64);
            hash.number(u64::from(change.link == LinkState::Cut));
        }
        for traffic in &world.traffic {
            hash.number(traffic.bytes);
            hash.number(traffic.messages);
        }
        hash.number(world.event_count);
        hash.number(world.false_declarations);
        hash.number(world.false_deaths() as u64);
        hash.number(u64::from(world.agrees()));
        hash.number(u64::from(world.is_settled()));
        hash.number(
            world
                .time_until_all_know(8, 25 * SECOND)
                .unwrap_or(u64::MAX),
        );
        assert_eq!(hash.0, expected, "seed {seed}: {:#018x}", hash.0);
    }
}

#[test]
fn load_of_all_cases_is_unchanged() {
    let mut hash = Fnv::new();
    for case in Case::ALL {
        let limit = std::time::Duration::from_secs(600);
        let load = simulate(case, 30, &MembershipConfig::default(), 3, limit);
        hash.text(case.name());
        for rate in [
            load.bytes_per_s,
            load.busiest_bytes_per_s,
            load.peak_bytes_per_s,
            load.messages_per_s,
            load.known_s.unwrap_or(-1.0),
            load.simulated_s,
        ] {
            hash.number(rate.to_bits());
        }
        for known in &load.known_each_s {
            hash.number(known.unwrap_or(-1.0).to_bits());
        }
        hash.number(load.burst_bytes);
        hash.number(load.false_declarations);
        assert!(!load.cut_short);
    }
    assert_eq!(hash.0, 0x0b71_bb3b_fa30_4134, "{:#018x}", hash.0);
}

/// Covers the fleet size by which the decision module divides the fair shares, for random counts of
/// members in the view.
#[test]
fn fleet_size_over_random_views_is_unchanged() {
    let mut hash = Fnv::new();
    let mut rng = Lcg(77);
    for _ in 0..200 {
        let config = FleetSizeConfig {
            configured_size: rng.below(12) as u32,
            settle_time: rng.below(20) * SECOND,
            step_interval: rng.below(4) * SECOND,
        };
        let mut now = rng.below(100 * SECOND);
        let mut size = FleetSize::new(config, now);
        for _ in 0..300 {
            now += rng.below(3 * SECOND);
            let changed = size.observe(rng.below(15) as u32, now);
            hash.number(u64::from(changed));
            hash.number(u64::from(size.size()));
        }
    }
    assert_eq!(hash.0, 0x707b_3178_e38f_e4ca, "{:#018x}", hash.0);
}

/// Covers two processes with the same member name: the view keeps the one with the newer
/// incarnation.
#[test]
fn trace_of_two_processes_of_one_name_is_unchanged() {
    let addr = |port| std::net::SocketAddr::from(([10, 2, 0, 1], port));
    let update = |name: &str, incarnation, refutations, state| MemberUpdate {
        name: name.into(),
        addr: addr(7_000),
        incarnation,
        refutations,
        state,
        accuser: (state == MemberState::Suspect).then(|| "other".into()),
    };
    let config = MembershipConfig::default();
    let identity = Identity {
        name: "own".into(),
        addr: addr(7_001),
        incarnation: 500,
    };
    let mut member = Membership::new(config, identity, &[], 3);
    let mut hash = Fnv::new();
    for (now, updates) in [
        (SECOND, vec![update("own", 400, 9, MemberState::Dead)]),
        (
            2 * SECOND,
            vec![update("own", 500, 0, MemberState::Suspect)],
        ),
        (3 * SECOND, vec![update("own", 500, 0, MemberState::Dead)]),
        (4 * SECOND, vec![update("own", 500, 7, MemberState::Left)]),
        (5 * SECOND, vec![update("own", 600, 0, MemberState::Alive)]),
        (6 * SECOND, vec![update("own", 700, 0, MemberState::Alive)]),
    ] {
        let other = update("other", 10, 0, MemberState::Alive);
        let updates = std::iter::once(other).chain(updates).collect();
        let mut actions = Vec::new();
        let body = MessageBody::Ping { sequence: now };
        member
            .handle_message(now, &Message { body, updates }, &mut actions)
            .unwrap();
        member.tick(now + SECOND / 2, &mut actions);
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    hash.text(&to.to_string());
                    postcard::to_stdvec(&message)
                        .unwrap()
                        .iter()
                        .for_each(|byte| hash.number(u64::from(*byte)));
                }
                Action::Superseded => hash.number(4),
                Action::StateChanged { member, state } => {
                    hash.text(&member);
                    hash.number(state as u64);
                }
                Action::LinkChanged { .. } | Action::TableFull { .. } => hash.number(3),
            }
        }
        hash.number(u64::from(member.serving_count()));
        hash.number(u64::from(member.own_update().refutations));
    }
    assert_eq!(hash.0, 0x497b_618b_b704_ad69, "{:#018x}", hash.0);
}
