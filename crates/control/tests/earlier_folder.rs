//! A data folder written by an earlier build: one control process of bf30f87 accepted 2,006
//! publications, took a snapshot after 2,000 records and was killed.

mod log_net;

use std::path::Path;
use std::time::Duration;

use eelgrassdyke_control::log::Options as LogOptions;
use eelgrassdyke_control::store::{Disk, Store};
use eelgrassdyke_control::{Control, Input, OperatorResponse, Options, Output, Query};
use eelgrassdyke_core::event::Code;
use eelgrassdyke_core::id::{Incarnation, Replica as Id, Ticket, Version};
use eelgrassdyke_core::time::{Instant, WallTime};
use eelgrassdyke_core::wire::Sender;
use log_net::address;
use log_net::disk::FakeDisk;

const LAST_PUBLICATION: u64 = 2006;

fn earlier_folder() -> FakeDisk {
    let mut disk = FakeDisk::default();
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/folder-bf30f87");
    for entry in std::fs::read_dir(folder).unwrap() {
        let entry = entry.unwrap();
        let name = entry.file_name().into_string().unwrap();
        let content = std::fs::read(entry.path()).unwrap();
        disk.create(&name, &content).unwrap();
        disk.sync(&name).unwrap();
    }
    disk.sync_folder().unwrap();
    disk
}

/// Handles an input and its writes; returns the other outputs.
fn handle(
    control: &mut Control,
    store: &mut Store<FakeDisk>,
    now: Instant,
    input: Input,
) -> Vec<Output> {
    let mut inputs = vec![input];
    let mut others = Vec::new();
    while let Some(input) = inputs.pop() {
        let mut out = Vec::new();
        control.handle(now, input, &mut out);
        for output in out {
            match output {
                Output::Persist(job) => {
                    store.write(std::slice::from_ref(&job)).unwrap();
                    inputs.push(Input::Persisted { job: job.number });
                }
                other => others.push(other),
            }
        }
    }
    others
}

// After an upgrade the last accepted configuration must be read back byte by byte, from the snapshot and
// the records of the earlier build.
#[test]
fn folder_of_an_earlier_build_is_read_completely() {
    let (mut store, recovered) = Store::open(earlier_folder(), Id(1)).unwrap();
    assert!(recovered.snapshot.is_some());
    assert!(!recovered.records.is_empty());
    let options = Options {
        server_lease: eelgrassdyke_control::directory::DEFAULT_LEASE,
        control_addresses: vec![address(0)],
        wall_time_origin: WallTime(1_000_000),
        spreads_groups: true,
        engines_check_fencing: true,
        log: LogOptions::default(),
    };
    let local = Sender {
        process: "c0".parse().unwrap(),
        incarnation: Incarnation(1),
        address: address(0),
    };
    let mut now = Instant(0);
    let mut outputs = Vec::new();
    let mut control = Control::new(now, local, options, recovered, &mut outputs);
    let (mut publication, mut config) = (None, None);
    for millis in 0..5000_u64 {
        now = now + Duration::from_millis(1);
        let input = match millis {
            4000 => Input::ReadPublication { ticket: Ticket(1) },
            4500 => Input::Query {
                ticket: Ticket(2),
                query: Query::Config,
            },
            _ => Input::Tick,
        };
        outputs.extend(handle(&mut control, &mut store, now, input));
    }
    for output in outputs {
        match output {
            Output::Respond {
                response: OperatorResponse::Publication(stored),
                ..
            } => publication = stored,
            Output::Respond {
                response: OperatorResponse::Config { version, document },
                ..
            } => config = Some((version, document)),
            Output::Event(event) => {
                assert_ne!(event.code, Code::ApplyHalted, "{event:?}");
                assert_ne!(event.code, Code::DiskFailed, "{event:?}");
            }
            _ => {}
        }
    }
    let publication = publication.expect("a publication");
    assert_eq!(publication.number, LAST_PUBLICATION);
    let source = String::from_utf8(publication.source).unwrap();
    assert!(source.starts_with(&format!("{{\"version\": {LAST_PUBLICATION}, \"routes\": ")));
    assert!(source.ends_with("\"tenants\": [{\"name\": \"t1\", \"api_keys\": [\"k\"]}]}"));
    let (version, document) = config.expect("a configuration");
    assert_eq!(version, Version(5));
    let service = &document.services[&"app".parse().unwrap()];
    let cold_rate = service.direct.as_ref().and_then(|direct| direct.cold_rate);
    assert!(cold_rate.is_some(), "{service:?}");
}
