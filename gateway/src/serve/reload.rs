//! SIGHUP: the configuration and the settings are read again.

use std::path::PathBuf;
use std::rc::Rc;

use super::error::StartError;
use crate::config::Config;
use crate::discovery::DiscoverySource;
use crate::log;
use crate::replication::Participant;
use crate::rest::RestFrontend;
use crate::settings::{self, Settings};

/// What a reload reaches. Of all that is read, the address of the event bus can change in a running
/// program, and the settings whose reference says so.
#[derive(Clone)]
pub(super) struct Reloader {
    pub discovery: Rc<DiscoverySource>,
    /// The operators' settings file, if there is one.
    pub settings_file: Option<PathBuf>,
    pub rest: Option<Rc<RestFrontend>>,
    pub participant: Option<Participant>,
}

impl Reloader {
    /// Reads all again. Where any of it can't be used, nothing changes.
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
            _ => log::write_line("violetgate takes the REST front up, or out, at its next start"),
        }
    }
}
