//! This gateway's membership of a fleet. Reports membership events to the decisions, the log and
//! the metrics, and makes no decisions itself.

use std::rc::Rc;

use async_executor::LocalExecutor;
use thiserror::Error;
use violetgate_membership::{
    FleetSizeConfig, Identity, LinkState, Member, MemberState, MembershipConfig,
};
use violetgate_membership_udp::{MembershipEvent, MembershipNode, Options, StartError};
use violetgate_policy::interface::Micros;

use crate::clock::{micros, Clock};
use crate::dispatch::Dispatch;
use crate::log;
use crate::metrics::catalog::fleet;
use crate::metrics::text::{Label, MetricsText};
use crate::settings;

const MICROS_PER_SECOND: Micros = 1_000_000;

/// The gateway can't join its fleet because its address is not available.
#[derive(Debug, Error)]
#[error("`fleet.listen` {listen}: {error}")]
pub struct FleetStartError {
    listen: std::net::SocketAddr,
    error: StartError,
}

/// The traffic of the membership protocol since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FleetTraffic {
    /// The size of all datagrams sent.
    pub sent_bytes: u64,
    /// The size of all datagrams received.
    pub received_bytes: u64,
}

/// The membership of this gateway in its fleet.
pub struct FleetMembership {
    clock: Clock,
    node: Rc<MembershipNode>,
}

impl FleetMembership {
    /// Joins the fleet. `configured_size` is the number of gateways that the platform configures.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is not available.
    pub fn start(
        executor: &LocalExecutor<'static>,
        settings: &settings::Fleet,
        clock: Clock,
        seed: u64,
        configured_size: u32,
        dispatch: &Rc<Dispatch>,
    ) -> Result<Self, FleetStartError> {
        let options = node_options(settings, clock, seed, configured_size);
        let dispatch = Rc::clone(dispatch);
        let on_event = move |event| {
            log_event(&event);
            if let MembershipEvent::FleetSizeChanged(size) = event {
                dispatch.set_fleet_size(size);
            }
        };
        let node = MembershipNode::start(
            executor,
            options,
            Box::new(move || clock.now()),
            Box::new(on_event),
        );
        let listen = settings.listen;
        let node = node.map_err(|error| FleetStartError { listen, error })?;
        log::write_line(format_args!(
            "violetgate is {} of fleet {} at {listen}, configured for {configured_size} front ends",
            settings.member, settings.name
        ));
        Ok(FleetMembership { clock, node })
    }

    /// Leaves the fleet. Called when the process ends.
    pub fn leave(&self) {
        self.node.leave();
    }

    /// Returns the bytes sent and received since the start of the process.
    #[must_use]
    pub fn traffic(&self) -> FleetTraffic {
        let counters = self.node.counters();
        FleetTraffic {
            sent_bytes: counters.sent_bytes,
            received_bytes: counters.received_bytes,
        }
    }

    /// Returns the number of gateways that the decisions assume, including this one.
    #[must_use]
    pub fn fleet_size(&self) -> u32 {
        self.node.fleet_size()
    }

    /// Returns the metrics of the fleet in the Prometheus text format.
    #[must_use]
    pub fn metrics(&self) -> String {
        let counters = self.node.counters();
        let is_recovering = self.node.is_recovering_from_pause();
        let mut out = MetricsText::new();
        for (metric, value) in [
            (&fleet::SIZE, u64::from(self.fleet_size())),
            (&fleet::IS_RECOVERING_FROM_PAUSE, u64::from(is_recovering)),
            (&fleet::DATAGRAMS_REJECTED, counters.rejected),
            (&fleet::DATAGRAMS_UNSENT, counters.unsent),
            (&fleet::SENT_BYTES, counters.sent_bytes),
            (&fleet::RECEIVED_BYTES, counters.received_bytes),
        ] {
            out.write_sample(metric, &[], value);
        }
        let now = self.clock.now();
        for member in self.node.members() {
            write_member(&mut out, &member, now);
        }
        out.into_string()
    }
}

fn node_options(
    settings: &settings::Fleet,
    clock: Clock,
    seed: u64,
    configured_size: u32,
) -> Options {
    Options {
        fleet: settings.name.clone(),
        identity: Identity {
            name: settings.member.as_str().into(),
            addr: settings.advertised_address(),
            incarnation: clock.now(),
        },
        listen: settings.listen,
        seeds: settings.seeds.clone(),
        config: MembershipConfig {
            probe_interval: micros(settings.probe_every.0),
            probe_timeout: micros(settings.reply_within.0),
            suspicion_timeout: micros(settings.suspect_for.0),
            ..MembershipConfig::default()
        },
        fleet_size: FleetSizeConfig {
            configured_size,
            settle_time: micros(settings.settle.0),
            step_interval: micros(settings.step.0),
        },
        rng_seed: seed,
    }
}

/// Returns the name of a member's state in the log and the metrics.
fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspected",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}

fn log_event(event: &MembershipEvent) {
    match event {
        MembershipEvent::FleetSizeChanged(size) => log::write_line(format_args!(
            "fleet: the size in use is {size}, this front end included"
        )),
        MembershipEvent::MemberStateChanged { member, state } => {
            log::write_line(format_args!("fleet: {member} is {}", state_name(*state)));
        }
        MembershipEvent::LinkChanged {
            member,
            link: LinkState::Cut,
        } => log::write_line(format_args!(
            "fleet: the link to {member} is cut, others reach it"
        )),
        MembershipEvent::LinkChanged {
            member,
            link: LinkState::Restored,
        } => log::write_line(format_args!("fleet: the link to {member} is restored")),
        MembershipEvent::Superseded => log::write_line(
            "fleet: a newer process has this front end's name, this one has left the fleet",
        ),
        MembershipEvent::DatagramRejected { from, reason } => log::write_line(format_args!(
            "fleet: datagrams of {from} are rejected: {reason}"
        )),
        MembershipEvent::AddressInUse(address) => log::write_line(format_args!(
            "fleet: another process holds {address}; this one joins after the other has ended"
        )),
        MembershipEvent::TableFull { rejected } => log::write_line(format_args!(
            "fleet: no room for {rejected}, the list of members is full"
        )),
    }
}

/// Writes the age of a member's state in seconds. If the member's link is cut, which means that
/// only this gateway can't reach the member, the age of the cut in seconds is written too.
fn write_member(out: &mut MetricsText, member: &Member, now: Micros) {
    let seconds_since = |since| now.saturating_sub(since) / MICROS_PER_SECOND;
    let address = member.addr.to_string();
    let member_label = Label {
        name: "member",
        value: &member.name,
    };
    let address_label = Label {
        name: "address",
        value: &address,
    };
    let state_label = Label {
        name: "state",
        value: state_name(member.state),
    };
    out.write_sample(
        &fleet::MEMBER_STATE_AGE,
        &[member_label, address_label, state_label],
        seconds_since(member.state_since),
    );
    if let Some(cut_since) = member.link_cut_since {
        out.write_sample(
            &fleet::LINK_CUT_AGE,
            &[member_label, address_label],
            seconds_since(cut_since),
        );
    }
}
