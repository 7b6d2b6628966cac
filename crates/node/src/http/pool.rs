//! Pool of client connections.
//!
//! A connection is returned to the pool only after a complete exchange and expires after a few
//! seconds, well before the peer would close it, so that a request is rarely sent on a connection
//! that the peer has closed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eelgrassdyke_core::wire::BATCH_BYTES_MAX;
use http::StatusCode;

use super::client::{CONNECT_TIMEOUT, Connection, Request};
use super::{Error, Result};

/// Maximum time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between two checks for idle connections that have expired.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Fraction of the peer's stated idle timeout for which a connection is kept; the rest allows for
/// the network delay.
const KEEP_ALIVE_FRACTION: f64 = 0.7;

/// Maximum number of idle connections per peer.
const IDLE_CONNECTIONS_MAX: usize = 64;

/// Idle connections, by peer address.
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<(Instant, Connection)>>>,
    connect_timeout: Duration,
}

impl Default for Pool {
    fn default() -> Self {
        Self::with_connect_timeout(CONNECT_TIMEOUT)
    }
}

impl Pool {
    /// An empty pool that opens connections within `connect_timeout`.
    pub fn with_connect_timeout(connect_timeout: Duration) -> Self {
        Self {
            idle: RefCell::default(),
            connect_timeout,
        }
    }

    /// Takes an idle connection to `address` from the pool, or opens a new one.
    pub async fn acquire(&self, address: SocketAddr) -> Result<Connection> {
        match self.acquire_idle(address) {
            Some(connection) => Ok(connection),
            None => Connection::open_within(address, self.connect_timeout).await,
        }
    }

    /// Takes the most recently used idle connection that is still usable; drops unusable ones.
    fn acquire_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some((since, mut connection)) = connections.pop() {
            if since.elapsed() < idle_timeout(&connection) && connection.is_idle() {
                return Some(connection);
            }
        }
        None
    }

    /// Closes idle connections that have expired, in intervals; never returns. Those to a peer that is gone are
    /// neither returned nor wanted again, so nothing else closes them.
    pub async fn close_expired(&self) {
        loop {
            monoio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
            self.idle.borrow_mut().retain(|_, connections| {
                connections
                    .retain(|(since, connection)| since.elapsed() < idle_timeout(connection));
                !connections.is_empty()
            });
        }
    }

    /// Returns a connection whose last exchange is complete.
    pub fn release(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        connections.retain(|(since, connection)| since.elapsed() < idle_timeout(connection));
        if connections.len() < IDLE_CONNECTIONS_MAX {
            connections.push((Instant::now(), connection));
        }
    }

    /// Sends a request to a process of this system and reads the complete response, within `timeout`.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes)> {
        self.call_limited(address, request, BATCH_BYTES_MAX, timeout)
            .await
    }

    /// The same with a response of at most `body_bytes_max` bytes.
    pub async fn call_limited(
        &self,
        address: SocketAddr,
        request: Request,
        body_bytes_max: usize,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes)> {
        let exchange = async {
            let mut connection = self.acquire(address).await?;
            let (status, body, keeps_alive) =
                exchange(&mut connection, request, body_bytes_max).await?;
            if keeps_alive {
                self.release(address, connection);
            }
            Ok((status, body))
        };
        within(timeout, exchange).await
    }

    /// The same on a connection of its own, which no earlier exchange can have left a response on.
    pub async fn call_apart(
        &self,
        address: SocketAddr,
        request: Request,
        body_bytes_max: usize,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes)> {
        let exchange = async {
            let mut connection = Connection::open_within(address, self.connect_timeout).await?;
            let (status, body, _) = exchange(&mut connection, request, body_bytes_max).await?;
            Ok((status, body))
        };
        within(timeout, exchange).await
    }
}

/// Sends a request and reads the complete response; also returns whether the connection can be reused.
async fn exchange(
    connection: &mut Connection,
    request: Request,
    body_bytes_max: usize,
) -> Result<(StatusCode, Bytes, bool)> {
    connection.limit_parts(body_bytes_max);
    connection.send(request).await?;
    let mut response = connection.receive_response().await?;
    let body = response.read_to_end().await?;
    Ok((response.status, body, response.keeps_alive()))
}

async fn within<T>(timeout: Duration, exchange: impl Future<Output = Result<T>>) -> Result<T> {
    match monoio::time::timeout(timeout, exchange).await {
        Ok(result) => result,
        Err(_) => Err(Error::Timeout(timeout)),
    }
}

/// Time for which an idle connection is kept.
fn idle_timeout(connection: &Connection) -> Duration {
    let peer_timeout = connection
        .keep_alive_timeout()
        .map(|timeout| timeout.mul_f64(KEEP_ALIVE_FRACTION));
    peer_timeout.unwrap_or(IDLE_TIMEOUT).min(IDLE_TIMEOUT)
}
