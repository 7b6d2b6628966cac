//! What `apply` and `diff` read, and how documents are compared.

use std::path::Path;

use eelgrassctl::config::differences;
use eelgrassctl::submission::Content;
use eelgrassdyke_core::config::{Change, Document};
use test_case::test_case;

const DOCUMENT: &str = r#"{ "services": { "draft": { "kind": "drafting" } } /* bare */ }"#;

fn parse(text: &str, patch: bool) -> Result<Content, String> {
    Content::parse(text, Path::new("x.json"), patch).map_err(|error| error.to_string())
}

fn document(text: &str) -> Document {
    match parse(text, false).unwrap().change() {
        Change::Replace(document) => document.clone(),
        Change::Patch(_) => panic!("not a whole document"),
    }
}

#[test]
fn a_bare_document_is_whole_unless_asked_otherwise() {
    assert_eq!(document(DOCUMENT).services.len(), 1);
    let content = parse(DOCUMENT, true).unwrap();
    assert!(matches!(content.change(), Change::Patch(_)));
}

#[test]
fn a_named_change_and_a_submission_say_what_they_are() {
    let patch = r#"{ "patch": { "teams": { "old": null } } }"#;
    let content = parse(patch, false).unwrap();
    assert!(matches!(content.change(), Change::Patch(patch) if patch.teams.len() == 1));
    let submission = format!(
        r#"{{ "operation": "op-1", "base": 4, "author": "me", "change": {{ "whole": {DOCUMENT} }} }}"#
    );
    let content = parse(&submission, false).unwrap();
    assert!(matches!(content, Content::Submission(held) if held.base.0 == 4));
}

#[test_case(r#"{ "service": {} }"#, "service"; "unknown field")]
#[test_case(r#"{ "teams": {}, "teams": {} }"#, "teams"; "duplicate field")]
#[test_case(r#"{ "services": { "draft": { "kind": "both" } } }"#, "services.draft.kind"; "bad value")]
#[test_case(r#"{ "operation": "op-1" }"#, "base"; "half a submission")]
#[test_case(r#"{ "whole": {}, "patch": {} }"#, "x.json"; "two changes")]
fn a_fault_names_its_place(text: &str, place: &str) {
    let error = parse(text, false).unwrap_err();
    assert!(error.contains(place), "{error}");
}

#[test]
fn differences_are_leaves_by_path() {
    let present = document(DOCUMENT);
    let wanted = document(
        r#"{ "services": { "draft": { "kind": "drafting", "timeout_ms": 9 } },
             "teams": { "hobart": { "tokens": [] } } }"#,
    );
    let found = differences(&present, &wanted).unwrap();
    let paths: Vec<&str> = found.iter().map(|held| held.path.as_str()).collect();
    let expected = [
        "services.draft.timeout_ms",
        "teams",
        "teams.hobart.shares",
        "teams.hobart.tokens",
    ];
    assert_eq!(paths, expected);
    assert!(differences(&wanted, &wanted).unwrap().is_empty());
}
