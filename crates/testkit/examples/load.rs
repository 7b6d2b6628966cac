//! Loads a site of real processes and compares builds and a direct call in one run.
//!
//! `cargo run --release -p eelgrassdyke-testkit --example load -- --rate 500 --seconds 10`

use std::path::PathBuf;
use std::time::Duration;

use clap::Parser;
use eelgrassdyke_testkit::errors::{Error, Result};
use eelgrassdyke_testkit::load::{self, Kind, Options, Outcome, page};
use eelgrassdyke_testkit::scenario::run::Runner;
use eelgrassdyke_testkit::site;

/// Load for a site on loopback.
#[derive(Debug, Parser)]
struct Arguments {
    /// Builds to compare, each by its binary.
    #[arg(long = "binary", default_value = "target/release/eelgrassdyke")]
    binaries: Vec<PathBuf>,
    /// Requests a second.
    #[arg(long, default_value_t = 300.0)]
    rate: f64,
    /// Length of each load, in seconds.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// What is asked for: stock, charge or draft.
    #[arg(long, value_delimiter = ',', default_value = "stock,charge,draft")]
    kinds: Vec<String>,
    /// Tokens of a draft.
    #[arg(long, default_value_t = 20)]
    tokens: u64,
    /// Send plain calls past the system as well.
    #[arg(long)]
    direct: bool,
    /// Write a page with plots.
    #[arg(long)]
    html: Option<PathBuf>,
}

fn main() -> Result<()> {
    let arguments = Arguments::parse();
    let outcomes = eelgrassdyke_node::runtime::block_on(measure(&arguments));
    let outcomes = outcomes.map_err(Error::outside)??;
    print!("{}", page::table(&outcomes));
    if let Some(file) = &arguments.html {
        std::fs::write(file, page::page("Load", &outcomes)).map_err(Error::outside)?;
    }
    Ok(())
}

async fn measure(arguments: &Arguments) -> Result<Vec<(String, Outcome)>> {
    let mut outcomes = Vec::new();
    for binary in &arguments.binaries {
        let folder = tempfile::tempdir().map_err(Error::outside)?;
        let runner = Runner::start(binary, folder.path(), site::Options::default()).await?;
        let doors = vec![
            runner.site().callers("entry-1")?,
            runner.site().callers("entry-2")?,
        ];
        for kind in &arguments.kinds {
            let options = Options {
                doors: doors.clone(),
                prefix: "/orders".to_owned(),
                ..load_options(arguments, kind)?
            };
            let name = format!("{kind} {}", tail(&binary.display().to_string()));
            outcomes.push((name, load::run(&options).await));
        }
        if arguments.direct {
            let doors = runner.site().backends("orders");
            let options = Options {
                doors,
                ..load_options(arguments, "stock")?
            };
            outcomes.push(("stock, direct".to_owned(), load::run(&options).await));
        }
        let cpu = runner.site().processor_time();
        for (process, time, memory) in cpu {
            println!(
                "{process:<20} {:>8.2} s of processor, {memory}",
                time.as_secs_f64()
            );
        }
    }
    Ok(outcomes)
}

fn load_options(arguments: &Arguments, kind: &str) -> Result<Options> {
    let kind_of = match kind {
        "stock" => Kind::Stock,
        "charge" => Kind::Charge,
        "draft" => Kind::Draft(arguments.tokens),
        _ => return Err(Error::Unknown(format!("kind {kind}"))),
    };
    Ok(Options {
        doors: Vec::new(),
        prefix: String::new(),
        rate: arguments.rate,
        length: Duration::from_secs(arguments.seconds),
        mix: vec![(kind_of, 1)],
        teams: vec![("salons".to_owned(), 1)],
        seed: 7,
        run: kind.to_owned(),
    })
}

/// The end of a name, which tells builds apart.
fn tail(name: &str) -> String {
    let skip = name.chars().count().saturating_sub(20);
    name.chars().skip(skip).collect()
}
