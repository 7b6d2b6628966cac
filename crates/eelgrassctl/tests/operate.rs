//! The command line against a running process: what it prints, and its exit codes.

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

/// A process with every role, in a thread of its own, and a folder of files.
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
        let (tell, control) = mpsc::channel();
        let path = folder.path().to_owned();
        std::thread::spawn(move || {
            let served = block_on(async move {
                let node = node(&path);
                tell.send(node.address()).unwrap();
                while !node.is_draining() {
                    monoio::time::sleep(Duration::from_millis(20)).await;
                }
                node.wait_drained(|| false).await;
            });
            served.unwrap();
        });
        let control = control.recv().unwrap();
        Self { folder, control }
    }

    fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    fn run(&self, arguments: &[&str]) -> Output {
        ctl(&self.folder.path().join("token"), self.control, arguments)
    }

    /// Submits a text as it is and gives the answer.
    fn post(&self, body: &str) -> String {
        let mut request = Request::post("/v1/config", body.to_owned());
        let bearer = format!("Bearer {TOKEN}").parse().unwrap();
        request.headers.insert("authorization", bearer);
        let limit = Duration::from_secs(20);
        let call = async { Pool::default().call(self.control, request, limit).await };
        let (_, answer) = block_on(call).unwrap().unwrap();
        String::from_utf8(answer.to_vec()).unwrap()
    }

    /// Runs a command that must end with `code` and print JSON.
    fn json(&self, code: i32, arguments: &[&str]) -> Value {
        let output = self.run(&[&["--json"], arguments].concat());
        assert_code(&output, code);
        serde_json::from_slice(&output.stdout).unwrap()
    }
}

/// Starts control, an entry, and an agent beside nothing.
fn node(folder: &Path) -> std::rc::Rc<Node> {
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let ports = Ports::bind(free, Some(free)).unwrap();
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
            "server": "engine-1", "service": "draft", "backend": unused(), "slots": 1,
        },
    });
    let settings = Settings::parse(&settings.to_string(), Path::new("trial")).unwrap();
    Node::start_with_ports(ports, settings, None).unwrap()
}

/// An address at which nothing listens.
fn unused() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

fn ctl(token: &Path, control: SocketAddr, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_eelgrassctl"))
        .env("EELGRASSCTL_CONTROL", control.to_string())
        .env("EELGRASSCTL_TOKEN_FILE", token)
        .args(arguments)
        .output()
        .unwrap()
}

fn assert_code(output: &Output, code: i32) {
    let told = String::from_utf8_lossy(&output.stderr);
    let printed = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(code), "{printed}\n{told}");
}

fn printed(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// What the library's example prints.
fn submission() -> String {
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
fn what_the_library_prints_is_applied_once_and_in_force() {
    let site = Site::start();
    let file = site.file("first.json", &submission());
    let file = file.to_str().unwrap();

    let applied = site.json(0, &["apply", file, "--wait"]);
    assert_eq!(applied["operation"], "two-teams-1");
    assert_eq!(applied["verdict"]["accepted"]["version"], 1);
    assert_eq!(applied["in_force"]["have"], json!(["all-1"]));

    // A resend gets the first answer again.
    let again = site.json(0, &["apply", file, "--wait"]);
    assert_eq!(again["verdict"], applied["verdict"]);
    let held = site.json(0, &["get"]);
    assert_eq!(held["version"], 1);
    assert_eq!(
        held["document"]["teams"]["hobart-salons"]["shares"]["draft"]["weight"],
        2
    );
    site.json(0, &["diff", file]);
}

#[test]
fn refusals_have_codes_that_scripts_can_use() {
    let site = Site::start();
    let first = site.file("first.json", &submission());
    let first = first.to_str().unwrap();
    site.json(0, &["apply", first, "--wait"]);

    // Another change from the same base, another change under the same name, a bad one.
    let empty = site.file("empty.json", "{}");
    let empty = empty.to_str().unwrap();
    let conflict = site.json(1, &["apply", empty, "--base", "0"]);
    assert_eq!(conflict["verdict"]["conflict"]["present"], 1);
    let named = ["apply", empty, "--base", "0", "--operation", "two-teams-1"];
    assert_eq!(site.json(1, &named)["verdict"], "reused");
    let bad = site.file(
        "bad.json",
        r#"{ "patch": { "teams": { "x": { "tokens": [], "shares": { "nix": {} } } } } }"#,
    );
    let invalid = site.json(1, &["apply", bad.to_str().unwrap()]);
    let fault = &invalid["verdict"]["invalid"]["faults"][0];
    assert_eq!(fault["path"], "teams.x.shares.nix");

    // Control refuses a duplicate field, whichever client sends it.
    let doubled = r#"{ "operation": "x", "base": 1, "author": "x",
        "change": { "patch": { "teams": { "x": null, "x": { "tokens": [] } } } } }"#;
    assert!(site.post(doubled).contains("the field appears twice"));

    let difference = site.json(1, &["diff", empty]);
    assert_eq!(difference["base"], 1);
    assert_code(&site.run(&["diff", empty]), 1);
    assert_code(&site.run(&["get", "--at-least", "9", "--timeout", "1"]), 1);
    assert_code(&site.run(&["apply", "/nowhere.json"]), 2);
    assert_code(&site.run(&["apply", empty, "--operation", "x"]), 2);
    assert_code(&site.run(&["apply"]), 2);
    assert_code(&site.run(&["drain", "nobody"]), 2);

    let token = site.file("wrong-token", "wrong");
    assert_code(&ctl(&token, site.control, &["status"]), 1);
    let token = site.folder.path().join("token");
    let control = unused();
    assert_code(&ctl(&token, control, &["status"]), 3);
    assert_code(&ctl(&token, control, &["get"]), 3);
    let apply = ["apply", empty, "--base", "0", "--timeout", "1"];
    assert_code(&ctl(&token, control, &apply), 3);
}

#[test]
fn status_report_and_time_line_read_for_people() {
    let site = Site::start();
    let first = site.file("first.json", &submission());
    assert_code(&site.run(&["apply", first.to_str().unwrap(), "--wait"]), 0);

    let status = site.run(&["status"]);
    assert_code(&status, 0);
    let status = printed(&status);
    assert!(
        status.contains("all-1") && status.contains("leader"),
        "{status}"
    );

    for format in ["table", "json", "csv", "html"] {
        assert_code(&site.run(&["report", "--format", format]), 0);
    }

    let lines = site.run(&["timeline", "--operation", "two-teams-1"]);
    assert_code(&lines, 0);
    let lines = printed(&lines);
    assert!(lines.contains("E220 ConfigAccepted"), "{lines}");
    let page = site.folder.path().join("timeline.html");
    assert_code(
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
fn a_token_prints_as_its_digest() {
    let site = Site::start();
    let token = site.folder.path().join("token");
    let output = site.run(&["token", "--file", token.to_str().unwrap()]);
    assert_code(&output, 0);
    assert_eq!(
        printed(&output).trim(),
        Sha256::of(TOKEN.as_bytes()).to_string()
    );
}

#[test]
fn an_order_is_taken_once_under_its_operation() {
    let site = Site::start();
    let load = [
        "order",
        "engine-9",
        "load",
        "model-a",
        "--operation",
        "load-1",
    ];
    let first = site.json(0, &load);
    assert_eq!(first["operation"], "load-1");
    assert_eq!(first["outcome"], json!(null));
    assert_eq!(site.json(0, &load), first);

    // The same name for another order is refused, and nothing is ordered.
    let other = [
        "order",
        "engine-9",
        "unload",
        "model-a",
        "--operation",
        "load-1",
    ];
    assert_code(
        &ctl(&site.folder.path().join("token"), site.control, &other),
        1,
    );
}
