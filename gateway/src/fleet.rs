//! This front end as one of a fleet: what the membership says goes to the decisions, the log and the figures. It decides
//! nothing, and what it can't tell the decisions it leaves as it is.

use std::fmt::Write;
use std::rc::Rc;

use async_executor::LocalExecutor;
use violetgate_membership::{
    FleetSizeConfig, Identity, LinkState, Member, MemberState, MembershipConfig,
};
use violetgate_membership_udp::{MembershipEvent, MembershipNode, Options};

use crate::clock::Clock;
use crate::dispatch::Dispatch;
use crate::log;
use crate::settings;

/// This front end's part in its fleet.
pub struct Fleet {
    clock: Clock,
    node: Rc<MembershipNode>,
}

fn word(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspected",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}

impl Fleet {
    /// Begins to take part; `told` is how many front ends the platform states.
    ///
    /// # Errors
    ///
    /// The address can't be had; the text names the key.
    pub fn start(
        executor: &LocalExecutor<'static>,
        given: &settings::Fleet,
        clock: Clock,
        seed: u64,
        told: u32,
        dispatch: &Rc<Dispatch>,
    ) -> Result<Self, String> {
        let micros = |s: settings::Span| u64::try_from(s.0.as_micros()).unwrap_or(u64::MAX);
        let options = Options {
            fleet: given.name.clone(),
            identity: Identity {
                name: given.member.as_str().into(),
                addr: given.reached_at(),
                incarnation: clock.now(),
            },
            listen: given.listen,
            seeds: given.seeds.clone(),
            config: MembershipConfig {
                probe_interval: micros(given.probe_every),
                probe_timeout: micros(given.reply_within),
                suspicion_timeout: micros(given.suspect_for),
                ..MembershipConfig::default()
            },
            fleet_size: FleetSizeConfig {
                configured_size: told,
                settle_time: micros(given.settle),
                step_interval: micros(given.step),
            },
            rng_seed: seed,
        };
        let decisions = Rc::clone(dispatch);
        let on_event = move |event| match event {
            MembershipEvent::FleetSizeChanged(count) => {
                log::line(format_args!(
                    "fleet: this front end reckons with {count}, itself included"
                ));
                decisions.fleet(count);
            }
            MembershipEvent::MemberStateChanged { member, state } => {
                log::line(format_args!("fleet: {member} is {}", word(state)))
            }
            MembershipEvent::LinkChanged {
                member,
                link: LinkState::Cut,
            } => {
                log::line(format_args!(
                    "fleet: the link to {member} is cut, others reach it"
                ));
            }
            MembershipEvent::LinkChanged {
                member,
                link: LinkState::Restored,
            } => log::line(format_args!("fleet: the link to {member} is whole again")),
            MembershipEvent::Superseded => {
                log::line(
                    "fleet: a newer process has this front end's name, this one has left the fleet",
                );
            }
            MembershipEvent::DatagramRejected { from, reason } => {
                log::line(format_args!(
                    "fleet: datagrams of {from} are turned away: {reason}"
                ));
            }
            MembershipEvent::AddressInUse(at) => {
                log::line(format_args!(
                    "fleet: another process holds {at}; this one takes part once that has ended"
                ));
            }
            MembershipEvent::TableFull { rejected } => {
                log::line(format_args!(
                    "fleet: no room for {rejected}, too many are known"
                ));
            }
        };
        let node = MembershipNode::start(
            executor,
            options,
            Box::new(move || clock.now()),
            Box::new(on_event),
        );
        let node = node.map_err(|e| format!("`fleet.listen` {}: {e}", given.listen))?;
        log::line(format_args!(
            "violetgate is {} of fleet {} at {}, told of {told} front ends",
            given.member, given.name, given.listen
        ));
        Ok(Fleet { clock, node })
    }

    /// This process ends, of its own will.
    pub fn leave(&self) {
        self.node.leave();
    }

    /// Bytes of datagrams sent and received since the start.
    #[must_use]
    pub fn traffic(&self) -> (u64, u64) {
        let counters = self.node.counters();
        (counters.sent_bytes, counters.received_bytes)
    }

    /// How many front ends this one sees, itself included.
    #[must_use]
    pub fn share(&self) -> u32 {
        self.node.fleet_size()
    }

    /// The figures, in the text format of Prometheus.
    #[must_use]
    pub fn figures(&self) -> String {
        let now = self.clock.now();
        let mut out = format!("svc_fleet_share {}\n", self.node.fleet_size());
        let _ = writeln!(
            out,
            "svc_fleet_doubts_itself {}",
            u8::from(self.node.is_recovering_from_pause())
        );
        let counters = self.node.counters();
        let (turned_away, unsent) = (counters.rejected, counters.unsent);
        let _ = writeln!(
            out,
            "svc_fleet_turned_away_total {turned_away}\nsvc_fleet_unsent_total {unsent}"
        );
        let (sent, received) = self.traffic();
        let _ = writeln!(
            out,
            "svc_fleet_sent_bytes_total {sent}\nsvc_fleet_received_bytes_total {received}"
        );
        for Member {
            name,
            addr,
            state,
            state_since,
            link_cut_since,
            ..
        } in self.node.members()
        {
            let age = now.saturating_sub(state_since) / 1_000_000;
            let labels = format!("member=\"{name}\",address=\"{addr}\"");
            let _ = writeln!(
                out,
                "svc_fleet_member_seconds{{{labels},state=\"{}\"}} {age}",
                word(state)
            );
            if let Some(cut_since) = link_cut_since {
                let age = now.saturating_sub(cut_since) / 1_000_000;
                let _ = writeln!(out, "svc_fleet_link_cut_seconds{{{labels}}} {age}");
            }
        }
        out
    }
}
