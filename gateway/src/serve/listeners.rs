//! The addresses where the gateway listens, bound before anything else starts.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use async_io::Async;

use super::error::StartError;
use crate::config::Config;
use crate::net;
use crate::settings::{ClusterRole, Settings};

/// The listeners.
pub(super) struct Listeners {
    /// For PostgreSQL clients.
    pub postgres: Rc<Async<TcpListener>>,
    /// For operators.
    pub management: Option<Async<TcpListener>>,
    /// For REST clients.
    pub rest: Option<Rc<Async<TcpListener>>>,
    /// For the API of a cluster's member.
    pub cluster_api: Option<Async<TcpListener>>,
}

impl Listeners {
    pub(super) fn bind(config: &Config, settings: &Settings) -> Result<Self, StartError> {
        let postgres = bind("listen", config.listen)?;
        let management = config.management;
        let management = management.map(|address| bind("management", address));
        let management = management.transpose()?;
        let rest = settings.rest.as_ref().map(|rest| rest.listen);
        let others = [Some(config.listen), config.management];
        if let Some(address) = rest.filter(|address| others.contains(&Some(*address))) {
            return Err(StartError::RestAddressInUse(address));
        }
        let rest = rest.map(|address| bind("rest.listen", address));
        let rest = rest.transpose()?;
        let member = settings.cluster.as_ref();
        let member = member.filter(|cluster| cluster.role == ClusterRole::Member);
        let cluster_api = member.map(|cluster| bind("cluster.api", cluster.api));
        Ok(Listeners {
            postgres: Rc::new(postgres),
            management,
            rest: rest.map(Rc::new),
            cluster_api: cluster_api.transpose()?,
        })
    }
}

fn bind(purpose: &'static str, address: SocketAddr) -> Result<Async<TcpListener>, StartError> {
    net::listen(address).map_err(|error| StartError::Bind {
        purpose,
        address,
        error,
    })
}
