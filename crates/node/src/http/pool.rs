//! Keeps client connections open between calls.
//!
//! A connection goes back to the pool only after a whole exchange, and is thrown away after a few
//! seconds, well before the peer would close it, so that a call rarely meets a closed one.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::StatusCode;

use super::client::{Connection, Request};
use super::{Error, Result};

/// Longest time that an idle connection is kept.
const KEEP: Duration = Duration::from_secs(5);

/// Idle connections kept for each peer.
const IDLE_MAX: usize = 64;

/// Idle connections by peer.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<(Instant, Connection)>>>,
}

impl Pool {
    /// Takes an idle connection to `address`, or opens one.
    pub async fn take(&self, address: SocketAddr) -> Result<Connection> {
        let idle = self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop);
        match idle {
            Some((since, connection)) if since.elapsed() < KEEP => Ok(connection),
            _ => Connection::open(address).await,
        }
    }

    /// Puts a connection back whose last exchange is whole.
    pub fn put(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        kept.retain(|(since, _)| since.elapsed() < KEEP);
        if kept.len() < IDLE_MAX {
            kept.push((Instant::now(), connection));
        }
    }

    /// Makes a call and reads the whole answer, within `limit`.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes)> {
        let exchange = async {
            let mut connection = self.take(address).await?;
            connection.send(request).await?;
            let mut answer = connection.answer().await?;
            let body = answer.whole().await?;
            let (status, keep) = (answer.status, answer.keeps_alive());
            if keep {
                self.put(address, connection);
            }
            Ok((status, body))
        };
        match monoio::time::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout(limit)),
        }
    }
}
