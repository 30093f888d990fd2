//! Notices that the client of an open query has gone, whatever of its input is still unread.
//!
//! The HTTP server reads nothing while a request is open, so the end of the client's stream behind
//! further requests would go unnoticed.

use std::future::Future;
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use async_io::Async;
use futures_lite::ready;

use super::watch::ConnectionWatch;
use crate::net;

/// Watches the client of a connection while one of its queries is open.
pub(super) struct ClientMonitor {
    stream: Rc<Async<TcpStream>>,
    /// Completes when the client has gone. It exists once the client has sent more, or has ended
    /// its stream, while the current query is open.
    check: Option<Pin<Box<dyn Future<Output = ()>>>>,
}

impl ClientMonitor {
    pub(super) fn new(stream: Rc<Async<TcpStream>>) -> Self {
        ClientMonitor {
            stream,
            check: None,
        }
    }

    /// Completes when the client of the open query has gone. Stays pending while no query is open.
    pub(super) fn poll(&mut self, watch: &ConnectionWatch, context: &mut Context<'_>) -> Poll<()> {
        if !watch.has_open_query() {
            self.check = None;
            return Poll::Pending;
        }
        if self.check.is_none() {
            // An error of the connection also shows in the check.
            let _ = ready!(self.stream.poll_readable(context));
        }
        let check = self.check.get_or_insert_with(|| {
            let stream = Rc::clone(&self.stream);
            let ignored_message = watch.ignored_message();
            Box::pin(async move { net::wait_until_gone(&stream, ignored_message).await })
        });
        check.as_mut().poll(context)
    }
}
