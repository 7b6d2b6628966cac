//! Parsing of the input files of `apply` and `diff`, and comparison of documents.

use std::path::Path;

use eelgrassctl::config::diff_documents;
use eelgrassctl::submission::ConfigInput;
use eelgrassdyke_core::config::{Change, Document};
use test_case::test_case;

const DOCUMENT: &str = r#"{ "services": { "draft": { "kind": "drafting" } } /* bare */ }"#;

fn parse(text: &str, patch: bool) -> Result<ConfigInput, String> {
    ConfigInput::parse(text, Path::new("x.json"), patch).map_err(|error| error.to_string())
}

fn document(text: &str) -> Document {
    match parse(text, false).unwrap().change() {
        Change::Replace(document) => document.clone(),
        Change::Patch(_) => panic!("not a whole document"),
    }
}

#[test]
fn a_bare_document_is_whole_unless_a_patch_is_requested() {
    assert_eq!(document(DOCUMENT).services.len(), 1);
    let input = parse(DOCUMENT, true).unwrap();
    assert!(matches!(input.change(), Change::Patch(_)));
}

#[test]
fn changes_and_submissions_are_recognised_by_their_fields() {
    let patch = r#"{ "patch": { "teams": { "old": null } } }"#;
    let input = parse(patch, false).unwrap();
    assert!(matches!(input.change(), Change::Patch(patch) if patch.teams.len() == 1));
    let submission = format!(
        r#"{{ "operation": "op-1", "base": 4, "author": "me", "change": {{ "whole": {DOCUMENT} }} }}"#
    );
    let input = parse(&submission, false).unwrap();
    assert!(matches!(input, ConfigInput::Submission(submission) if submission.base.0 == 4));
}

#[test_case(r#"{ "service": {} }"#, "service"; "unknown field")]
#[test_case(r#"{ "teams": {}, "teams": {} }"#, "teams"; "duplicate field")]
#[test_case(r#"{ "services": { "draft": { "kind": "both" } } }"#, "services.draft.kind"; "bad value")]
#[test_case(r#"{ "operation": "op-1" }"#, "base"; "incomplete submission")]
#[test_case(r#"{ "whole": {}, "patch": {} }"#, "x.json"; "two changes")]
fn an_error_names_the_invalid_field(text: &str, field: &str) {
    let error = parse(text, false).unwrap_err();
    assert!(error.contains(field), "{error}");
}

#[test]
fn differences_are_listed_by_path_of_the_leaf() {
    let current = document(DOCUMENT);
    let wanted = document(
        r#"{ "services": { "draft": { "kind": "drafting", "timeout_ms": 9 } },
             "teams": { "hobart": { "tokens": [] } } }"#,
    );
    let differences = diff_documents(&current, &wanted).unwrap();
    let paths: Vec<&str> = differences
        .iter()
        .map(|difference| difference.path.as_str())
        .collect();
    let expected = [
        "services.draft.timeout_ms",
        "teams",
        "teams.hobart.shares",
        "teams.hobart.tokens",
    ];
    assert_eq!(paths, expected);
    assert!(diff_documents(&wanted, &wanted).unwrap().is_empty());
}
