//! The Python library and control refuse the same documents, at the same places.

use std::path::{Path, PathBuf};
use std::process::Command;

use eelgrassdyke_control::state::validate::validate;
use eelgrassdyke_core::config::{Change, Document, Submission};
use eelgrassdyke_core::settings::Settings;
use serde::Deserialize;

/// A document, and the paths at which it is refused; none when it doesn't even read.
#[derive(Deserialize)]
struct Case {
    name: String,
    document: serde_json::Value,
    paths: Option<Vec<String>>,
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn paths(document: &Document) -> Vec<String> {
    let faults = validate(document);
    assert!(faults.iter().all(|fault| !fault.remedy.is_empty()));
    let mut paths: Vec<String> = faults.into_iter().map(|fault| fault.path).collect();
    paths.sort();
    paths
}

#[test]
fn control_decides_the_cases_of_the_library_alike() {
    let text = std::fs::read_to_string(root().join("sdk/python/tests/cases.json")).unwrap();
    let cases: Vec<Case> = serde_json::from_str(&text).unwrap();
    let mut wrong = Vec::new();
    for case in cases {
        let document = serde_json::from_value::<Document>(case.document);
        let found = document.ok().map(|document| paths(&document));
        if found != case.paths {
            wrong.push(format!("{}: {found:?}", case.name));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[test]
fn the_library_passes_its_own_tests() {
    let output = Command::new("python3")
        .args(["-m", "unittest", "discover", "-s", "tests", "-t", "."])
        .current_dir(root().join("sdk/python"))
        .output()
        .unwrap();
    let told = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{told}");
}

#[test]
fn every_example_holds_good_settings_or_a_valid_configuration() {
    let mut seen = 0;
    for site in ["one-host", "huon", "pauta"] {
        for entry in std::fs::read_dir(root().join("examples").join(site)).unwrap() {
            let path = entry.unwrap().path();
            let name = path.file_name().unwrap().to_string_lossy().into_owned();
            if name.ends_with(".jsonc") {
                let text = std::fs::read_to_string(&path).unwrap();
                Settings::parse(&text, &path).unwrap();
                seen += 1;
            }
            if name == "configuration.json" {
                let text = std::fs::read_to_string(&path).unwrap();
                let submission: Submission = serde_json::from_str(&text).unwrap();
                let Change::Replace(document) = submission.change else {
                    panic!("{name} holds no whole document");
                };
                assert_eq!(paths(&document), Vec::<String>::new(), "{}", path.display());
                seen += 1;
            }
        }
    }
    assert!(seen >= 40, "only {seen} files were found");
}

#[test]
fn the_examples_are_what_their_generators_write() {
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
            let held = std::fs::read(checked_in.join(path.file_name().unwrap())).unwrap();
            assert!(held == std::fs::read(&path).unwrap(), "{}", path.display());
        }
    }
}
