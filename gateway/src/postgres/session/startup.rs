//! Starts a session: answers the start-up packets of a connection.

use super::super::codec::{self, Startup};
use super::super::session_end::SessionEnd;
use super::Session;

impl Session<'_> {
    /// Reads and answers start-up packets until the session has started. A CancelRequest is carried
    /// out and ends the connection.
    pub(super) async fn start(&mut self) -> Result<(), SessionEnd> {
        loop {
            match self.slot.input.with(codec::parse_startup) {
                Ok(None) => self.read().await?,
                Ok(Some((Startup::Encryption, size))) => {
                    self.slot.input.discard_front(size);
                    self.output.push(codec::NO_ENCRYPTION);
                    self.write().await?;
                }
                Ok(Some((Startup::Cancel(key), _))) => {
                    self.sessions.cancel_targets.cancel(key);
                    return Err(SessionEnd::CancelRequest);
                }
                Ok(Some((Startup::Begin { user: None, .. }, _))) => {
                    let message = "no PostgreSQL user name specified in startup packet";
                    let error = codec::ErrorResponse::fatal("28000", message);
                    codec::write_error(&mut self.output, &error);
                    self.write().await?;
                    return Err(SessionEnd::NoUser);
                }
                Ok(Some((Startup::Begin { minor, options, .. }, size))) => {
                    let targets = &self.sessions.cancel_targets;
                    let target = targets.add(self.slot, &self.stream);
                    codec::write_startup_response(&mut self.output, minor, &options, target.key());
                    self.cancel_target = Some(target);
                    self.slot.input.discard_front(size);
                    return self.write().await;
                }
                Err(error) => return Err(self.fail_with_protocol_error(error).await),
            }
        }
    }
}
