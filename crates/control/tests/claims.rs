//! Claims: retention, dates and limits. Execution under claims is tested in `claims_cores.rs`.

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

/// A UUID of version 7 (RFC 9562) created at `date`.
fn dated(date: WallTime, number: u64) -> String {
    let high = date.0 >> 16;
    let low = date.0 & 0xffff;
    format!("{high:08x}-{low:04x}-7000-8000-{number:012x}")
}

fn team_key(key: &str) -> TeamKey {
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

fn request_id(number: u64) -> RequestId {
    RequestId {
        entry: "entry-1".parse().unwrap(),
        incarnation: Incarnation(1),
        number,
    }
}

fn claim(claims: &mut Claims, clock: WallTime, number: u64, key: &str) -> ClaimResult {
    claims.expire(clock);
    let action = ClaimAction::Claim {
        call_digest: Sha256::of(b"call"),
        holder: holder("orders-1"),
        replaces: None,
    };
    let request = ClaimRequest {
        request: request_id(number),
        team_key: team_key(key),
        action,
    };
    claims.apply(clock, &request)
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
    let request = ClaimRequest {
        request: request_id(1),
        team_key: team_key(key),
        action: ClaimAction::Settle { claim, outcome },
    };
    claims.apply(clock, &request)
}

fn answered_outcome(bytes: usize) -> ClaimOutcome {
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
fn key_of_version_7_contains_its_date(text: &str, date: Option<u64>) {
    let key: IdempotencyKey = text.parse().unwrap();
    assert_eq!(key.date(), date.map(WallTime));
}

#[test]
fn resend_after_the_retention_is_expired_and_not_run_again() {
    for key in [dated(NOW, 1), "order-1".to_owned()] {
        let mut claims = Claims::default();
        assert_eq!(claim(&mut claims, NOW, 1, &key), granted_to(1, "orders-1"));
        settle(&mut claims, NOW, &key, 1, answered_outcome(2));
        let later = WallTime(NOW.0 + DAY_MS - 1);
        assert_eq!(
            claim(&mut claims, later, 2, &key),
            ClaimResult::Settled(answered_outcome(2))
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
fn first_claim_of_an_old_key_is_refused_by_an_empty_store() {
    let key = dated(WallTime(NOW.0 - DAY_MS), 1);
    assert_eq!(
        claim(&mut Claims::default(), NOW, 1, &key),
        ClaimResult::Expired
    );
}

#[test]
fn key_dated_in_the_future_is_refused() {
    let key = dated(WallTime(NOW.0 + HOUR_MS), 1);
    assert_eq!(
        claim(&mut Claims::default(), NOW, 1, &key),
        ClaimResult::DateInFuture
    );
    let key = dated(WallTime(NOW.0 + 1000), 1);
    let result = claim(&mut Claims::default(), NOW, 1, &key);
    assert_eq!(result, granted_to(1, "orders-1"));
}

#[test]
fn different_call_under_a_claimed_key_is_refused() {
    let mut claims = Claims::default();
    claim(&mut claims, NOW, 1, "order-1");
    let action = ClaimAction::Claim {
        call_digest: Sha256::of(b"another"),
        holder: holder("orders-1"),
        replaces: Some(1),
    };
    let request = ClaimRequest {
        request: request_id(2),
        team_key: team_key("order-1"),
        action,
    };
    assert_eq!(claims.apply(NOW, &request), ClaimResult::KeyReused);
}

#[test]
fn delayed_copies_of_a_replaced_claim_and_its_outcome_have_no_effect() {
    let mut claims = Claims::default();
    claim(&mut claims, NOW, 1, "order-1");
    let replace = |claims: &mut Claims, number, server, replaces| {
        let action = ClaimAction::Claim {
            call_digest: Sha256::of(b"call"),
            holder: holder(server),
            replaces: Some(replaces),
        };
        let request = ClaimRequest {
            request: request_id(number),
            team_key: team_key("order-1"),
            action,
        };
        claims.apply(NOW, &request)
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
    assert_eq!(
        settle(&mut claims, NOW, "order-1", 1, answered_outcome(1)),
        held
    );
    settle(&mut claims, NOW, "order-1", 2, ClaimOutcome::NotRun);
    let third = granted_to(3, "orders-1");
    assert_eq!(claim(&mut claims, NOW, 4, "order-1"), third);
}

#[test]
fn full_store_evicts_the_oldest_claims_but_no_recent_ones() {
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

    // All claims are within the minimum retention, so none is evicted; an hour later the oldest are.
    let later = WallTime(NOW.0 + HOUR_MS);
    let result = claim(&mut claims, later, 1, &dated(later, 1));
    assert_eq!(result, granted_to(1, "orders-1"));
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
fn keys_without_a_date_are_limited_and_never_run_again() {
    let limits = Limits {
        max_bytes: 1 << 20,
        max_undated_keys: 10,
    };
    let mut claims = Claims::with_limits(limits);
    for number in 0..10 {
        let result = claim(&mut claims, NOW, number, &format!("order-{number}"));
        assert_eq!(result, granted_to(1, "orders-1"));
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
    let result = claim(&mut claims, later, 11, &dated(later, 1));
    assert_eq!(result, granted_to(1, "orders-1"));
}

#[test]
fn response_that_does_not_fit_is_dropped_but_the_execution_is_recorded() {
    let limits = Limits {
        max_bytes: 2000,
        max_undated_keys: 10,
    };
    let mut claims = Claims::with_limits(limits);
    claim(&mut claims, NOW, 1, "order-1");
    let result = settle(&mut claims, NOW, "order-1", 1, answered_outcome(10_000));
    assert_eq!(result, ClaimResult::Settled(ClaimOutcome::ResponseLost));
    let result = claim(&mut claims, NOW, 2, "order-1");
    assert_eq!(result, ClaimResult::Settled(ClaimOutcome::ResponseLost));
}
