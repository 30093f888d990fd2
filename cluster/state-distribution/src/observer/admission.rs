//! Admission of subscribers to an observer.
//!
//! A greeting is rejected if it is of another protocol, version or cluster, is addressed to another
//! observer, has no valid name, or if the observer is at its capacity. A revision that the observer
//! does not have is not a reason to reject the greeting: the observer itself may be behind, which
//! only a linearizable read can show.

use violetgate_replicated_state::{Micros, Store};

use super::subscriber_connection::SubscriberConnection;
use super::{ConnectionId, Observer};
use crate::message::{ObserverWelcome, SubscriberHello, PROTOCOL_MAGIC, PROTOCOL_VERSION};
use crate::rejection::Rejection;

/// The maximum length of a subscriber's name, in bytes.
const MAX_NAME_BYTES: usize = 256;

impl Observer {
    /// Handles the greeting of a subscriber that has connected. The caller sends the answer. If the
    /// answer is a rejection, the caller then closes the connection; the observer keeps no state
    /// for it.
    pub fn accept(
        &mut self,
        now: Micros,
        id: ConnectionId,
        hello: &SubscriberHello,
        store: &Store,
    ) -> ObserverWelcome {
        self.now = now;
        self.send_new_changes(store);
        let rejected = self.check_hello(hello).err();
        if rejected.is_none() {
            let connection = SubscriberConnection::new(hello.name.clone(), now);
            self.connections.insert(id, connection);
            if hello.revision > self.revision {
                self.polls.check_revision(id, hello.revision);
            }
        }
        ObserverWelcome {
            rejected,
            revision: self.revision,
            subscribers: self.subscriber_count(),
            capacity: self.config.capacity,
        }
    }

    fn check_hello(&self, hello: &SubscriberHello) -> Result<(), Rejection> {
        if hello.magic != PROTOCOL_MAGIC {
            return Err(Rejection::NotASubscriber);
        }
        if hello.version != PROTOCOL_VERSION {
            return Err(Rejection::WrongVersion {
                theirs: hello.version,
                ours: PROTOCOL_VERSION,
            });
        }
        if hello.cluster != self.config.cluster {
            return Err(Rejection::WrongCluster {
                theirs: hello.cluster.chars().take(MAX_NAME_BYTES).collect(),
                ours: self.config.cluster.clone(),
            });
        }
        if hello.observer != self.config.id {
            return Err(Rejection::WrongObserver {
                wanted: hello.observer,
                actual: self.config.id,
            });
        }
        if hello.name.is_empty() || hello.name.len() > MAX_NAME_BYTES {
            let detail = format!("a name of {} bytes", hello.name.len());
            return Err(Rejection::ProtocolViolation { detail });
        }
        let capacity = self.config.capacity;
        if self.subscriber_count() >= capacity {
            return Err(Rejection::Full { capacity });
        }
        Ok(())
    }

    pub(super) fn subscriber_count(&self) -> u32 {
        u32::try_from(self.connections.len()).unwrap_or(u32::MAX)
    }

    /// Handles the end of a subscriber's connection.
    pub fn disconnected(&mut self, now: Micros, id: ConnectionId) {
        self.now = now;
        self.forget(id);
    }
}
