//! The configuration and settings files of real and lightweight gateways.

use std::path::PathBuf;

use violetgate_fake_upstreams::FakeUpstreams;

use super::control_plane::CLUSTER;
use super::error::FleetRunError;
use super::layout::{Layout, Port};
use super::plan::Plan;
use crate::lightweight_gateway::Part;

/// The files that all lightweight gateways derive their configuration and settings from.
pub(super) struct LightweightFiles {
    pub config: PathBuf,
    pub settings: PathBuf,
}

impl LightweightFiles {
    /// Writes the files into the run's folder.
    pub(super) fn write(
        plan: &Plan,
        layout: &Layout,
        engines: &FakeUpstreams,
    ) -> Result<Self, FleetRunError> {
        let folder = layout.folder("hollow")?;
        let listen = layout.lightweight(0).to_string();
        let config = engines.config("hollow", &listen, &violetgate_fake_upstreams::settings());
        let settings = gateway_settings(plan, layout, None);
        Ok(LightweightFiles {
            config: layout.write(&folder, "config.json", &config.to_string())?,
            settings: layout.write(&folder, "violetgate.hcl", &settings)?,
        })
    }
}

/// Returns the settings of the real gateway with the index `real`, or the template for lightweight
/// gateways if it is `None`.
pub(super) fn gateway_settings(plan: &Plan, layout: &Layout, real: Option<usize>) -> String {
    let fleet_addr = real.map_or(layout.lightweight(0), |index| {
        layout.real(index, Port::Fleet)
    });
    let member = real.map_or("hollow".to_owned(), |index| format!("real-{index}"));
    let observer_ids = plan.voters + 1..=plan.voters + plan.observers;
    let observer_line = |id| {
        let addr = layout.control(id, Port::Subscribers);
        format!("    \"{id}\" = \"{addr}\"\n")
    };
    let observers: String = observer_ids.map(observer_line).collect();
    let mut settings = format!(
        "cluster {{\n  role = \"subscriber\"\n  name = \"{CLUSTER}\"\n  front_end = \"{member}\"\n  \
         observers = {{\n{observers}  }}\n}}\n"
    );
    if plan.parts.contains(&Part::Membership) {
        let seeds: Vec<_> = (0..plan.real)
            .map(|index| format!("\"{}\"", layout.real(index, Port::Fleet)))
            .collect();
        settings += &format!(
            "fleet {{\n  name = \"{CLUSTER}\"\n  member = \"{member}\"\n  listen = \"{fleet_addr}\"\n  \
             seeds = [{}]\n}}\n",
            seeds.join(", ")
        );
    }
    settings
}
