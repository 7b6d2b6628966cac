//! Claims: windows, dates and bounds. What runs under them is in `claims_cores.rs`.

use eelgrassdyke_control::state::claim::{Claims, Limits};
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::{Incarnation, Key, Request};
use eelgrassdyke_core::time::Wall;
use eelgrassdyke_core::wire::claim::{Ask, Finding, Holder, Name, Outcome, Step};
use eelgrassdyke_core::wire::dispatch::Head;
use eelgrassdyke_core::wire::{decode, encode};
use test_case::test_case;

const HOUR_MS: u64 = 3_600_000;
const DAY_MS: u64 = 24 * HOUR_MS;
const NOW: Wall = Wall(1_764_797_040_000);

/// A key of the form of RFC 9562 version 7 made at `date`.
fn dated(date: Wall, number: u64) -> String {
    let high = date.0 >> 16;
    let low = date.0 & 0xffff;
    format!("{high:08x}-{low:04x}-7000-8000-{number:012x}")
}

fn name(key: &str) -> Name {
    Name {
        team: "hobart".parse().unwrap(),
        key: key.parse().unwrap(),
    }
}

fn holder(server: &str) -> Holder {
    Holder {
        server: server.parse().unwrap(),
        incarnation: Incarnation(1),
        address: "127.0.0.1:9".parse().unwrap(),
    }
}

fn request(number: u64) -> Request {
    Request {
        entry: "entry-1".parse().unwrap(),
        incarnation: Incarnation(1),
        number,
    }
}

fn claim(claims: &mut Claims, clock: Wall, number: u64, key: &str) -> Finding {
    claims.forget(clock);
    let step = Step::Claim {
        call: Sha256::of(b"call"),
        holder: holder("orders-1"),
        replaces: None,
    };
    let ask = Ask {
        request: request(number),
        name: name(key),
        step,
    };
    claims.apply(clock, &ask)
}

fn granted_to(claim: u32, server: &str) -> Finding {
    let holder = holder(server);
    Finding::Granted { claim, holder }
}

fn settle(claims: &mut Claims, clock: Wall, key: &str, claim: u32, outcome: Outcome) -> Finding {
    let ask = Ask {
        request: request(1),
        name: name(key),
        step: Step::Settle { claim, outcome },
    };
    claims.apply(clock, &ask)
}

fn answered(bytes: usize) -> Outcome {
    Outcome::Answered {
        head: Head {
            status: 200,
            headers: Vec::new(),
        },
        body: vec![0; bytes],
    }
}

#[test_case("018f3b2e-7c00-7abc-8def-0123456789ab", Some(0x018f_3b2e_7c00); "version 7")]
#[test_case("018f3b2e-7c00-4abc-8def-0123456789ab", None; "version 4")]
#[test_case("018f3b2e-7c00-7abc-8def-0123456789ag", None; "not hexadecimal")]
#[test_case("018f3b2e:7c00-7abc-8def-0123456789ab", None; "no hyphen")]
#[test_case("order-1", None; "other text")]
fn a_key_of_version_7_carries_its_date(text: &str, date: Option<u64>) {
    let key: Key = text.parse().unwrap();
    assert_eq!(key.date(), date.map(Wall));
}

#[test]
fn a_resend_after_its_window_is_too_old_and_not_run_as_new() {
    for key in [dated(NOW, 1), "order-1".to_owned()] {
        let mut claims = Claims::default();
        assert_eq!(claim(&mut claims, NOW, 1, &key), granted_to(1, "orders-1"));
        settle(&mut claims, NOW, &key, 1, answered(2));
        let later = Wall(NOW.0 + DAY_MS - 1);
        assert_eq!(
            claim(&mut claims, later, 2, &key),
            Finding::Settled(answered(2))
        );
        for wait in [DAY_MS, 400 * DAY_MS] {
            let later = Wall(NOW.0 + wait);
            assert_eq!(
                claim(&mut claims, later, 2, &key),
                Finding::Expired,
                "{key}"
            );
        }
        assert!(claims.is_empty());
        assert_eq!(claims.bytes(), 0);
    }
}

#[test]
fn a_first_claim_of_an_old_key_is_refused_also_when_nothing_is_remembered() {
    let key = dated(Wall(NOW.0 - DAY_MS), 1);
    assert_eq!(
        claim(&mut Claims::default(), NOW, 1, &key),
        Finding::Expired
    );
}

#[test]
fn a_key_dated_ahead_of_the_clock_is_refused() {
    let key = dated(Wall(NOW.0 + HOUR_MS), 1);
    assert_eq!(claim(&mut Claims::default(), NOW, 1, &key), Finding::Ahead);
    let key = dated(Wall(NOW.0 + 1000), 1);
    let finding = claim(&mut Claims::default(), NOW, 1, &key);
    assert_eq!(finding, granted_to(1, "orders-1"));
}

#[test]
fn another_call_under_a_held_key_is_refused() {
    let mut claims = Claims::default();
    claim(&mut claims, NOW, 1, "order-1");
    let step = Step::Claim {
        call: Sha256::of(b"another"),
        holder: holder("orders-1"),
        replaces: Some(1),
    };
    let ask = Ask {
        request: request(2),
        name: name("order-1"),
        step,
    };
    assert_eq!(claims.apply(NOW, &ask), Finding::Other);
}

#[test]
fn late_copies_of_a_replaced_claim_and_its_outcome_change_nothing() {
    let mut claims = Claims::default();
    claim(&mut claims, NOW, 1, "order-1");
    let replace = |claims: &mut Claims, number, server, replaces| {
        let step = Step::Claim {
            call: Sha256::of(b"call"),
            holder: holder(server),
            replaces: Some(replaces),
        };
        let ask = Ask {
            request: request(number),
            name: name("order-1"),
            step,
        };
        claims.apply(NOW, &ask)
    };
    let second = granted_to(2, "orders-2");
    assert_eq!(replace(&mut claims, 2, "orders-2", 1), second);
    assert_eq!(replace(&mut claims, 2, "orders-2", 1), second, "resent");
    let held = Finding::Held {
        claim: 2,
        holder: holder("orders-2"),
    };
    assert_eq!(replace(&mut claims, 3, "orders-1", 1), held);
    assert_eq!(claim(&mut claims, NOW, 1, "order-1"), held);
    assert_eq!(settle(&mut claims, NOW, "order-1", 1, answered(1)), held);
    settle(&mut claims, NOW, "order-1", 2, Outcome::NotRun);
    let third = granted_to(3, "orders-1");
    assert_eq!(claim(&mut claims, NOW, 4, "order-1"), third);
}

#[test]
fn a_full_store_drops_the_oldest_as_too_old_but_never_a_young_one() {
    let limits = Limits {
        bytes: 100_000,
        undated: 10,
    };
    let mut claims = Claims::with_limits(limits);
    let mut granted = 0;
    while claim(&mut claims, NOW, 1, &dated(NOW, granted)) != Finding::Full {
        granted += 1;
    }
    assert!(granted > 10);
    assert_eq!(claims.len() as u64, granted);

    // All are younger than the least window, so none gives way; later the oldest do.
    let later = Wall(NOW.0 + HOUR_MS);
    let finding = claim(&mut claims, later, 1, &dated(later, 1));
    assert_eq!(finding, granted_to(1, "orders-1"));
    assert_eq!(
        claim(&mut claims, later, 2, &dated(NOW, 0)),
        Finding::Expired
    );
    assert_eq!(
        claim(&mut claims, later, 2, &dated(NOW, 1 << 40)),
        Finding::Expired
    );
}

#[test]
fn keys_without_a_date_are_bounded_and_never_run_as_new() {
    let limits = Limits {
        bytes: 1 << 20,
        undated: 10,
    };
    let mut claims = Claims::with_limits(limits);
    for number in 0..10 {
        let finding = claim(&mut claims, NOW, number, &format!("order-{number}"));
        assert_eq!(finding, granted_to(1, "orders-1"));
    }
    assert_eq!(claim(&mut claims, NOW, 10, "order-10"), Finding::Undated);
    let later = Wall(NOW.0 + 2 * DAY_MS);
    claims.forget(later);
    let mut claims: Claims = decode(&encode(&claims).unwrap()).unwrap();
    assert_eq!(claim(&mut claims, later, 10, "order-10"), Finding::Undated);
    assert_eq!(claim(&mut claims, later, 10, "order-3"), Finding::Expired);
    let finding = claim(&mut claims, later, 11, &dated(later, 1));
    assert_eq!(finding, granted_to(1, "orders-1"));
}

#[test]
fn an_answer_without_room_is_dropped_but_that_it_ran_is_kept() {
    let limits = Limits {
        bytes: 2000,
        undated: 10,
    };
    let mut claims = Claims::with_limits(limits);
    claim(&mut claims, NOW, 1, "order-1");
    let finding = settle(&mut claims, NOW, "order-1", 1, answered(10_000));
    assert_eq!(finding, Finding::Settled(Outcome::Lost));
    let finding = claim(&mut claims, NOW, 2, "order-1");
    assert_eq!(finding, Finding::Settled(Outcome::Lost));
}
