//! This front end as one of a fleet: what the membership says goes to the decisions, the log and the figures. It decides
//! nothing, and what it can't tell the decisions it leaves as it is.

use std::fmt::Write;
use std::rc::Rc;

use async_executor::LocalExecutor;
use violetgate_membership::{Member, MembershipConfig, SharesConfig, State};
use violetgate_membership_udp::{Link, News, Options};

use crate::clock::Clock;
use crate::dispatch::Dispatch;
use crate::log;
use crate::settings;

/// This front end's part in its fleet.
pub struct Fleet {
    clock: Clock,
    link: Rc<Link>,
}

fn word(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspected",
        State::Dead => "dead",
        State::Left => "left",
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
            member: given.member.as_str().into(),
            listen: given.listen,
            address: given.reached_at(),
            seeds: given.seeds.clone(),
            config: MembershipConfig {
                probe_every: micros(given.probe_every),
                reply: micros(given.reply_within),
                suspect_for: micros(given.suspect_for),
                ..MembershipConfig::default()
            },
            shares: SharesConfig {
                told,
                settle: micros(given.settle),
                step: micros(given.step),
            },
            life: clock.now(),
            seed,
        };
        let decisions = Rc::clone(dispatch);
        let tell = move |news| match news {
            News::Share(count) => {
                log::line(format_args!(
                    "fleet: this front end reckons with {count}, itself included"
                ));
                decisions.fleet(count);
            }
            News::Member(name, state) => {
                log::line(format_args!("fleet: {name} is {}", word(state)))
            }
            News::Link(name, true) => {
                log::line(format_args!(
                    "fleet: the link to {name} is cut, others reach it"
                ));
            }
            News::Link(name, false) => {
                log::line(format_args!("fleet: the link to {name} is whole again"))
            }
            News::Superseded => {
                log::line(
                    "fleet: a newer process has this front end's name, this one has left the fleet",
                );
            }
            News::TurnedAway(from, why) => {
                log::line(format_args!(
                    "fleet: datagrams of {from} are turned away: {why}"
                ));
            }
            News::Waits(at) => {
                log::line(format_args!(
                    "fleet: another process holds {at}; this one takes part once that has ended"
                ));
            }
            News::Full(name) => {
                log::line(format_args!(
                    "fleet: no room for {name}, too many are known"
                ));
            }
        };
        let link = Link::start(
            executor,
            options,
            Box::new(move || clock.now()),
            Box::new(tell),
        );
        let link = link.map_err(|e| format!("`fleet.listen` {}: {e}", given.listen))?;
        log::line(format_args!(
            "violetgate is {} of fleet {} at {}, told of {told} front ends",
            given.member, given.name, given.listen
        ));
        Ok(Fleet { clock, link })
    }

    /// This process ends, of its own will.
    pub fn leave(&self) {
        self.link.leave();
    }

    /// Bytes of datagrams sent and received since the start.
    #[must_use]
    pub fn traffic(&self) -> (u64, u64) {
        self.link.traffic()
    }

    /// How many front ends this one sees, itself included.
    #[must_use]
    pub fn share(&self) -> u32 {
        self.link.share()
    }

    /// The figures, in the text format of Prometheus.
    #[must_use]
    pub fn figures(&self) -> String {
        let now = self.clock.now();
        let mut out = format!("svc_fleet_share {}\n", self.link.share());
        let _ = writeln!(
            out,
            "svc_fleet_doubts_itself {}",
            u8::from(self.link.doubts_itself())
        );
        let (turned_away, unsent) = self.link.losses();
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
            since,
            cut,
            ..
        } in self.link.members()
        {
            let age = now.saturating_sub(since) / 1_000_000;
            let labels = format!("member=\"{name}\",address=\"{addr}\"");
            let _ = writeln!(
                out,
                "svc_fleet_member_seconds{{{labels},state=\"{}\"}} {age}",
                word(state)
            );
            if let Some(cut) = cut {
                let age = now.saturating_sub(cut) / 1_000_000;
                let _ = writeln!(out, "svc_fleet_link_cut_seconds{{{labels}}} {age}");
            }
        }
        out
    }
}
