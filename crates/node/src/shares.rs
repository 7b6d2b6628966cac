//! How the memory and the descriptors of a process are divided among its ports.
//!
//! Whatever arrives at one port, the others keep their part, and so do servers, other processes and files. All parts of the
//! memory together leave some of it to the state of the process.

use std::rc::Rc;

use eelgrassdyke_core::settings::LimitSettings;

use crate::http::budget::Budget;
use crate::http::intake::{self, Intake};

/// Memory that a connection may take without a permit, in bytes: what waits in the kernel's receive buffer, the first part
/// of a request and the connection's state.
const CONNECTION_BYTES: u64 = 64 << 10;

/// Connections that wait in the kernel to be accepted; what they have sent counts too.
const BACKLOG: usize = 128;

/// Divisor of a port's connections that are admitted however small its memory is.
const ADMITTED_PART: usize = 4;

/// Part of the memory that the larger responses of servers may take. A body is copied while it is received, so it may
/// take twice its size for a moment.
const RESPONSE_PART: u64 = 8;

/// Part of the memory that the unsent parts of streams may take.
const UNSENT_PART: u64 = 32;

/// A port of a process, by its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// The port for which the process exists: that of callers, or else that of peers and operators.
    Main,
    /// The port for peers and operators of a process with callers.
    Peers,
    /// A port whose requests have no body.
    Pages,
}

/// The memory and the descriptors of a process.
#[derive(Clone, Copy, Debug)]
pub struct Shares {
    memory_bytes: u64,
    descriptors: usize,
    connections_max: usize,
}

/// Divisors of a port's shares.
struct Parts {
    /// Of the memory, for the connections themselves.
    connections: u64,
    /// Of the memory, for small requests.
    small: u64,
    /// Of the memory, for large requests.
    large: u64,
    /// Of the descriptors.
    descriptors: usize,
}

impl Port {
    fn parts(self) -> Parts {
        match self {
            Self::Main => Parts {
                connections: 4,
                small: 32,
                large: 8,
                descriptors: 2,
            },
            Self::Peers => Parts {
                connections: 16,
                small: 32,
                large: 8,
                descriptors: 8,
            },
            Self::Pages => Parts {
                connections: 32,
                small: 64,
                large: 64,
                descriptors: 16,
            },
        }
    }
}

impl Shares {
    /// The shares of a process with these limits.
    pub fn new(limits: &LimitSettings) -> Self {
        Self {
            memory_bytes: limits.memory_mb.saturating_mul(1 << 20),
            descriptors: limits.descriptors.unwrap_or_else(descriptor_limit),
            connections_max: limits.connections,
        }
    }

    /// Receive buffer of a connection to a port, in bytes. The kernel keeps half as much again.
    pub fn receive_buffer_bytes(port: Port) -> usize {
        match port {
            Port::Main | Port::Peers => 32 << 10,
            Port::Pages => 4 << 10,
        }
    }

    /// Limits of what the connections of a port may hold together.
    pub fn limits(&self, port: Port) -> intake::Limits {
        let parts = port.parts();
        let by_memory = (self.memory_bytes / parts.connections / CONNECTION_BYTES) as usize;
        let by_memory = (by_memory / ADMITTED_PART).max(by_memory.saturating_sub(BACKLOG));
        let by_descriptors = self.descriptors / parts.descriptors;
        let connections_max = self.connections_max.min(by_memory).min(by_descriptors);
        intake::Limits {
            connections_max: connections_max.max(1),
            small_bytes_max: (self.memory_bytes / parts.small) as usize,
            large_bytes_max: (self.memory_bytes / parts.large) as usize,
        }
    }

    /// What the connections of a port may hold together.
    pub fn intake(&self, port: Port) -> Rc<Intake> {
        Intake::new(self.limits(port))
    }

    /// Memory for the unsent parts of all streams, in bytes.
    pub fn unsent_bytes_max(&self) -> usize {
        (self.memory_bytes / UNSENT_PART) as usize
    }

    /// Memory for the larger responses of servers.
    pub fn responses(&self) -> Rc<Budget> {
        Budget::new((self.memory_bytes / RESPONSE_PART) as usize)
    }
}

/// Descriptors that the system allows the process.
fn descriptor_limit() -> usize {
    use nix::sys::resource::{Resource, getrlimit};

    match getrlimit(Resource::RLIMIT_NOFILE) {
        Ok((soft, _)) => usize::try_from(soft).unwrap_or(usize::MAX),
        Err(error) => {
            log::warn!("can't read the limit on descriptors ({error}); set limits.descriptors");
            usize::MAX
        }
    }
}
