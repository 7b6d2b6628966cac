//! Recovery of the data folder after crashes at each byte, full disks, failed syncs, damage and
//! arbitrary content.

mod log_net;

use std::io::ErrorKind;

use eelgrassdyke_control::log::{HardState, Job, RecoveredState, Snapshot, Write};
use eelgrassdyke_control::store::{Disk as _, Error, Store, read_log, read_snapshot};
use eelgrassdyke_core::id::{Index, Replica as Id, Term};
use eelgrassdyke_core::wire::log::{Members, Payload, Record};
use log_net::disk::FakeDisk;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use test_case::test_case;

const ID: Id = Id(7);

fn record(term: u64, index: u64) -> Record {
    Record {
        term: Term(term),
        index: Index(index),
        payload: Payload::Command(vec![index as u8; 9]),
    }
}

fn hard_state(term: u64) -> HardState {
    HardState {
        cluster: 1,
        term: Term(term),
        vote: Some(ID),
        promise: None,
    }
}

fn snapshot(index: u64) -> Snapshot {
    Snapshot {
        index: Index(index),
        term: Term(2),
        members: Members::default(),
        data: vec![5; 40].into(),
    }
}

/// Hard states, records, a replaced tail, two snapshots and records after them.
fn jobs() -> Vec<Job> {
    let writes = vec![
        vec![
            Write::HardState(hard_state(1)),
            Write::Records(vec![record(1, 1)]),
        ],
        vec![Write::Records(vec![record(1, 2), record(1, 3)])],
        vec![
            Write::HardState(hard_state(2)),
            Write::Records(vec![record(2, 2)]),
        ],
        vec![
            Write::Records(vec![record(2, 3)]),
            Write::Snapshot {
                snapshot: snapshot(2),
                hard_state: hard_state(2),
                records: vec![record(2, 3)],
            },
        ],
        vec![Write::Records(vec![record(2, 4)])],
        vec![Write::Snapshot {
            snapshot: snapshot(4),
            hard_state: hard_state(3),
            records: Vec::new(),
        }],
        vec![Write::Records(vec![record(3, 5)])],
    ];
    let numbered_writes = writes.into_iter().zip(1..);
    numbered_writes
        .map(|(writes, number)| Job { number, writes })
        .collect()
}

/// Expected content of a folder after `jobs`.
fn expected_state(jobs: &[Job]) -> RecoveredState {
    let mut folder = RecoveredState::empty(ID);
    for write in jobs.iter().flat_map(|job| &job.writes) {
        match write {
            Write::HardState(hard_state) => folder.hard_state = hard_state.clone(),
            Write::Records(records) => {
                folder
                    .records
                    .retain(|record| record.index < records[0].index);
                folder.records.extend(records.clone());
            }
            Write::Snapshot {
                snapshot,
                hard_state,
                records,
            } => {
                folder.snapshot = Some(snapshot.clone());
                folder.hard_state = hard_state.clone();
                folder.records = records.clone();
            }
        }
    }
    folder
}

fn open(disk: &FakeDisk) -> Result<(Store<FakeDisk>, RecoveredState), Error> {
    Store::open(disk.clone(), ID)
}

/// Writes until the disk fails; returns the number of jobs that became durable.
fn write_jobs(disk: &FakeDisk, jobs: &[Job]) -> usize {
    let Ok((mut store, _)) = open(disk) else {
        return 0;
    };
    let mut durable_jobs = 0;
    for job in jobs {
        if store.write(std::slice::from_ref(job)).is_err() {
            assert!(
                store.write(std::slice::from_ref(job)).is_err(),
                "a failed store accepts no writes"
            );
            break;
        }
        durable_jobs += 1;
    }
    durable_jobs
}

/// The cases differ in how much unsynced content survives the crash.
#[test_case(|_| 0; "nothing")]
#[test_case(|count| count; "everything")]
#[test_case(|count| count / 2; "half")]
fn crash_after_any_byte_keeps_acknowledged_jobs(keep: fn(usize) -> usize) {
    let jobs = jobs();
    let bytes_needed = (0..).find(|bytes| {
        let disk = FakeDisk::default();
        disk.fail_after(*bytes, ErrorKind::Other);
        let durable_jobs = write_jobs(&disk, &jobs);
        disk.crash(keep);
        let (mut store, mut recovered) = open(&disk).expect("opens after a crash");
        recovered.truncated_bytes = 0;

        // The job in progress is recovered either completely or not at all.
        let matches_count = |count: usize| recovered == expected_state(&jobs[..count]);
        let count = (durable_jobs..=jobs.len()).find(|count| matches_count(*count));
        let count = count.filter(|count| *count <= durable_jobs + 1);
        let count =
            count.unwrap_or_else(|| panic!("{durable_jobs} jobs durable, recovered {recovered:?}"));

        // The remaining jobs can be written, and a second recovery finds all of them.
        store
            .write(&jobs[count..])
            .expect("writes succeed after recovery");
        disk.crash(|_| 0);
        let (_, recovered) = open(&disk).expect("opens again");
        assert_eq!(recovered, expected_state(&jobs));
        durable_jobs == jobs.len()
    });
    // A crash was tried at each byte of every file.
    assert!(bytes_needed > Some(1000), "{bytes_needed:?}");
}

#[test]
fn crash_while_opening_loses_nothing() {
    let jobs = jobs();
    for bytes in 0..2000 {
        let disk = FakeDisk::default();
        write_jobs(&disk, &jobs[..5]);
        disk.crash(|_| 0);
        disk.fail_after(bytes, ErrorKind::Other);
        let is_open = open(&disk).is_ok();
        disk.crash(|_| 0);
        let (_, recovered) = open(&disk).expect("opens");
        assert_eq!(recovered, expected_state(&jobs[..5]));
        if is_open {
            assert!(bytes > 100);
            return;
        }
    }
    panic!("opening never succeeds");
}

#[test]
fn full_disk_error_names_the_remedy() {
    let disk = FakeDisk::default();
    let (mut store, _) = open(&disk).expect("opens");
    disk.fail_after(10, ErrorKind::StorageFull);
    let error = store.write(&jobs()).unwrap_err();
    assert!(error.to_string().contains("free space"), "{error}");
}

#[test]
fn failed_sync_is_never_retried() {
    let disk = FakeDisk::default();
    let (mut store, _) = open(&disk).expect("opens");
    disk.fail_sync();
    assert!(store.write(&jobs()[..1]).is_err());
    disk.crash(|count| count);
    let error = store.write(&jobs()[..1]).unwrap_err();
    assert!(matches!(error, Error::Stopped), "{error}");
}

/// Any flipped bit before the last frame is an error that names the remedy.
#[test]
fn damage_before_the_last_frame_is_refused() {
    let disk = FakeDisk::default();
    write_jobs(&disk, &jobs()[..3]);
    let (_, before) = open(&disk).expect("opens");
    // After opening, the file consists of the header, one frame of recovered state and these two.
    let (mut store, _) = open(&disk).expect("opens");
    store.write(&[job(3)]).expect("writes");
    let name = log_file_name(&disk);
    let last = disk.read(&name).expect("readable").len();
    store.write(&[job(4)]).expect("writes");
    drop(store);
    for at in 0..last {
        disk.flip_bit(&name, at);
        let error = open(&disk).err().expect("the damage is detected");
        assert!(matches!(error, Error::Damaged { .. }), "{error}");
        assert!(
            error.to_string().contains("add it as a new replica"),
            "{error}"
        );
        disk.flip_bit(&name, at);
    }
    let (_, recovered) = open(&disk).expect("opens without damage");
    assert_eq!(recovered.records.len(), before.records.len() + 2);
}

fn job(index: u64) -> Job {
    Job {
        number: 1,
        writes: vec![Write::Records(vec![record(2, index)])],
    }
}

fn log_file_name(disk: &FakeDisk) -> String {
    let names = disk.list().expect("listable");
    let mut logs = names.into_iter().filter(|name| name.starts_with("log-"));
    logs.next().expect("a log file")
}

#[test]
fn missing_snapshot_is_refused() {
    let mut disk = FakeDisk::default();
    write_jobs(&disk, &jobs());
    let names = disk.list().expect("listable");
    let name = names.iter().find(|name| name.starts_with("snapshot-"));
    disk.remove(name.expect("a snapshot file"))
        .expect("removable");
    assert!(open(&disk).is_err());
}

/// Arbitrary bytes, also after a valid prefix, are refused or truncated and never read as records.
#[test]
fn decoders_accept_no_arbitrary_bytes() {
    let disk = FakeDisk::default();
    write_jobs(&disk, &jobs()[..3]);
    let valid_file = disk.read(&log_file_name(&disk)).expect("readable");
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let config = Config {
        cases: 2000,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let input = (
        prop::collection::vec(any::<u8>(), 0..300),
        0..=valid_file.len(),
    );
    let result = runner.run(&input, |(bytes, cut)| {
        let _ = read_snapshot("snapshot", &bytes);
        prop_assert!(read_log("log", &bytes).is_err());
        let mut file = valid_file[..cut].to_vec();
        file.extend(&bytes);
        if let Ok(log) = read_log("log", &file) {
            prop_assert!(log.valid_bytes <= cut || cut == valid_file.len());
            prop_assert!(log.records.len() <= 3);
        }
        Ok(())
    });
    result.expect("arbitrary bytes are never read as records");
}
