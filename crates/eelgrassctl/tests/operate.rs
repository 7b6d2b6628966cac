//! `eelgrassctl` against a running process: output and exit codes.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::mpsc;
use std::time::Duration;

use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::settings::Settings;
use eelgrassdyke_node::Node;
use eelgrassdyke_node::http::client::Request;
use eelgrassdyke_node::http::pool::Pool;
use eelgrassdyke_node::node::Ports;
use eelgrassdyke_node::runtime::block_on;
use serde_json::{Value, json};

const TOKEN: &str = "trial-operator";

/// A process with all roles, running in its own thread, and a folder for its files.
struct Site {
    folder: tempfile::TempDir,
    control: SocketAddr,
}

impl Site {
    fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let write =
            |name: &str, text: &str| std::fs::write(folder.path().join(name), text).unwrap();
        write("peer-secret", "secret-of-this-trial");
        write("operators", &Sha256::of(TOKEN.as_bytes()).to_string());
        write("token", TOKEN);
        let (address_sender, address_receiver) = mpsc::channel();
        let path = folder.path().to_owned();
        std::thread::spawn(move || {
            let result = block_on(async move {
                let node = start_node(&path);
                address_sender.send(node.address()).unwrap();
                while !node.is_draining() {
                    monoio::time::sleep(Duration::from_millis(20)).await;
                }
                node.wait_drained(|| false).await;
            });
            result.unwrap();
        });
        let control = address_receiver.recv().unwrap();
        Self { folder, control }
    }

    fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    fn run(&self, arguments: &[&str]) -> Output {
        run_eelgrassctl(&self.folder.path().join("token"), self.control, arguments)
    }

    /// Posts `body` to `/v1/config` unchanged and returns the body of the response.
    fn post(&self, body: &str) -> String {
        let mut request = Request::post("/v1/config", body.to_owned());
        let bearer = format!("Bearer {TOKEN}").parse().unwrap();
        request.headers.insert("authorization", bearer);
        let timeout = Duration::from_secs(20);
        let call = async { Pool::default().call(self.control, request, timeout).await };
        let (_, response) = block_on(call).unwrap().unwrap();
        String::from_utf8(response.to_vec()).unwrap()
    }

    /// Runs a command with `--json`, checks its exit code and returns the output.
    fn run_json(&self, code: i32, arguments: &[&str]) -> Value {
        let output = self.run(&[&["--json"], arguments].concat());
        assert_exit_code(&output, code);
        serde_json::from_slice(&output.stdout).unwrap()
    }
}

/// Starts a process with the control, entry and agent roles; the agent's backend server does not exist.
fn start_node(folder: &Path) -> std::rc::Rc<Node> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let ports = Ports::bind(any_port, Some(any_port)).unwrap();
    let (listen, callers) = (
        ports.peer_address().unwrap(),
        ports.caller_address().unwrap().unwrap(),
    );
    let settings = json!({
        "process": "all-1", "host": "trial", "data_centre": "hobart", "region": "tasmania",
        "listen": listen, "control": [listen],
        "peer_secret_file": folder.join("peer-secret"),
        "operator_tokens_file": folder.join("operators"),
        "entry_role": {"listen": callers},
        "control_role": {"data": folder.join("data"), "start": {"found": [listen]}},
        "agent_role": {
            "server": "engine-1", "service": "draft", "backend": unused_address(), "slots": 1,
        },
    });
    let settings = Settings::parse(&settings.to_string(), Path::new("trial")).unwrap();
    Node::start_with_ports(ports, settings, None, None).unwrap()
}

/// An address on which no process listens.
fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

fn run_eelgrassctl(token: &Path, control: SocketAddr, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_eelgrassctl"))
        .env("EELGRASSCTL_CONTROL", control.to_string())
        .env("EELGRASSCTL_TOKEN_FILE", token)
        .args(arguments)
        .output()
        .unwrap()
}

fn assert_exit_code(output: &Output, code: i32) {
    let stderr = String::from_utf8_lossy(&output.stderr);
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(code), "{stdout}\n{stderr}");
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// The submission printed by the example of the Python library.
fn example_submission() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../sdk/python/examples/two_teams.py");
    let output = Command::new("python3")
        .arg("-B")
        .arg(path)
        .output()
        .unwrap();
    assert!(output.status.success());
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn a_submission_of_the_library_is_applied_once() {
    let site = Site::start();
    let file = site.write_file("first.json", &example_submission());
    let file = file.to_str().unwrap();

    let applied = site.run_json(0, &["apply", file, "--wait"]);
    assert_eq!(applied["operation"], "two-teams-1");
    assert_eq!(applied["verdict"]["accepted"]["version"], 1);
    assert_eq!(applied["in_force"]["have"], json!(["all-1"]));

    // A resend returns the first verdict again.
    let resent = site.run_json(0, &["apply", file, "--wait"]);
    assert_eq!(resent["verdict"], applied["verdict"]);
    let config = site.run_json(0, &["get"]);
    assert_eq!(config["version"], 1);
    assert_eq!(
        config["document"]["teams"]["hobart-salons"]["shares"]["draft"]["weight"],
        2
    );
    site.run_json(0, &["diff", file]);
}

#[test]
fn each_kind_of_failure_has_its_exit_code() {
    let site = Site::start();
    let first = site.write_file("first.json", &example_submission());
    let first = first.to_str().unwrap();
    site.run_json(0, &["apply", first, "--wait"]);

    // A conflicting change, another change with a used operation identifier, and an invalid change.
    let empty = site.write_file("empty.json", "{}");
    let empty = empty.to_str().unwrap();
    let conflict = site.run_json(1, &["apply", empty, "--base", "0"]);
    assert_eq!(conflict["verdict"]["conflict"]["present"], 1);
    let reused = ["apply", empty, "--base", "0", "--operation", "two-teams-1"];
    assert_eq!(site.run_json(1, &reused)["verdict"], "reused");
    let invalid_file = site.write_file(
        "invalid.json",
        r#"{ "patch": { "teams": { "x": { "tokens": [], "shares": { "nix": {} } } } } }"#,
    );
    let invalid = site.run_json(1, &["apply", invalid_file.to_str().unwrap()]);
    let fault = &invalid["verdict"]["invalid"]["faults"][0];
    assert_eq!(fault["path"], "teams.x.shares.nix");

    // Control itself refuses duplicate fields, since other clients may send them.
    let duplicate = r#"{ "operation": "x", "base": 1, "author": "x",
        "change": { "patch": { "teams": { "x": null, "x": { "tokens": [] } } } } }"#;
    assert!(site.post(duplicate).contains("the field appears twice"));

    let difference = site.run_json(1, &["diff", empty]);
    assert_eq!(difference["base"], 1);
    assert_exit_code(&site.run(&["diff", empty]), 1);
    assert_exit_code(&site.run(&["get", "--at-least", "9", "--timeout", "1"]), 1);
    assert_exit_code(&site.run(&["apply", "/nowhere.json"]), 2);
    assert_exit_code(&site.run(&["apply", empty, "--operation", "x"]), 2);
    assert_exit_code(&site.run(&["apply"]), 2);
    assert_exit_code(&site.run(&["drain", "nobody"]), 2);

    let token = site.write_file("wrong-token", "wrong");
    assert_exit_code(&run_eelgrassctl(&token, site.control, &["status"]), 1);
    let token = site.folder.path().join("token");
    let control = unused_address();
    assert_exit_code(&run_eelgrassctl(&token, control, &["status"]), 3);
    assert_exit_code(&run_eelgrassctl(&token, control, &["get"]), 3);
    let apply = ["apply", empty, "--base", "0", "--timeout", "1"];
    assert_exit_code(&run_eelgrassctl(&token, control, &apply), 3);
}

#[test]
fn status_report_and_time_line_are_printed_as_text() {
    let site = Site::start();
    let first = site.write_file("first.json", &example_submission());
    assert_exit_code(&site.run(&["apply", first.to_str().unwrap(), "--wait"]), 0);

    let status = site.run(&["status"]);
    assert_exit_code(&status, 0);
    let status = stdout(&status);
    assert!(
        status.contains("all-1") && status.contains("leader"),
        "{status}"
    );

    for format in ["table", "json", "csv", "html"] {
        assert_exit_code(&site.run(&["report", "--format", format]), 0);
    }

    let lines = site.run(&["timeline", "--operation", "two-teams-1"]);
    assert_exit_code(&lines, 0);
    let lines = stdout(&lines);
    assert!(lines.contains("E220 ConfigAccepted"), "{lines}");
    let page = site.folder.path().join("timeline.html");
    assert_exit_code(
        &site.run(&["timeline", "--html", page.to_str().unwrap()]),
        0,
    );
    assert!(
        std::fs::read_to_string(page)
            .unwrap()
            .contains("<th>all-1</th>")
    );
}

#[test]
fn the_token_command_prints_the_digest() {
    let site = Site::start();
    let token = site.folder.path().join("token");
    let output = site.run(&["token", "--file", token.to_str().unwrap()]);
    assert_exit_code(&output, 0);
    assert_eq!(
        stdout(&output).trim(),
        Sha256::of(TOKEN.as_bytes()).to_string()
    );
}

#[test]
fn an_order_is_accepted_once_for_each_operation() {
    let site = Site::start();
    let load = [
        "order",
        "engine-9",
        "load",
        "model-a",
        "--operation",
        "load-1",
    ];
    let first = site.run_json(0, &load);
    assert_eq!(first["operation"], "load-1");
    assert_eq!(first["outcome"], json!(null));
    assert_eq!(site.run_json(0, &load), first);

    // Another order with the same operation identifier is refused.
    let other = [
        "order",
        "engine-9",
        "unload",
        "model-a",
        "--operation",
        "load-1",
    ];
    assert_exit_code(
        &run_eelgrassctl(&site.folder.path().join("token"), site.control, &other),
        1,
    );
}

#[test]
fn quarantine_lists_nothing_at_first_and_an_unknown_part_cannot_be_lifted() {
    let site = Site::start();
    assert_eq!(site.run_json(0, &["quarantine", "list"]), json!([]));
    let output = site.run(&["quarantine", "lift", "draft", "5c1e07a2"]);
    assert_ne!(output.status.code(), Some(0));
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(stderr.contains("no server of draft is known to have ended on 5c1e07a2"));
}

/// An operator must see which data centres are evacuated, and must not end an evacuation by applying a
/// document that does not mention it.
#[test]
fn a_data_centre_is_evacuated_and_restored() {
    let site = Site::start();
    // An order is sent until a leader accepts it; `status` fails while there is none.
    site.run_json(0, &["restore", "hobart"]);
    assert_eq!(site.run_json(0, &["status"])["evacuated"], json!([]));
    let ordered = site.run_json(0, &["evacuate", "hobart", "--wait"]);
    assert_eq!(ordered["in_force"]["have"], json!(["all-1"]));
    site.run_json(0, &["evacuate", "hobart"]);
    assert_eq!(
        site.run_json(0, &["status"])["evacuated"],
        json!(["hobart"])
    );
    let status = stdout(&site.run(&["status"]));
    assert!(status.contains("hobart is evacuated"), "{status}");

    let empty = site.write_file("empty.json", "{}");
    let empty = empty.to_str().unwrap();
    assert_exit_code(&site.run(&["diff", empty]), 0);
    site.run_json(0, &["apply", empty]);
    let config = site.run_json(0, &["get"]);
    assert_eq!(
        config["document"]["data_centres"],
        json!({"hobart": {"evacuated": true}})
    );

    let events = stdout(&site.run(&["timeline"]));
    for event in ["EvacuationOrdered", "EvacuationBegun"] {
        assert!(events.contains(event), "{events}");
    }
    site.run_json(0, &["restore", "hobart"]);
    assert_eq!(site.run_json(0, &["status"])["evacuated"], json!([]));
    let output = site.run(&["evacuate", "nowhere"]);
    assert_exit_code(&output, 0);
    let warning = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(warning.contains("no server in nowhere"), "{warning}");
    assert_exit_code(&site.run(&["evacuate", "two words"]), 2);
}
