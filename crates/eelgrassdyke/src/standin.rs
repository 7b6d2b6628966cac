//! The `standin` subcommand: simulated backend servers.

use std::net::TcpListener;
use std::process::ExitCode;
use std::time::Duration;

use eelgrassdyke_standin::{engine, plain};

use crate::command::Standin;
use crate::run::Result;

/// Serves a simulated backend server until the process is killed.
pub fn run(kind: Standin) -> Result<ExitCode> {
    eelgrassdyke_node::runtime::block_on(async move {
        let address = match kind {
            Standin::Engine {
                listen,
                first_token_ms,
                token_ms,
            } => {
                let options = engine::Options {
                    first_token_delay: Duration::from_millis(first_token_ms),
                    token_interval: Duration::from_millis(token_ms),
                    ..engine::Options::default()
                };
                engine::serve(TcpListener::bind(listen)?, options)?
            }
            Standin::Plain { listen, work_ms } => {
                let options = plain::Options {
                    service_time: Duration::from_millis(work_ms),
                };
                plain::serve(TcpListener::bind(listen)?, options)?
            }
        };
        eprintln!("stand-in listens on {address}");
        std::future::pending::<()>().await;
        Ok(ExitCode::SUCCESS)
    })?
}
