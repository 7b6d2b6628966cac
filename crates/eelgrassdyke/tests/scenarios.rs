//! The scripted scenarios of `tests/scenarios`, over the real binaries on loopback.
//!
//! Each file says in its first lines what it shows. A failed scenario keeps its folder of logs.

use std::path::Path;
use std::sync::{Mutex, MutexGuard};

use eelgrassdyke_testkit::scenario::Scenario;
use eelgrassdyke_testkit::site::Options;
use test_case::test_case;

/// Sites at a time: a scenario starts a dozen processes.
const SITES: usize = 3;

static TURNS: [Mutex<()>; SITES] = [const { Mutex::new(()) }; SITES];

/// Waits for the turn of the scenario's file name.
fn turn(name: &str) -> MutexGuard<'static, ()> {
    let place = name.bytes().map(usize::from).sum::<usize>() % SITES;
    TURNS[place]
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn run(name: &str) {
    let _turn = turn(name);
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/scenarios")
        .join(name);
    let text = std::fs::read_to_string(&path).unwrap();
    let scenario = Scenario::parse(&text).unwrap();
    let mut folder = tempfile::tempdir().unwrap();
    let binary = Path::new(env!("CARGO_BIN_EXE_eelgrassdyke"));
    let result = eelgrassdyke_node::runtime::block_on(async {
        scenario
            .run(binary, folder.path(), Options::default())
            .await
    });
    if let Err(error) = result.unwrap() {
        folder.disable_cleanup(true);
        panic!("{name}: {error}\nlogs in {}", folder.path().display());
    }
}

#[test_case("plain-day.txt")]
#[test_case("agent-killed.txt")]
#[test_case("entry-killed.txt")]
#[test_case("messages-doubled-and-late.txt")]
#[test_case("graceful-stop.txt")]
#[test_case("engine-frozen.txt")]
#[test_case("leader-killed.txt")]
#[test_case("leader-frozen.txt")]
#[test_case("leader-cut-off.txt")]
#[test_case("disks-lost-one-after-another.txt")]
#[test_case("operators-race.txt")]
#[test_case("away-for-long.txt")]
#[test_case("control-out.txt")]
#[test_case("entry-cut-off-from-control.txt")]
#[test_case("two-at-once.txt")]
#[test_case("orders-under-failure.txt")]
fn scenario_holds(name: &str) {
    run(name);
}
