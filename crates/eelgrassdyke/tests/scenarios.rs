//! Runs the scenario files in `tests/scenarios` with the real binaries on the loopback interface.
//!
//! The first lines of each file describe the scenario. A failed scenario keeps its folder with the
//! logs.

use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard};

use eelgrassdyke_testkit::scenario::Scenario;
use eelgrassdyke_testkit::site::{Builds, Options};
use test_case::test_case;

/// Maximum number of concurrent scenarios, each of which starts a dozen processes.
const SCENARIOS_MAX: usize = 3;

static SLOTS: [Mutex<()>; SCENARIOS_MAX] = [const { Mutex::new(()) }; SCENARIOS_MAX];

/// Waits for the slot of a scenario, which its file name determines.
fn acquire_slot(name: &str) -> MutexGuard<'static, ()> {
    let slot = name.bytes().map(usize::from).sum::<usize>() % SCENARIOS_MAX;
    SLOTS[slot]
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn present_build() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_eelgrassdyke"))
}

fn run_scenario(name: &str, builds: Builds) {
    let _slot = acquire_slot(name);
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/scenarios")
        .join(name);
    let text = std::fs::read_to_string(&path).unwrap();
    let scenario = Scenario::parse(&text).unwrap();
    let mut folder = tempfile::tempdir().unwrap();
    let result = eelgrassdyke_node::runtime::block_on(async {
        scenario
            .run(builds, folder.path(), Options::default())
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
    run_scenario(name, present_build().into());
}

// EARLIER_BUILD is the executable of an earlier build; without it, the present build is exchanged for
// itself.
#[test]
fn earlier_build_is_exchanged_for_the_present_one_and_back() {
    let earlier = std::env::var_os("EARLIER_BUILD").map(PathBuf::from);
    let second = present_build().to_owned();
    let first = earlier.unwrap_or_else(|| second.clone());
    run_scenario("exchange.txt", Builds { first, second });
}
