//! Load test of a local deployment of real processes; compares builds, and requests sent directly to
//! the backend servers, in one run.
//!
//! `cargo run --release -p eelgrassdyke-testkit --example load -- --rate 500 --seconds 10`

use std::path::PathBuf;
use std::time::Duration;

use clap::Parser;
use eelgrassdyke_testkit::errors::{Error, Result};
use eelgrassdyke_testkit::load::{self, LoadOutcome, Options, RequestKind, page};
use eelgrassdyke_testkit::scenario::run::Runner;
use eelgrassdyke_testkit::site;

/// Load test of a deployment on loopback.
#[derive(Debug, Parser)]
struct Arguments {
    /// Binaries of the builds to compare.
    #[arg(long = "binary", default_value = "target/release/eelgrassdyke")]
    binaries: Vec<PathBuf>,
    /// Requests per second.
    #[arg(long, default_value_t = 300.0)]
    rate: f64,
    /// Length of each load, in seconds.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Kinds of requests, one load each: stock, charge or draft.
    #[arg(long, value_delimiter = ',', default_value = "stock,charge,draft")]
    kinds: Vec<String>,
    /// Tokens of a streamed completion.
    #[arg(long, default_value_t = 20)]
    tokens: u64,
    /// Also send plain requests directly to the backend servers.
    #[arg(long)]
    direct: bool,
    /// Write an HTML page with plots to this file.
    #[arg(long)]
    html: Option<PathBuf>,
}

fn main() -> Result<()> {
    let arguments = Arguments::parse();
    let outcomes = eelgrassdyke_node::runtime::block_on(measure(&arguments));
    let outcomes = outcomes.map_err(Error::harness)??;
    print!("{}", page::table(&outcomes));
    if let Some(file) = &arguments.html {
        std::fs::write(file, page::page("Load", &outcomes)).map_err(Error::harness)?;
    }
    Ok(())
}

async fn measure(arguments: &Arguments) -> Result<Vec<(String, LoadOutcome)>> {
    let mut outcomes = Vec::new();
    for binary in &arguments.binaries {
        let folder = tempfile::tempdir().map_err(Error::harness)?;
        let runner =
            Runner::start(binary.as_path(), folder.path(), site::Options::default()).await?;
        let entry_addresses = vec![
            runner.deployment().caller_address("entry-1")?,
            runner.deployment().caller_address("entry-2")?,
        ];
        for kind in &arguments.kinds {
            let options = Options {
                addresses: entry_addresses.clone(),
                path_prefix: "/orders".to_owned(),
                ..load_options(arguments, kind)?
            };
            let name = format!("{kind} {}", suffix(&binary.display().to_string()));
            outcomes.push((name, load::run(&options).await));
        }
        if arguments.direct {
            let addresses = runner.deployment().backend_addresses("orders");
            let options = Options {
                addresses,
                ..load_options(arguments, "stock")?
            };
            outcomes.push(("stock, direct".to_owned(), load::run(&options).await));
        }
        let usage = runner.deployment().resource_usage();
        for (process, processor_time, memory) in usage {
            println!(
                "{process:<20} {:>8.2} s of CPU time, {memory}",
                processor_time.as_secs_f64()
            );
        }
    }
    Ok(outcomes)
}

fn load_options(arguments: &Arguments, kind_name: &str) -> Result<Options> {
    let kind = match kind_name {
        "stock" => RequestKind::Stock,
        "charge" => RequestKind::Charge,
        "draft" => RequestKind::Draft(arguments.tokens),
        _ => return Err(Error::Unknown(format!("kind {kind_name}"))),
    };
    Ok(Options {
        addresses: Vec::new(),
        path_prefix: String::new(),
        rate: arguments.rate,
        duration: Duration::from_secs(arguments.seconds),
        mix: vec![(kind, 1)],
        teams: vec![("salons".to_owned(), 1)],
        seed: 7,
        key_prefix: kind_name.to_owned(),
    })
}

/// Last 20 characters of a path, which are enough to tell builds apart.
fn suffix(path: &str) -> String {
    let skip = path.chars().count().saturating_sub(20);
    path.chars().skip(skip).collect()
}
