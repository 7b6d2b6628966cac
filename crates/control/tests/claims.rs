//! Claims: windows, dates and bounds. What runs under them is in `claims_cores.rs`.

use eelgrassdyke_control::state::claim::{Claims, Limits};
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::{IdempotencyKey, Incarnation, RequestId};
use eelgrassdyke_core::time::WallTime;
use eelgrassdyke_core::wire::claim::{
    ClaimAction, ClaimOutcome, ClaimRequest, ClaimResult, Holder, TeamKey,
};
use eelgrassdyke_core::wire::dispatch::ResponseHead;
use eelgrassdyke_core::wire::{decode, encode};
use test_case::test_case;

const HOUR_MS: u64 = 3_600_000;
const DAY_MS: u64 = 24 * HOUR_MS;
const NOW: WallTime = WallTime(1_764_797_040_000);

/// A key of the form of RFC 9562 version 7 made at `date`.
fn dated(date: WallTime, number: u64) -> String {
    let high = date.0 >> 16;
    let low = date.0 & 0xffff;
    format!("{high:08x}-{low:04x}-7000-8000-{number:012x}")
}

fn name(key: &str) -> TeamKey {
    TeamKey {
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

fn request(number: u64) -> RequestId {
    RequestId {
        entry: "entry-1".parse().unwrap(),
        incarnation: Incarnation(1),
        number,
    }
}

fn claim(claims: &mut Claims, clock: WallTime, number: u64, key: &str) -> ClaimResult {
    claims.expire(clock);
    let step = ClaimAction::Claim {
        call_digest: Sha256::of(b"call"),
        holder: holder("orders-1"),
        replaces: None,
    };
    let ask = ClaimRequest {
        request: request(number),
        team_key: name(key),
        action: step,
    };
    claims.apply(clock, &ask)
}

fn granted_to(claim: u32, server: &str) -> ClaimResult {
    let holder = holder(server);
    ClaimResult::Granted { claim, holder }
}

fn settle(
    claims: &mut Claims,
    clock: WallTime,
    key: &str,
    claim: u32,
    outcome: ClaimOutcome,
) -> ClaimResult {
    let ask = ClaimRequest {
        request: request(1),
        team_key: name(key),
        action: ClaimAction::Settle { claim, outcome },
    };
    claims.apply(clock, &ask)
}

fn answered(bytes: usize) -> ClaimOutcome {
    ClaimOutcome::Answered {
        head: ResponseHead {
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
    let key: IdempotencyKey = text.parse().unwrap();
    assert_eq!(key.date(), date.map(WallTime));
}

#[test]
fn a_resend_after_its_window_is_too_old_and_not_run_as_new() {
    for key in [dated(NOW, 1), "order-1".to_owned()] {
        let mut claims = Claims::default();
        assert_eq!(claim(&mut claims, NOW, 1, &key), granted_to(1, "orders-1"));
        settle(&mut claims, NOW, &key, 1, answered(2));
        let later = WallTime(NOW.0 + DAY_MS - 1);
        assert_eq!(
            claim(&mut claims, later, 2, &key),
            ClaimResult::Settled(answered(2))
        );
        for wait in [DAY_MS, 400 * DAY_MS] {
            let later = WallTime(NOW.0 + wait);
            assert_eq!(
                claim(&mut claims, later, 2, &key),
                ClaimResult::Expired,
                "{key}"
            );
        }
        assert!(claims.is_empty());
        assert_eq!(claims.bytes(), 0);
    }
}

#[test]
fn a_first_claim_of_an_old_key_is_refused_also_when_nothing_is_remembered() {
    let key = dated(WallTime(NOW.0 - DAY_MS), 1);
    assert_eq!(
        claim(&mut Claims::default(), NOW, 1, &key),
        ClaimResult::Expired
    );
}

#[test]
fn a_key_dated_ahead_of_the_clock_is_refused() {
    let key = dated(WallTime(NOW.0 + HOUR_MS), 1);
    assert_eq!(
        claim(&mut Claims::default(), NOW, 1, &key),
        ClaimResult::DateInFuture
    );
    let key = dated(WallTime(NOW.0 + 1000), 1);
    let finding = claim(&mut Claims::default(), NOW, 1, &key);
    assert_eq!(finding, granted_to(1, "orders-1"));
}

#[test]
fn another_call_under_a_held_key_is_refused() {
    let mut claims = Claims::default();
    claim(&mut claims, NOW, 1, "order-1");
    let step = ClaimAction::Claim {
        call_digest: Sha256::of(b"another"),
        holder: holder("orders-1"),
        replaces: Some(1),
    };
    let ask = ClaimRequest {
        request: request(2),
        team_key: name("order-1"),
        action: step,
    };
    assert_eq!(claims.apply(NOW, &ask), ClaimResult::KeyReused);
}

#[test]
fn late_copies_of_a_replaced_claim_and_its_outcome_change_nothing() {
    let mut claims = Claims::default();
    claim(&mut claims, NOW, 1, "order-1");
    let replace = |claims: &mut Claims, number, server, replaces| {
        let step = ClaimAction::Claim {
            call_digest: Sha256::of(b"call"),
            holder: holder(server),
            replaces: Some(replaces),
        };
        let ask = ClaimRequest {
            request: request(number),
            team_key: name("order-1"),
            action: step,
        };
        claims.apply(NOW, &ask)
    };
    let second = granted_to(2, "orders-2");
    assert_eq!(replace(&mut claims, 2, "orders-2", 1), second);
    assert_eq!(replace(&mut claims, 2, "orders-2", 1), second, "resent");
    let held = ClaimResult::Held {
        claim: 2,
        holder: holder("orders-2"),
    };
    assert_eq!(replace(&mut claims, 3, "orders-1", 1), held);
    assert_eq!(claim(&mut claims, NOW, 1, "order-1"), held);
    assert_eq!(settle(&mut claims, NOW, "order-1", 1, answered(1)), held);
    settle(&mut claims, NOW, "order-1", 2, ClaimOutcome::NotRun);
    let third = granted_to(3, "orders-1");
    assert_eq!(claim(&mut claims, NOW, 4, "order-1"), third);
}

#[test]
fn a_full_store_drops_the_oldest_as_too_old_but_never_a_young_one() {
    let limits = Limits {
        max_bytes: 100_000,
        max_undated_keys: 10,
    };
    let mut claims = Claims::with_limits(limits);
    let mut granted = 0;
    while claim(&mut claims, NOW, 1, &dated(NOW, granted)) != ClaimResult::TooManyOpen {
        granted += 1;
    }
    assert!(granted > 10);
    assert_eq!(claims.len() as u64, granted);

    // All are younger than the least window, so none gives way; later the oldest do.
    let later = WallTime(NOW.0 + HOUR_MS);
    let finding = claim(&mut claims, later, 1, &dated(later, 1));
    assert_eq!(finding, granted_to(1, "orders-1"));
    assert_eq!(
        claim(&mut claims, later, 2, &dated(NOW, 0)),
        ClaimResult::Expired
    );
    assert_eq!(
        claim(&mut claims, later, 2, &dated(NOW, 1 << 40)),
        ClaimResult::Expired
    );
}

#[test]
fn keys_without_a_date_are_bounded_and_never_run_as_new() {
    let limits = Limits {
        max_bytes: 1 << 20,
        max_undated_keys: 10,
    };
    let mut claims = Claims::with_limits(limits);
    for number in 0..10 {
        let finding = claim(&mut claims, NOW, number, &format!("order-{number}"));
        assert_eq!(finding, granted_to(1, "orders-1"));
    }
    assert_eq!(
        claim(&mut claims, NOW, 10, "order-10"),
        ClaimResult::TooManyUndated
    );
    let later = WallTime(NOW.0 + 2 * DAY_MS);
    claims.expire(later);
    let mut claims: Claims = decode(&encode(&claims).unwrap()).unwrap();
    assert_eq!(
        claim(&mut claims, later, 10, "order-10"),
        ClaimResult::TooManyUndated
    );
    assert_eq!(
        claim(&mut claims, later, 10, "order-3"),
        ClaimResult::Expired
    );
    let finding = claim(&mut claims, later, 11, &dated(later, 1));
    assert_eq!(finding, granted_to(1, "orders-1"));
}

#[test]
fn an_answer_without_room_is_dropped_but_that_it_ran_is_kept() {
    let limits = Limits {
        max_bytes: 2000,
        max_undated_keys: 10,
    };
    let mut claims = Claims::with_limits(limits);
    claim(&mut claims, NOW, 1, "order-1");
    let finding = settle(&mut claims, NOW, "order-1", 1, answered(10_000));
    assert_eq!(finding, ClaimResult::Settled(ClaimOutcome::ResponseLost));
    let finding = claim(&mut claims, NOW, 2, "order-1");
    assert_eq!(finding, ClaimResult::Settled(ClaimOutcome::ResponseLost));
}
