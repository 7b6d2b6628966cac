//! Reports print the same numbers in every format.

use eelgrassctl::report::{csv, html, quantile_ms, rows};
use eelgrassdyke_control::report::UsageLine;
use eelgrassdyke_core::config::{Document, Share, TeamSpec};
use eelgrassdyke_core::unit::Permille;
use eelgrassdyke_core::wire::refusal::Reason;
use eelgrassdyke_core::wire::report::{LATENCY_BUCKETS_US, UsageCounts};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn line(team: &str, delivered: u64, tokens: u64) -> UsageLine {
    let mut counts = UsageCounts {
        received: delivered + 3,
        delivered,
        ..UsageCounts::default()
    };
    counts.refused.insert(Reason::ShareExceeded, 2);
    UsageCounts::observe(&mut counts.total_us, 5_000);
    let ran = UsageCounts {
        forwarded: delivered,
        tokens,
        ..UsageCounts::default()
    };
    UsageLine {
        team: team.parse().unwrap(),
        service: "draft".parse().unwrap(),
        delivered: counts,
        ran,
        uncertain: 1,
    }
}

fn document() -> Document {
    let share = Share {
        guaranteed: Permille(300),
        weight: 2,
        cap: Permille(900),
    };
    let team = TeamSpec {
        tokens: Vec::new(),
        shares: [("draft".parse().unwrap(), share)].into(),
        priority: None,
    };
    Document {
        teams: [("big".parse().unwrap(), team)].into(),
        ..Document::default()
    }
}

#[test]
fn shares_are_set_against_what_ran() {
    let rows = rows(
        vec![line("big", 10, 750), line("small", 5, 250)],
        &document(),
    );
    assert_eq!(rows[0].received, Permille(750));
    assert_eq!(rows[0].declared.guaranteed, Permille(300));
    assert_eq!(rows[1].received, Permille(250));
    assert_eq!(rows[1].declared, Share::default());
    assert_eq!(rows[1].refused(), 2);
}

#[test]
fn csv_has_a_line_of_names_and_a_line_for_each_row() {
    let rows = rows(
        vec![line("big", 10, 750), line("small", 5, 250)],
        &document(),
    );
    let text = csv::render(&rows);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3);
    let columns = lines[0].split(',').count();
    assert!(lines.iter().all(|line| line.split(',').count() == columns));
    assert!(lines[1].starts_with("big,draft,13,10,10,2,1,750,"));
}

#[test]
fn the_page_needs_no_other_file_and_escapes_what_it_shows() {
    let rows = rows(vec![line("big", 10, 750)], &document());
    let page = html::render(&rows);
    for outside in ["<script", "http:", "https:", "<link", "url(", "src="] {
        assert!(!page.contains(outside), "{outside}");
    }
    assert!(page.contains("prefers-color-scheme: dark"));
    assert!(page.contains("<svg") && page.contains("750"));
    assert_eq!(
        eelgrassctl::report::escape("<a&\">"),
        "&lt;a&amp;&quot;&gt;"
    );
    assert!(html::render(&[]).contains("Nothing was asked yet"));
}

/// The quantile of the readings' own bucket bounds, found by sorting.
fn naive(readings: &[u64], percent: u64) -> Option<u64> {
    let bound = |micros: &u64| {
        let above = LATENCY_BUCKETS_US.iter().find(|bound| **bound >= *micros);
        above.or(LATENCY_BUCKETS_US.last()).copied()
    };
    let mut bounds: Vec<u64> = readings.iter().filter_map(bound).collect();
    bounds.sort_unstable();
    let rank = (bounds.len() as u64 * percent).div_ceil(100);
    let micros = bounds.get(rank.checked_sub(1)? as usize)?;
    Some(micros.div_ceil(1000))
}

#[test]
fn quantiles_agree_with_sorting_every_reading() {
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let readings = proptest::collection::vec(0..90_000_000u64, 0..40);
    let outcome = TestRunner::new_with_rng(config, rng).run(&(readings, 1..=100u64), |case| {
        let (readings, percent) = case;
        let mut buckets = Vec::new();
        for reading in &readings {
            UsageCounts::observe(&mut buckets, *reading);
        }
        prop_assert_eq!(quantile_ms(&buckets, percent), naive(&readings, percent));
        Ok(())
    });
    outcome.unwrap();
}
