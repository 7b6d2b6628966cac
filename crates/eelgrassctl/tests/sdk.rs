//! The Python library and control refuse the same documents, with faults at the same paths.

use std::path::{Path, PathBuf};
use std::process::Command;

use eelgrassdyke_control::state::validate::validate;
use eelgrassdyke_core::config::{Change, Document, Submission};
use eelgrassdyke_core::settings::Settings;
use serde::Deserialize;

/// A document and the paths of its faults; `None` if it cannot be decoded.
#[derive(Deserialize)]
struct Case {
    name: String,
    document: serde_json::Value,
    paths: Option<Vec<String>>,
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn fault_paths(document: &Document) -> Vec<String> {
    let faults = validate(document);
    assert!(faults.iter().all(|fault| !fault.remedy.is_empty()));
    let mut paths: Vec<String> = faults.into_iter().map(|fault| fault.path).collect();
    paths.sort();
    paths
}

#[test]
fn control_and_the_library_refuse_the_same_cases() {
    let text = std::fs::read_to_string(root().join("sdk/python/tests/cases.json")).unwrap();
    let cases: Vec<Case> = serde_json::from_str(&text).unwrap();
    let mut mismatches = Vec::new();
    for case in cases {
        let document = serde_json::from_value::<Document>(case.document);
        let found = document.ok().map(|document| fault_paths(&document));
        if found != case.paths {
            mismatches.push(format!("{}: {found:?}", case.name));
        }
    }
    assert!(mismatches.is_empty(), "{mismatches:#?}");
}

#[test]
fn the_library_passes_its_own_tests() {
    let output = Command::new("python3")
        .args(["-m", "unittest", "discover", "-s", "tests", "-t", "."])
        .current_dir(root().join("sdk/python"))
        .output()
        .unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{stderr}");
}

#[test]
fn every_example_file_is_valid() {
    let mut file_count = 0;
    for site in ["one-host", "huon", "pauta"] {
        for entry in std::fs::read_dir(root().join("examples").join(site)).unwrap() {
            let path = entry.unwrap().path();
            let name = path.file_name().unwrap().to_string_lossy().into_owned();
            if name.ends_with(".jsonc") {
                let text = std::fs::read_to_string(&path).unwrap();
                Settings::parse(&text, &path).unwrap();
                file_count += 1;
            }
            if name == "configuration.json" {
                let text = std::fs::read_to_string(&path).unwrap();
                let submission: Submission = serde_json::from_str(&text).unwrap();
                let Change::Replace(document) = submission.change else {
                    panic!("{name} does not contain a whole document");
                };
                assert_eq!(
                    fault_paths(&document),
                    Vec::<String>::new(),
                    "{}",
                    path.display()
                );
                file_count += 1;
            }
        }
    }
    assert!(file_count >= 40, "only {file_count} files were found");
}

#[test]
fn the_examples_match_the_output_of_their_generators() {
    for site in ["huon", "pauta"] {
        let folder = tempfile::tempdir().unwrap();
        let program = format!(
            "import sys; from pathlib import Path; sys.path.insert(0, sys.argv[1]); \
             import generate; generate.SITE.write(Path(sys.argv[2]), generate.document(), '{site}')"
        );
        let checked_in = root().join("examples").join(site);
        let status = Command::new("python3")
            .args(["-B", "-c", &program])
            .arg(&checked_in)
            .arg(folder.path())
            .status()
            .unwrap();
        assert!(status.success());
        for entry in std::fs::read_dir(folder.path()).unwrap() {
            let path = entry.unwrap().path();
            let expected = std::fs::read(checked_in.join(path.file_name().unwrap())).unwrap();
            assert!(
                expected == std::fs::read(&path).unwrap(),
                "{}",
                path.display()
            );
        }
    }
}
