//! Plays losses of disks and processes at the size of a real deployment, over many seeds.
//!
//! `cargo build --release -p eelgrassdyke-platform && cargo run --release -p eelgrassdyke-testkit --example
//! recover -- --seeds 4 --routes 1640`

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser;
use eelgrassdyke_node::runtime;
use eelgrassdyke_testkit::fleet::Size;
use eelgrassdyke_testkit::fleet::clients::{self, STANDINS_ARGUMENT};
use eelgrassdyke_testkit::fleet::recovery::{self, Fault, Options, Outcome};

/// Options of the runs.
#[derive(Debug, Parser)]
struct Arguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 4)]
    seeds: u64,
    /// Control processes.
    #[arg(long, default_value_t = 5)]
    control: usize,
    /// Entries.
    #[arg(long, default_value_t = 53)]
    entries: usize,
    /// Watch processes, each with an engine.
    #[arg(long, default_value_t = 129)]
    watches: usize,
    /// Servers that announce themselves.
    #[arg(long, default_value_t = 140)]
    servers: usize,
    /// Routes of a configuration.
    #[arg(long, default_value_t = 140)]
    routes: usize,
    /// Writers that sync files on the same file system.
    #[arg(long, default_value_t = 0)]
    disk_load: usize,
    /// Threads that keep a core busy.
    #[arg(long, default_value_t = 0)]
    cpu_load: usize,
    /// Share of the time for which control processes run after the fault; they are suspended otherwise.
    #[arg(long, default_value_t = 1.0)]
    run_share: f64,
    /// Control processes whose output nobody reads after the fault.
    #[arg(long, default_value_t = 0)]
    unread: usize,
    /// The last fault, `disks-controls`, `disks-all`, `all` or `servers`; drawn from the first three by default.
    #[arg(long, value_parser = parse_fault)]
    fault: Option<Fault>,
    /// Whether faults precede the last one; drawn by default.
    #[arg(long)]
    series: Option<bool>,
    /// Requests a second before the last fault `servers`.
    #[arg(long, default_value_t = 350)]
    requests: u32,
    /// The program of the processes.
    #[arg(long, default_value = "target/release/eelgrassdyke-platform")]
    binary: PathBuf,
    /// Folder of the templates.
    #[arg(long, default_value = "deploy")]
    deploy: PathBuf,
    /// Folder for data and logs; those of failed seeds are kept.
    #[arg(long, default_value = "target/recover")]
    folder: PathBuf,
    /// Keeps the logs of all seeds.
    #[arg(long)]
    keep: bool,
    /// Second byte of the addresses of the first seed; each further seed takes the next one.
    #[arg(long, default_value_t = 77)]
    network: u8,
}

fn parse_fault(text: &str) -> Result<Fault, String> {
    match text {
        "disks-controls" => Ok(Fault::DisksAndControls),
        "disks-all" => Ok(Fault::DisksAndAll),
        "all" => Ok(Fault::All),
        "servers" => Ok(Fault::Servers),
        _ => Err("expected disks-controls, disks-all, all or servers".to_owned()),
    }
}

fn main() -> ExitCode {
    let mut own_arguments = std::env::args_os().skip(1);
    if own_arguments
        .next()
        .is_some_and(|argument| argument == STANDINS_ARGUMENT)
    {
        let spec = own_arguments.next().unwrap_or_default();
        return match clients::serve_standins(Path::new(&spec)) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("stand-ins: {error}");
                ExitCode::FAILURE
            }
        };
    }
    let arguments = Arguments::parse();
    let mut failed = Vec::new();
    for seed in arguments.first..arguments.first + arguments.seeds {
        let folder = arguments.folder.join(format!("seed-{seed}"));
        let failures = match play(&arguments, seed, &folder) {
            Ok(outcome) => {
                print(seed, &outcome);
                outcome.failures()
            }
            Err(error) => vec![error],
        };
        for failure in &failures {
            println!(
                "seed {seed} FAILED: {failure}; logs in {}",
                folder.display()
            );
        }
        if !failures.is_empty() {
            failed.push(seed);
        } else if !arguments.keep {
            drop(std::fs::remove_dir_all(&folder));
        }
    }
    println!("{} seeds, failed: {failed:?}", arguments.seeds);
    match failed.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

fn play(arguments: &Arguments, seed: u64, folder: &Path) -> Result<Outcome, String> {
    // Data of an earlier run with the same seed would be taken for the present one's.
    drop(std::fs::remove_dir_all(folder));
    std::fs::create_dir_all(folder).map_err(|error| error.to_string())?;
    let path = |path: &Path| {
        path.canonicalize()
            .map_err(|error| format!("{}: {error}", path.display()))
    };
    let (binary, deploy) = (path(&arguments.binary)?, path(&arguments.deploy)?);
    let folder = path(folder)?;
    let options = Options {
        seed,
        size: Size {
            controls: arguments.control,
            entries: arguments.entries,
            watches: arguments.watches,
            servers: arguments.servers,
        },
        routes: arguments.routes,
        disk_load: arguments.disk_load,
        core_load: arguments.cpu_load,
        run_share: arguments.run_share,
        unread_outputs: arguments.unread,
        fault: arguments.fault,
        series: arguments.series,
        requests_per_s: arguments.requests,
    };
    // The sockets of the engines of an earlier seed may stay open until this process ends.
    let network = arguments
        .network
        .wrapping_add((seed - arguments.first) as u8);
    let play = recovery::play(&binary, &deploy, &folder, network, options);
    let outcome = runtime::block_on(play).map_err(|error| error.to_string())?;
    outcome.map_err(|error| error.to_string())
}

fn print(seed: u64, outcome: &Outcome) {
    let processor_times: Vec<String> = outcome
        .processor_times
        .iter()
        .map(|(used, waited)| format!("{}+{}", used.as_millis(), waited.as_millis()))
        .collect();
    let milliseconds = |at: Option<i64>| at.map_or("never".to_owned(), |at| format!("{at} ms"));
    println!(
        "seed {seed}: {:?}{}, version {} of {} KB: leader {}, ready {}, first read {}, then {}/{} answered; \
         {}/{} entries ready, median {:?}, last {:?}; events {:?}, refusals {:?}; control processes ran+waited {} ms, longest stall {} ms; \
         {} MB, peaks {} MB",
        outcome.fault,
        if outcome.series {
            " after a series"
        } else {
            ""
        },
        outcome.confirmed,
        outcome.configuration_bytes >> 10,
        milliseconds(outcome.first_leader_ms),
        milliseconds(outcome.leader_ready_ms),
        milliseconds(outcome.first_read.map(|after| after.as_millis() as i64)),
        outcome.later_reads.0,
        outcome.later_reads.1,
        outcome.ready.len(),
        outcome.entries,
        outcome.ready.get(outcome.ready.len() / 2),
        outcome.ready.last(),
        outcome.events,
        outcome.refusals,
        processor_times.join(" "),
        outcome.longest_stall_ms,
        outcome.memory_mb.0,
        outcome.memory_mb.1,
    );
}
