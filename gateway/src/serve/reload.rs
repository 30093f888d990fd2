//! Reloads the platform's configuration and the operators' settings at SIGHUP.

use std::path::PathBuf;
use std::rc::Rc;

use super::error::StartError;
use crate::config::Config;
use crate::discovery::DiscoverySource;
use crate::log;
use crate::replication::Participant;
use crate::rest::RestFrontend;
use crate::settings::{self, Settings};

/// The parts that a reload changes. A running program applies a new address of the event bus, and
/// the settings that docs/configuration.md marks with `SIGHUP`. Everything else takes effect at the
/// next start.
#[derive(Clone)]
pub(super) struct Reloader {
    pub discovery: Rc<DiscoverySource>,
    /// The path of the operators' settings file, if one was given.
    pub settings_file: Option<PathBuf>,
    pub rest: Option<Rc<RestFrontend>>,
    pub participant: Option<Participant>,
}

impl Reloader {
    /// Reads the configuration and the settings again, and applies them. If either is invalid, this
    /// is logged and nothing changes.
    pub(super) fn reload(&self) {
        match self.read() {
            Ok((config, settings)) => self.apply(&config, &settings),
            Err(error) => log::write_line(format_args!(
                "violetgate reload failed, the old configuration stays in force: {error}"
            )),
        }
    }

    fn read(&self) -> Result<(Config, Settings), StartError> {
        let config = Config::from_env()?;
        let settings = settings::read(self.settings_file.as_deref())?;
        Ok((config, settings))
    }

    fn apply(&self, config: &Config, own: &Settings) {
        log::write_line(format_args!(
            "violetgate read its configuration again: bus {}",
            config.bus
        ));
        self.discovery.move_to(config.bus);
        let settings = match &self.participant {
            Some(participant) => participant.apply_own_settings(own),
            None => own.clone(),
        };
        match (&self.rest, &settings.rest) {
            (Some(rest), Some(settings)) => rest.apply_limits(settings),
            (None, None) => {}
            _ => log::write_line("violetgate adds or removes the REST front end at its next start"),
        }
    }
}
