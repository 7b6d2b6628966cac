//! The data folder under crashes after every byte, full disks, failed syncs, damage and garbage.

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

/// Promises, records, a replaced tail, two snapshots and records behind them.
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
    let numbered = writes.into_iter().zip(1..);
    numbered
        .map(|(writes, number)| Job { number, writes })
        .collect()
}

/// What a folder holds after `jobs`, by the plainest reading of them.
fn expected(jobs: &[Job]) -> RecoveredState {
    let mut folder = RecoveredState::empty(ID);
    for write in jobs.iter().flat_map(|job| &job.writes) {
        match write {
            Write::HardState(hard_state) => folder.hard_state = hard_state.clone(),
            Write::Records(records) => {
                folder.records.retain(|held| held.index < records[0].index);
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

/// Writes until the disk breaks off; gives how many jobs were confirmed.
fn write(disk: &FakeDisk, jobs: &[Job]) -> usize {
    let Ok((mut store, _)) = open(disk) else {
        return 0;
    };
    let mut confirmed = 0;
    for job in jobs {
        if store.write(std::slice::from_ref(job)).is_err() {
            assert!(
                store.write(std::slice::from_ref(job)).is_err(),
                "it stops for good"
            );
            break;
        }
        confirmed += 1;
    }
    confirmed
}

/// How much of the unsynced part stays after the crash.
#[test_case(|_| 0; "nothing")]
#[test_case(|most| most; "everything")]
#[test_case(|most| most / 2; "half")]
fn a_crash_after_any_byte_keeps_what_was_confirmed(keep: fn(usize) -> usize) {
    let jobs = jobs();
    let whole = (0..).find(|bytes| {
        let disk = FakeDisk::default();
        disk.break_after(*bytes, ErrorKind::Other);
        let confirmed = write(&disk, &jobs);
        disk.crash(keep);
        let (mut store, mut found) = open(&disk).expect("it opens after a crash");
        found.truncated_bytes = 0;

        // The job under way may be there or not, but whole or not at all.
        let fits = |count: usize| found == expected(&jobs[..count]);
        let count = (confirmed..=jobs.len()).find(|count| fits(*count));
        let count = count.filter(|count| *count <= confirmed + 1);
        let count = count.unwrap_or_else(|| panic!("{confirmed} confirmed, found {found:?}"));

        // It goes on from there, and a second opening finds the same.
        store.write(&jobs[count..]).expect("it writes on");
        disk.crash(|_| 0);
        let (_, found) = open(&disk).expect("it opens again");
        assert_eq!(found, expected(&jobs));
        confirmed == jobs.len()
    });
    // Each byte of every file was a place to break off.
    assert!(whole > Some(1000), "{whole:?}");
}

#[test]
fn a_crash_while_opening_loses_nothing() {
    let jobs = jobs();
    for bytes in 0..2000 {
        let disk = FakeDisk::default();
        write(&disk, &jobs[..5]);
        disk.crash(|_| 0);
        disk.break_after(bytes, ErrorKind::Other);
        let whole = open(&disk).is_ok();
        disk.crash(|_| 0);
        let (_, found) = open(&disk).expect("it opens");
        assert_eq!(found, expected(&jobs[..5]));
        if whole {
            assert!(bytes > 100);
            return;
        }
    }
    panic!("it never opens");
}

#[test]
fn a_full_disk_names_its_remedy() {
    let disk = FakeDisk::default();
    let (mut store, _) = open(&disk).expect("it opens");
    disk.break_after(10, ErrorKind::StorageFull);
    let error = store.write(&jobs()).unwrap_err();
    assert!(error.to_string().contains("free space"), "{error}");
}

#[test]
fn a_failed_sync_is_never_tried_again() {
    let disk = FakeDisk::default();
    let (mut store, _) = open(&disk).expect("it opens");
    disk.fail_sync();
    assert!(store.write(&jobs()[..1]).is_err());
    disk.crash(|most| most);
    let error = store.write(&jobs()[..1]).unwrap_err();
    assert!(matches!(error, Error::Stopped), "{error}");
}

/// Any flipped bit before the last frame is refused with the remedy, and none is taken for data.
#[test]
fn damage_in_the_middle_is_refused() {
    let disk = FakeDisk::default();
    write(&disk, &jobs()[..3]);
    let (_, whole) = open(&disk).expect("it opens");
    // After opening, the file has a head, one frame of what was there, and then these two.
    let (mut store, _) = open(&disk).expect("it opens");
    store.write(&[job(3)]).expect("it writes");
    let name = only_log(&disk);
    let last = disk.read(&name).expect("it reads").len();
    store.write(&[job(4)]).expect("it writes");
    drop(store);
    for at in 0..last {
        disk.damage(&name, at);
        let error = open(&disk).err().expect("the damage is seen");
        assert!(matches!(error, Error::Damaged { .. }), "{error}");
        assert!(
            error.to_string().contains("add it as a new replica"),
            "{error}"
        );
        disk.damage(&name, at);
    }
    let (_, found) = open(&disk).expect("undamaged it opens");
    assert_eq!(found.records.len(), whole.records.len() + 2);
}

fn job(index: u64) -> Job {
    Job {
        number: 1,
        writes: vec![Write::Records(vec![record(2, index)])],
    }
}

fn only_log(disk: &FakeDisk) -> String {
    let names = disk.list().expect("it lists");
    let mut logs = names.into_iter().filter(|name| name.starts_with("log-"));
    logs.next().expect("there is a log")
}

#[test]
fn a_missing_snapshot_is_refused() {
    let mut disk = FakeDisk::default();
    write(&disk, &jobs());
    let names = disk.list().expect("it lists");
    let name = names.iter().find(|name| name.starts_with("snapshot-"));
    disk.remove(name.expect("there is a snapshot"))
        .expect("it goes");
    assert!(open(&disk).is_err());
}

/// Arbitrary bytes, also behind a good start, are refused or cut, never taken for records.
#[test]
fn the_decoders_stand_any_bytes() {
    let disk = FakeDisk::default();
    write(&disk, &jobs()[..3]);
    let good = disk.read(&only_log(&disk)).expect("it reads");
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let config = Config {
        cases: 2000,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let input = (prop::collection::vec(any::<u8>(), 0..300), 0..=good.len());
    let result = runner.run(&input, |(bytes, cut)| {
        let _ = read_snapshot("snapshot", &bytes);
        prop_assert!(read_log("log", &bytes).is_err());
        let mut file = good[..cut].to_vec();
        file.extend(&bytes);
        if let Ok(log) = read_log("log", &file) {
            prop_assert!(log.valid_bytes <= cut || cut == good.len());
            prop_assert!(log.records.len() <= 3);
        }
        Ok(())
    });
    result.expect("no bytes are taken for records");
}
