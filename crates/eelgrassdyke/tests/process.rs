//! The real binary: what it opens, how it stops, and what it says of its settings.

use std::fs;
use std::io::{BufRead as _, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};

use clap::Parser as _;
use eelgrassctl::command::Arguments;
use eelgrassctl::errors::ExitStatus;
use eelgrassdyke_core::digest::Sha256;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

const TOKEN: &str = "trial-operator";

/// A running process; killed when the test is over.
struct Process {
    child: Child,
    folder: tempfile::TempDir,
    control: SocketAddr,
}

impl Process {
    /// Starts a process with every role and waits until it says that it serves.
    fn start() -> Self {
        let folder = tempfile::tempdir().unwrap();
        let control = unused();
        let settings = write(folder.path(), &settings(control));
        let mut child = Command::new(env!("CARGO_BIN_EXE_eelgrassdyke"))
            .args(["run", "--settings"])
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stdout.take().unwrap()).lines();
        let started = log.any(|line| line.is_ok_and(|line| line.contains("ProcessStarted")));
        assert!(started, "the process never said that it serves");
        std::thread::spawn(move || log.for_each(drop));
        Self {
            child,
            folder,
            control,
        }
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn settings(control: SocketAddr) -> Value {
    json!({
        "process": "all-1", "host": "trial", "data_centre": "hobart", "region": "tasmania",
        "listen": control, "control": [control],
        "peer_secret_file": "peer-secret", "operator_tokens_file": "operators",
        "entry_role": {"listen": "127.0.0.1:0"},
        "control_role": {"data": "data", "start": {"found": [control]}},
        "agent_role": {
            "server": "engine-1", "service": "draft", "backend": unused(), "slots": 1,
        },
    })
}

/// Writes settings and the files that they name.
fn write(folder: &Path, settings: &Value) -> PathBuf {
    let digest = Sha256::of(TOKEN.as_bytes()).to_string();
    fs::write(folder.join("peer-secret"), "secret-of-this-trial").unwrap();
    fs::write(folder.join("operators"), digest).unwrap();
    fs::write(folder.join("token"), TOKEN).unwrap();
    let path = folder.join("settings.jsonc");
    fs::write(&path, settings.to_string()).unwrap();
    path
}

/// An address at which nothing listens.
fn unused() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

#[test]
fn a_running_process_polls_and_has_no_io_uring() {
    let process = Process::start();
    let folder = format!("/proc/{}/fd", process.child.id());
    let mut opened = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        // A descriptor may be closed before it is looked at.
        if let Ok(target) = fs::read_link(entry.unwrap().path()) {
            opened.push(target.to_string_lossy().into_owned());
        }
    }
    assert!(opened.iter().any(|target| target.contains("eventpoll")));
    assert!(
        !opened.iter().any(|target| target.contains("io_uring")),
        "{opened:?}"
    );
}

#[test]
fn the_scrape_page_has_every_metric_of_the_operators_page() {
    let process = Process::start();
    let address = process.control;
    let page = eelgrassdyke_node::runtime::block_on(async move {
        let limit = std::time::Duration::from_secs(20);
        let request = eelgrassdyke_node::http::client::Request::get("/metrics");
        let pool = eelgrassdyke_node::http::pool::Pool::default();
        pool.call(address, request, limit).await.unwrap().1
    });
    let page = String::from_utf8(page.unwrap().to_vec()).unwrap();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATORS.md");
    let documented = fs::read_to_string(path).unwrap();
    let mut seen = 0;
    for line in documented.lines() {
        let Some(name) = line.strip_prefix("| `eelgrassdyke_") else {
            continue;
        };
        let (name, _) = name.split_once(['`', '{']).unwrap();
        assert!(
            page.contains(&format!("eelgrassdyke_{name}")),
            "{name}\n{page}"
        );
        seen += 1;
    }
    let served = page
        .lines()
        .filter(|line| line.starts_with("# TYPE"))
        .count();
    assert_eq!(seen, served, "{page}");
}

#[test]
fn a_signal_is_a_graceful_shutdown() {
    let mut process = Process::start();
    process.signal(Signal::SIGTERM);
    assert!(process.child.wait().unwrap().success());
}

#[test]
fn a_drained_process_has_stopped_when_the_command_returns() {
    let mut process = Process::start();
    let token = process.folder.path().join("token");
    let arguments = Arguments::parse_from([
        "eelgrassctl",
        "--control",
        &process.control.to_string(),
        "--token-file",
        token.to_str().unwrap(),
        "drain",
        "all-1",
        "--wait",
    ]);
    assert_eq!(eelgrassctl::run(arguments).unwrap(), ExitStatus::Success);
    assert!(process.child.wait().unwrap().success());
}

#[test]
fn a_frozen_process_has_not_stopped() {
    let process = Process::start();
    let token = process.folder.path().join("token");
    process.signal(Signal::SIGSTOP);
    let arguments = Arguments::parse_from([
        "eelgrassctl",
        "--control",
        &process.control.to_string(),
        "--token-file",
        token.to_str().unwrap(),
        "--timeout",
        "1",
        "drain",
        "all-1",
        "--wait",
    ]);
    let error = eelgrassctl::run(arguments).unwrap_err();
    assert_eq!(error.exit_status(), ExitStatus::OutcomeUnknown, "{error}");
    process.signal(Signal::SIGCONT);
}

fn check(folder: &Path, settings: &Value) -> Output {
    Command::new(env!("CARGO_BIN_EXE_eelgrassdyke"))
        .args(["check", "--settings"])
        .arg(write(folder, settings))
        .output()
        .unwrap()
}

#[test]
fn check_prints_every_fault() {
    let folder = tempfile::tempdir().unwrap();
    let good = settings(unused());
    assert!(check(folder.path(), &good).status.success());

    let mut bad = good.clone();
    bad["log"] = json!({"level": "loud"});
    bad["agent_role"]["slots"] = json!(0);
    bad["colour"] = json!("red");
    let output = check(folder.path(), &bad);
    assert_eq!(output.status.code(), Some(1));
    let printed = String::from_utf8(output.stdout).unwrap();
    for path in ["log.level", "agent_role.slots", "colour"] {
        assert!(printed.contains(&format!("at {path}: ")), "{printed}");
    }

    let mut missing = good;
    missing["peer_secret_file"] = json!("nowhere");
    let output = check(folder.path(), &missing);
    assert_eq!(output.status.code(), Some(1));
    let printed = String::from_utf8(output.stdout).unwrap();
    assert!(printed.contains("at peer_secret_file: "), "{printed}");
}
