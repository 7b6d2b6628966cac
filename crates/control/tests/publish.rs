//! Publications: the highest number is in force, whatever the order of arrival.

use eelgrassdyke_control::state::config::Config;
use eelgrassdyke_core::config::{
    Document, MountSpec, Publication, RetryPolicy, ServiceSpec, Verdict, WeightedService,
};
use eelgrassdyke_core::id::Version;
use rand::{RngExt as _, SeedableRng as _, seq::SliceRandom as _};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

fn service() -> ServiceSpec {
    serde_json::from_str(r#"{"kind": "plain"}"#).unwrap()
}

fn mount(timeout_ms: u64) -> MountSpec {
    MountSpec {
        host: "orders.example".to_owned(),
        prefix: "/charges/".to_owned(),
        retry_policy: RetryPolicy::Never,
        timeout_ms,
        latency_target_ms: 100,
        gap_target_ms: 0,
        priority: 1,
        split: vec![WeightedService {
            service: "orders".parse().unwrap(),
            weight: 1,
        }],
        max_attempts: 1,
        anonymous: true,
    }
}

fn document(timeout_ms: u64) -> Document {
    let mut document = Document::default();
    document
        .services
        .insert("orders".parse().unwrap(), service());
    let mount = mount(timeout_ms);
    document.mounts.insert("charges".parse().unwrap(), mount);
    document
}

fn publication(number: u64, timeout_ms: u64) -> Publication {
    Publication {
        number,
        document: document(timeout_ms),
        source: format!("{number}/{timeout_ms}").into_bytes(),
    }
}

fn is_accepted(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Accepted { .. })
}

#[test]
fn highest_number_is_in_force_in_any_order_of_arrival() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..50 {
        let mut numbers: Vec<u64> = (1..20).map(|n| n * rng.random_range(1..5)).collect();
        numbers.shuffle(&mut rng);
        let mut config = Config::default();
        let mut version = Version(0);
        for number in &numbers {
            assert!(is_accepted(&config.publish(&publication(*number, *number))));
            assert!(config.version() >= version);
            version = config.version();
        }
        let highest = numbers.iter().max().copied().unwrap();
        let (number, source) = config.publication().unwrap();
        assert_eq!(number, highest);
        assert_eq!(source, format!("{highest}/{highest}").as_bytes());
        assert_eq!(*config.document(), document(highest));
    }
}

#[test]
fn resent_number_with_other_content_changes_nothing() {
    let mut config = Config::default();
    config.publish(&publication(5, 100));
    assert!(is_accepted(&config.publish(&publication(5, 200))));
    assert!(is_accepted(&config.publish(&publication(4, 300))));
    assert_eq!(*config.document(), document(100));
    assert_eq!(config.publication(), Some((5, b"5/100".as_slice())));
}

#[test_case(|d| d.mounts.values_mut().next().unwrap().timeout_ms = 0; "zero time-out")]
#[test_case(|d| d.mounts.values_mut().next().unwrap().split[0].weight = 0; "zero weight")]
#[test_case(|d| d.services.clear(); "unknown service")]
#[test_case(|d| d.mounts.values_mut().next().unwrap().prefix = "charges".to_owned(); "invalid prefix")]
#[test_case(|d| { let m = d.mounts.values().next().unwrap().clone(); d.mounts.insert("again".parse().unwrap(), m); }; "duplicate location")]
fn invalid_publication_is_refused_whatever_its_number(invalidate: fn(&mut Document)) {
    let mut config = Config::default();
    config.publish(&publication(5, 100));
    for number in [4, 5, 6] {
        let mut invalid = publication(number, 100);
        invalidate(&mut invalid.document);
        assert!(matches!(config.publish(&invalid), Verdict::Invalid { .. }));
    }
    assert_eq!(config.publication(), Some((5, b"5/100".as_slice())));
    assert!(is_accepted(&config.publish(&publication(6, 100))));
}

#[test]
fn follower_receives_only_changed_objects() {
    let mut config = Config::default();
    let mut first = publication(1, 100);
    for number in 0..300 {
        let mut mount = mount(100);
        mount.prefix = format!("/idle-{number}/");
        let name = format!("idle-{number}").parse().unwrap();
        first.document.mounts.insert(name, mount);
    }
    config.publish(&first);
    let (version, digest) = (config.version(), config.digest());
    let mut second = first.clone();
    second.number = 9;
    second
        .document
        .mounts
        .get_mut(&"idle-7".parse().unwrap())
        .unwrap()
        .timeout_ms = 50;
    config.publish(&second);
    let update = config.update_since(version, &digest).unwrap();
    let bytes = eelgrassdyke_core::wire::encode(&update).unwrap();
    assert!(bytes.len() < 1000, "{} bytes for one mount", bytes.len());
}
