//! Binds the addresses on which the gateway listens, before anything else starts.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use async_io::Async;

use super::error::StartError;
use crate::config::Config;
use crate::net;
use crate::settings::{ClusterRole, Settings};

/// The bound listeners of the gateway. Those that the configuration leaves out are `None`.
pub(super) struct Listeners {
    /// PostgreSQL clients connect here.
    pub postgres: Rc<Async<TcpListener>>,
    /// Operators and metrics scrapers connect here.
    pub management: Option<Async<TcpListener>>,
    /// REST clients connect here.
    pub rest: Option<Rc<Async<TcpListener>>>,
    /// Operators of the cluster connect here. Only members have this listener.
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
