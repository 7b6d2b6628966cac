//! Settings are parsed strictly, and all faults are reported together.

use std::path::Path;

use eelgrassdyke_core::jsonc::Fault;
use eelgrassdyke_core::settings::{ClusterStart, Error, Settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use test_case::test_case;

/// Valid settings that the tests modify.
const VALID: &str = r#"{
  // A process with every role.
  "process": "all-1", "host": "h1", "data_centre": "hobart", "region": "tasmania",
  "listen": "127.0.0.1:7101",
  "control": ["127.0.0.1:7101", "127.0.0.1:7102"],
  "peer_secret_file": "peer-secret",
  "operator_tokens_file": "operators",
  "log": { "level": "debug", "ring": 64 },
  "limits": { "connections": 9, "idle_ms": 8, "drain_ms": 7 },
  "entry_role": { "listen": "127.0.0.1:8001" },
  "control_role": { "data": "data", "start": { "found": ["127.0.0.1:7101"] } },
  "agent_role": {
    "server": "engine-1", "service": "draft", "backend": "127.0.0.1:9001", "slots": 8,
    "rank": { "group": "g", "rank": 0 }, /* trailing comma: */
  }
}"#;

fn parse(text: &str) -> Result<Settings, Vec<Fault>> {
    match Settings::parse(text, Path::new("x.jsonc")) {
        Ok(settings) => Ok(settings),
        Err(Error::Invalid { faults, .. }) => Err(faults),
        Err(error) => panic!("{error}"),
    }
}

fn runner() -> TestRunner {
    let config = Config {
        cases: 2000,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

#[test]
fn valid_settings_parse() {
    let settings = parse(VALID).unwrap();
    assert_eq!(settings.process.as_str(), "all-1");
    assert_eq!(settings.limits.connections, 9);
    assert!(settings.entry_role.unwrap().serve_without_control);
    assert_eq!(settings.agent_role.unwrap().rank.unwrap().rank.0, 0);
}

/// Deployments without cold servers have settings without these fields.
#[test]
fn bounds_of_cold_servers_are_optional() {
    let direct = |bounds: &str| {
        let direct = format!(
            r#""direct": {{ "health": "127.0.0.1:8002", "retry_share": 0.2, "retry_slack": 20,
                {bounds} "retry_window_s": 10, "grace_s": 8 }}"#
        );
        let entry = format!(r#""entry_role": {{ "listen": "127.0.0.1:8001", {direct} }}"#);
        parse(&VALID.replace(r#""entry_role": { "listen": "127.0.0.1:8001" }"#, &entry))
    };
    let bounds = |settings: Settings| {
        let direct = settings.entry_role.unwrap().direct.unwrap();
        (direct.cold_overage.0, direct.cold_slack)
    };
    assert_eq!(bounds(direct("").unwrap()), (1000, 0));
    let both = r#""cold_overage": 1.5, "cold_slack": 5,"#;
    assert_eq!(bounds(direct(both).unwrap()), (1500, 5));
    let faults = direct(r#""cold_overage": 0,"#).unwrap_err();
    assert_eq!(faults[0].path, "entry_role.direct.cold_overage");
}

#[test_case("\"process\": \"all-1\"", "\"process\": \"all 1\"", "process"; "bad name")]
#[test_case("\"process\": \"all-1\",", "", ""; "missing field")]
#[test_case("\"process\"", "\"prozess\": 1, \"process\"", "prozess"; "unknown field")]
#[test_case("\"process\"", "\"process\": \"a\", \"process\"", "process"; "duplicate field")]
#[test_case("\"slots\": 8", "\"slots\": 8, \"slots\": 9", "agent_role.slots"; "nested duplicate")]
#[test_case("\"slots\": 8", "\"slots\": 0", "agent_role.slots"; "no slots")]
#[test_case("\"slots\": 8", "\"slots\": -1", "agent_role.slots"; "negative slots")]
#[test_case("\"slots\": 8", "\"slots\": 1e99", "agent_role.slots"; "huge slots")]
#[test_case("\"debug\"", "\"loud\"", "log.level"; "log level")]
#[test_case("\"ring\": 64", "\"ring\": 0", "log.ring"; "no ring")]
#[test_case("\"connections\": 9", "\"connections\": 0", "limits.connections"; "no connections")]
#[test_case("\"connections\": 9", "\"descriptors\": 0", "limits.descriptors"; "no descriptors")]
#[test_case("\"drain_ms\": 7", "\"drain\": 7", "limits.drain"; "unknown limit")]
#[test_case("\"127.0.0.1:7101\", \"127.0.0.1:7102\"", "", "control"; "no control")]
#[test_case("7102\"", "7101\"", "control.1"; "control twice")]
#[test_case("127.0.0.1:7102", "0.0.0.0:7102", "control.1"; "control unspecified")]
#[test_case("127.0.0.1:7102", "somewhere:7102", "control"; "control by name")]
#[test_case("127.0.0.1:8001", "127.0.0.1:7101", "entry_role.listen"; "entry and process on one port")]
#[test_case("127.0.0.1:9001", "127.0.0.1:7101", "agent_role.backend"; "backend is the agent")]
#[test_case("127.0.0.1:9001", "127.0.0.1:8001", "agent_role"; "backend is the entry")]
#[test_case("127.0.0.1:9001", "0.0.0.0:9001", "agent_role.backend"; "backend unspecified")]
#[test_case("[\"127.0.0.1:7101\"]", "[\"127.0.0.1:7109\"]", "control_role.start"; "not a founder")]
#[test_case("[\"127.0.0.1:7101\"]", "[]", "control_role.start.found"; "no founder")]
#[test_case("{ \"found\": [\"127.0.0.1:7101\"] }", "\"merge\"", "control_role.start"; "unknown start")]
#[test_case("\"data\": \"data\"", "\"data\": \"data\", \"catch_up_s\": 0", "control_role.catch_up_s"; "no time to catch up")]
#[test_case("\"data\": \"data\"", "\"data\": \"data\", \"grace_s\": 0", "control_role.grace_s"; "no time to stop")]
#[test_case("\"group\": \"g\",", "", "agent_role.rank"; "rank without group")]
#[test_case("{ \"level\": \"debug\", \"ring\": 64 }", "3", "log"; "no object")]
fn fault_is_reported_with_its_path(valid: &str, invalid: &str, path: &str) {
    assert!(
        VALID.contains(valid),
        "the text to replace is not in the settings"
    );
    let faults = parse(&VALID.replacen(valid, invalid, 1)).unwrap_err();
    assert!(faults.iter().any(|fault| fault.path == path), "{faults:#?}");
    assert!(faults.iter().all(|fault| !fault.remedy.is_empty()));
}

#[test_case("{", 1, 1; "unclosed")]
#[test_case("{\n  'process': 1 }", 2, 3; "single quotes")]
#[test_case("{\n\"a\": 1\n\"b\": 2 }", 2, 7; "missing comma")]
fn syntax_error_has_its_position(text: &str, line: usize, column: usize) {
    let faults = parse(text).unwrap_err();
    let position = faults[0].position.unwrap();
    assert_eq!(
        (position.line, position.column),
        (line, column),
        "{faults:?}"
    );
}

#[test_case(""; "nothing")]
#[test_case("// only a comment"; "only a comment")]
#[test_case("null"; "null")]
#[test_case("[]"; "a list")]
#[test_case("{}"; "no field")]
fn text_without_settings_is_refused(text: &str) {
    assert!(!parse(text).unwrap_err().is_empty());
}

#[test]
fn all_faults_are_reported_in_text_order() {
    let invalid = VALID
        .replace("\"all-1\"", "7")
        .replace("127.0.0.1:7102", "127.0.0.1:0")
        .replace("\"debug\"", "\"loud\"")
        .replace("\"slots\": 8", "\"slots\": 0, \"colour\": \"red\"");
    let faults = parse(&invalid).unwrap_err();
    let paths: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    let expected = [
        "process",
        "control.1",
        "log.level",
        "agent_role.slots",
        "agent_role.colour",
    ];
    assert_eq!(paths, expected);
    let error = Settings::parse(&invalid, Path::new("x.jsonc")).unwrap_err();
    let message = error.to_string();
    assert!(
        message.starts_with("x.jsonc:3:14: at process: 7: "),
        "{message}"
    );
    assert_eq!(message.lines().count(), expected.len());
}

#[test]
fn process_without_a_role_is_refused() {
    let start = VALID.find("\"entry_role\"").unwrap();
    let faults = parse(&format!("{}}}", &VALID[..start])).unwrap_err();
    assert!(faults[0].problem.contains("no role"));
}

#[test]
fn unspecified_listen_address_requires_advertise() {
    let unspecified = VALID.replacen("127.0.0.1:7101", "0.0.0.0:7101", 1);
    assert_eq!(parse(&unspecified).unwrap_err()[0].path, "listen");
    let advertised = unspecified.replacen(
        "\"listen\"",
        "\"advertise\": \"127.0.0.1:7101\", \"listen\"",
        1,
    );
    assert!(parse(&advertised).is_ok());
}

#[test]
fn arbitrary_text_never_panics() {
    let bytes = proptest::collection::vec(any::<u8>(), 0..256);
    let outcome = runner().run(&bytes, |bytes| {
        let text = String::from_utf8_lossy(&bytes);
        prop_assert!(parse(&text).is_err());
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn mutated_settings_parse_or_are_refused_with_a_remedy() {
    let edit = (0..VALID.len(), 0..6usize, "[ -~]{0,3}");
    let edits = proptest::collection::vec(edit, 1..4);
    let outcome = runner().run(&edits, |edits| {
        let mut bytes = VALID.as_bytes().to_vec();
        for (start, removed, inserted) in edits {
            let start = start.min(bytes.len());
            let end = (start + removed).min(bytes.len());
            bytes.splice(start..end, inserted.bytes());
        }
        let text = String::from_utf8_lossy(&bytes);
        if let Err(faults) = parse(&text) {
            prop_assert!(!faults.is_empty());
            prop_assert!(faults.iter().all(|fault| !fault.remedy.is_empty()));
        }
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn secret_files_accessible_to_others_cause_a_warning() {
    use std::os::unix::fs::PermissionsExt as _;

    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("x.jsonc");
    std::fs::write(&path, VALID).unwrap();
    let mut settings = Settings::read(&path).unwrap();
    assert_eq!(settings.check_files().errors.len(), 2);

    for file in ["peer-secret", "operators"] {
        let file = folder.path().join(file);
        std::fs::write(&file, "x").unwrap();
        std::fs::set_permissions(&file, std::fs::Permissions::from_mode(0o644)).unwrap();
    }
    settings = Settings::read(&path).unwrap();
    let files = settings.check_files();
    assert!(files.errors.is_empty());
    assert_eq!(files.warnings.len(), 1);
    assert_eq!(files.warnings[0].path, "peer_secret_file");
}

#[test]
fn first_start_and_times_of_members_are_read() {
    let start = "\"first_start\", \"catch_up_s\": 4, \"grace_s\": 8";
    let text = VALID.replacen("{ \"found\": [\"127.0.0.1:7101\"] }", start, 1);
    let settings = parse(&text).expect("valid settings");
    let control = settings.control_role.expect("a control role");
    assert_eq!(control.start, ClusterStart::FirstStart);
    assert_eq!(control.catch_up_ms, Some(4000));
    assert_eq!(control.grace_ms, Some(8000));
}

#[test]
fn deeply_nested_text_is_refused() {
    for (open, close) in [("[", "]"), ("{\"a\":", "}")] {
        let nested = format!("{}1{}", open.repeat(100_000), close.repeat(100_000));
        assert!(parse(&nested).is_err());
        let text = VALID.replace("\"debug\"", &nested);
        assert!(parse(&text).is_err());
    }
}
