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

/// Part of the time for which a peer says it keeps a connection; the rest is for its way here.
const KEEP_PART: f64 = 0.7;

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
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => Connection::open(address).await,
        }
    }

    /// Takes the idle connection that was used last, if it can still be used.
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        while let Some((since, mut connection)) = kept.pop() {
            if since.elapsed() < keep(&connection) && connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Puts a connection back whose last exchange is whole.
    pub fn put(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        kept.retain(|(since, connection)| since.elapsed() < keep(connection));
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

/// How long a connection is kept: well below what its peer says.
fn keep(connection: &Connection) -> Duration {
    let said = connection.keep().map(|said| said.mul_f64(KEEP_PART));
    said.unwrap_or(KEEP).min(KEEP)
}
