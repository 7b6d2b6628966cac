//! Disks of control processes that are full for a few seconds, one after the other, while operators change the
//! configuration: once the last has room again, every change must be accepted and read back.

mod cluster;
mod log_net;

use cluster::Cluster;
use eelgrassdyke_control::{Input, OperatorResponse};
use eelgrassdyke_core::config::{Document, Publication, Verdict};
use eelgrassdyke_core::id::Ticket;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// Time for which a disk is full, and the time between two of them, in milliseconds.
const FULL_MS: u64 = 4000;
const PAUSE_MS: u64 = 1000;

/// Time between two changes.
const CHANGE_MS: u64 = 500;

/// Time within which a change is acknowledged while nothing is wrong.
const ACK_MS_MAX: u64 = 4000;

/// Size of a large configuration: several snapshots' worth of the others.
const LARGE_BYTES: usize = 200_000;

/// What else happens while a disk is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    Nothing,
    /// Another follower was down for many records and gets a snapshot.
    Snapshot,
    /// A large configuration is sent.
    LargeChange,
    /// The process is killed, and starts again once its disk has room.
    Restart,
}

/// Publishes a configuration at any process that takes it, as an operator does, and returns whether it was
/// acknowledged in time.
fn publish(cluster: &mut Cluster, number: u64, bytes: usize, wait_ms: u64) -> bool {
    let publication = Publication {
        number,
        document: Document::default(),
        source: vec![b'x'; bytes],
    };
    let end = cluster.now + std::time::Duration::from_millis(wait_ms);
    while cluster.now < end {
        for to in 0..3 {
            cluster.last_ticket += 1;
            let ticket = Ticket(cluster.last_ticket);
            let publication = publication.clone();
            let input = Input::Publish {
                ticket,
                publication,
            };
            cluster.handle_input(to, input);
            cluster.run(100);
            let response = cluster.responses.get(&ticket);
            if let Some(OperatorResponse::Verdict(Verdict::Accepted { .. })) = response {
                return true;
            }
        }
    }
    false
}

/// The number of the publication that a process reads.
fn read(cluster: &mut Cluster, from: usize) -> Option<u64> {
    cluster.request(from, |ticket| Input::ReadPublication { ticket });
    cluster.run(1000);
    let ticket = Ticket(cluster.last_ticket);
    match cluster.responses.get(&ticket) {
        Some(OperatorResponse::Publication(Some(publication))) => Some(publication.number),
        _ => None,
    }
}

fn end_fullness(cluster: &mut Cluster, number: usize) {
    if cluster.processes[number].is_none() {
        cluster.disks[number].recover();
        cluster.start(number);
    } else if cluster.disks[number].has_failed() {
        cluster.recover_disk(number);
    } else {
        cluster.disks[number].recover();
    }
}

#[test_case(Trouble::Nothing)]
#[test_case(Trouble::Snapshot)]
#[test_case(Trouble::LargeChange)]
#[test_case(Trouble::Restart)]
fn changes_are_accepted_after_disks_were_full_in_turn(trouble: Trouble) {
    for seed in 0..15 {
        println!("seed {seed}");
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut cluster = Cluster::new();
        let mut number = 0;
        let mut acknowledged = 0;
        let mut full = 0;
        for round in 0..9 {
            full = match round % 3 {
                0 => cluster.leader(),
                _ => (full + 1) % 3,
            };
            let lagging = (full + 1) % 3;
            if trouble == Trouble::Snapshot {
                cluster.kill(lagging);
                for _ in 0..30 {
                    number += 1;
                    let is_accepted = publish(&mut cluster, number, 100, 200);
                    acknowledged = if is_accepted { number } else { acknowledged };
                }
            }
            let bytes = rng.random_range(0..3000);
            cluster.disks[full].fail_after(bytes, std::io::ErrorKind::StorageFull);
            if trouble == Trouble::Snapshot {
                cluster.start(lagging);
            }
            if trouble == Trouble::Restart && rng.random_bool(0.5) {
                cluster.kill(full);
            }
            let full_until = cluster.now + std::time::Duration::from_millis(FULL_MS);
            while cluster.now < full_until {
                number += 1;
                let size = match trouble {
                    Trouble::LargeChange if rng.random_bool(0.3) => LARGE_BYTES,
                    _ => 100,
                };
                if publish(&mut cluster, number, size, CHANGE_MS) {
                    acknowledged = number;
                }
            }
            end_fullness(&mut cluster, full);
            cluster.run(PAUSE_MS);
        }
        // Two of three must have what was acknowledged; none is full any more.
        cluster.run(ACK_MS_MAX);
        for reader in 0..3 {
            let read = read(&mut cluster, reader);
            assert!(
                read.is_some_and(|read| read >= acknowledged),
                "seed {seed}: process {reader} reads {read:?}, acknowledged {acknowledged}"
            );
        }
        number += 1;
        assert!(
            publish(&mut cluster, number, 100, ACK_MS_MAX),
            "seed {seed}: change {number} is not accepted"
        );
        for reader in 0..3 {
            assert_eq!(read(&mut cluster, reader), Some(number), "seed {seed}");
        }
    }
}
