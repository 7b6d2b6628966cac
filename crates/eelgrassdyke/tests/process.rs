//! Tests of the binary: event loop, metrics, shutdown and settings check.

use std::fs;
use std::io::{BufRead as _, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};

use clap::Parser as _;
use eelgrassctl::command::Arguments;
use eelgrassctl::errors::ExitStatus;
use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::id::Incarnation;
use eelgrassdyke_core::wire::follow::PollRequest;
use eelgrassdyke_core::wire::{self, Batch, Message, Sender};
use eelgrassdyke_node::http::client::Request;
use eelgrassdyke_node::http::pool::Pool;
use eelgrassdyke_node::mail::SECRET_HEADER;
use eelgrassdyke_node::runtime::block_on;
use http::{HeaderValue, StatusCode};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::{Value, json};

const OPERATOR_TOKEN: &str = "trial-operator";

/// A running process; killed on drop.
struct Process {
    child: Child,
    folder: tempfile::TempDir,
    control: SocketAddr,
}

impl Process {
    /// Starts a process with the entry, control and agent roles and waits until it is serving.
    fn start() -> Self {
        // Its settings name its own port, which a connection of another test can take before it.
        let is_port_taken = |errors: &str| errors.contains("Address already in use");
        loop {
            match Self::try_start() {
                Ok(process) => return process,
                Err(errors) if is_port_taken(&errors) => {}
                Err(errors) => panic!("the process did not log ProcessStarted: {errors}"),
            }
        }
    }

    /// Returns what the process wrote to its standard error if it ends before it is serving.
    fn try_start() -> Result<Self, String> {
        let folder = tempfile::tempdir().unwrap();
        let control = unused_address();
        let settings = write_settings(folder.path(), &all_roles_settings(control));
        let errors = folder.path().join("stderr");
        let mut child = Command::new(env!("CARGO_BIN_EXE_eelgrassdyke"))
            .args(["run", "--settings"])
            .arg(&settings)
            .stdout(Stdio::piped())
            .stderr(fs::File::create(&errors).unwrap())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stdout.take().unwrap()).lines();
        let is_started = log.any(|line| line.is_ok_and(|line| line.contains("ProcessStarted")));
        if !is_started {
            child.wait().unwrap();
            return Err(fs::read_to_string(&errors).unwrap());
        }
        std::thread::spawn(move || log.for_each(drop));
        Ok(Self {
            child,
            folder,
            control,
        })
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

fn all_roles_settings(control: SocketAddr) -> Value {
    json!({
        "process": "all-1", "host": "trial", "data_centre": "hobart", "region": "tasmania",
        "listen": control, "control": [control],
        "peer_secret_file": "peer-secret", "operator_tokens_file": "operators",
        "entry_role": {"listen": "127.0.0.1:0"},
        "control_role": {"data": "data", "start": {"found": [control]}},
        "agent_role": {
            "server": "engine-1", "service": "draft", "backend": unused_address(), "slots": 1,
        },
    })
}

/// Writes settings and the files that they refer to.
fn write_settings(folder: &Path, settings: &Value) -> PathBuf {
    let digest = Sha256::of(OPERATOR_TOKEN.as_bytes()).to_string();
    fs::write(folder.join("peer-secret"), "secret-of-this-trial").unwrap();
    fs::write(folder.join("operators"), digest).unwrap();
    fs::write(folder.join("token"), OPERATOR_TOKEN).unwrap();
    let path = folder.join("settings.jsonc");
    fs::write(&path, settings.to_string()).unwrap();
    path
}

/// An address at which nothing listens.
fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

#[test]
fn process_uses_epoll_and_not_io_uring() {
    let process = Process::start();
    let folder = format!("/proc/{}/fd", process.child.id());
    let mut targets = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        // A descriptor may be closed before its link is read.
        if let Ok(target) = fs::read_link(entry.unwrap().path()) {
            targets.push(target.to_string_lossy().into_owned());
        }
    }
    assert!(targets.iter().any(|target| target.contains("eventpoll")));
    assert!(
        !targets.iter().any(|target| target.contains("io_uring")),
        "{targets:?}"
    );
}

#[test]
fn metrics_endpoint_exports_exactly_the_documented_metrics() {
    let process = Process::start();
    let address = process.control;
    let page = eelgrassdyke_node::runtime::block_on(async move {
        let timeout = std::time::Duration::from_secs(20);
        let request = eelgrassdyke_node::http::client::Request::get("/metrics");
        let pool = eelgrassdyke_node::http::pool::Pool::default();
        pool.call(address, request, timeout).await.unwrap().1
    });
    let page = String::from_utf8(page.unwrap().to_vec()).unwrap();
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATORS.md");
    let documented = fs::read_to_string(path).unwrap();
    let mut documented_count = 0;
    for line in documented.lines() {
        let Some(name) = line.strip_prefix("| `eelgrassdyke_") else {
            continue;
        };
        let (name, _) = name.split_once(['`', '{']).unwrap();
        assert!(
            page.contains(&format!("eelgrassdyke_{name}")),
            "{name}\n{page}"
        );
        documented_count += 1;
    }
    let exported_count = page
        .lines()
        .filter(|line| line.starts_with("# TYPE"))
        .count();
    assert_eq!(documented_count, exported_count, "{page}");
}

// A peer of a newer build sends a message that this build doesn't know in a batch with others, which
// must not be lost with it.
#[test]
fn batch_with_an_unknown_message_is_handled() {
    let process = Process::start();
    let address = process.control;
    let poll = PollRequest {
        version: Default::default(),
        digest: Sha256::of(b""),
        directory_revision: None,
        wants_directory: true,
        wants_config: true,
        wants_confirmation: false,
        poll_number: 1,
        demands: Vec::new(),
    };
    let batch = Batch {
        from: Sender {
            process: "newer-1".parse().unwrap(),
            incarnation: Incarnation(1),
            address: unused_address(),
        },
        stamp: Default::default(),
        messages: vec![Message::ReportResync, Message::Poll(poll)],
    };
    let mut body = wire::encode(&batch).unwrap();
    let name = b"ReportAsk";
    let at = (body.windows(name.len()).position(|bytes| bytes == name)).unwrap();
    body[at..at + name.len()].copy_from_slice(b"NewerKind");
    let (mail_status, status) = block_on(async move {
        let pool = Pool::default();
        let timeout = std::time::Duration::from_secs(20);
        let mut mail = Request::post("/peer/mail", body);
        let secret = HeaderValue::from_static("secret-of-this-trial");
        mail.headers.insert(SECRET_HEADER, secret);
        let (mail_status, _) = pool.call(address, mail, timeout).await.unwrap();
        let mut query = Request::get("/v1/status");
        let bearer = HeaderValue::from_str(&format!("Bearer {OPERATOR_TOKEN}")).unwrap();
        query.headers.insert("authorization", bearer);
        (
            mail_status,
            pool.call(address, query, timeout).await.unwrap().1,
        )
    })
    .unwrap();
    assert_eq!(mail_status, StatusCode::NO_CONTENT);
    let status: Value = serde_json::from_slice(&status).unwrap();
    let followers = &status["status"]["followers"];
    assert!(followers.get("newer-1").is_some(), "{followers}");
}

#[test]
fn sigterm_triggers_a_graceful_shutdown() {
    let mut process = Process::start();
    process.signal(Signal::SIGTERM);
    assert!(process.child.wait().unwrap().success());
}

#[test]
fn drain_with_wait_returns_after_the_process_has_stopped() {
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
fn drain_with_wait_does_not_take_a_frozen_process_for_stopped() {
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
        .arg(write_settings(folder, settings))
        .output()
        .unwrap()
}

#[test]
fn check_prints_all_errors() {
    let folder = tempfile::tempdir().unwrap();
    let valid = all_roles_settings(unused_address());
    assert!(check(folder.path(), &valid).status.success());

    let mut invalid = valid.clone();
    invalid["log"] = json!({"level": "loud"});
    invalid["agent_role"]["slots"] = json!(0);
    invalid["colour"] = json!("red");
    let output = check(folder.path(), &invalid);
    assert_eq!(output.status.code(), Some(1));
    let stdout = String::from_utf8(output.stdout).unwrap();
    for path in ["log.level", "agent_role.slots", "colour"] {
        assert!(stdout.contains(&format!("at {path}: ")), "{stdout}");
    }

    let mut missing = valid;
    missing["peer_secret_file"] = json!("nowhere");
    let output = check(folder.path(), &missing);
    assert_eq!(output.status.code(), Some(1));
    let stdout = String::from_utf8(output.stdout).unwrap();
    assert!(stdout.contains("at peer_secret_file: "), "{stdout}");
}
