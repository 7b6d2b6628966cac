//! Demonstration of the whole system in one process, on loopback ports.
//!
//! Runs control, an entry and two agents with a simulated engine and a simulated plain service. Two
//! teams send streamed drafting requests and charges, which are not idempotent. Prints the
//! responses and the usage report.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use eelgrassdyke_core::digest::Sha256;
use eelgrassdyke_core::settings::Settings;
use eelgrassdyke_node::Node;
use eelgrassdyke_node::http::client::{Connection, Request};
use eelgrassdyke_node::node::Ports;
use eelgrassdyke_standin::{engine, plain};
use http::HeaderValue;
use serde_json::{Value, json};

use crate::run::Result;

/// The operator's token.
const OPERATOR_TOKEN: &str = "demo-operator";

/// The teams; the token of a team is its name followed by `-token`.
const TEAMS: [&str; 2] = ["hobart-salons", "launceston-salons"];

/// Maximum wait for a part of the system to start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the demonstration.
pub fn demo() -> Result<ExitCode> {
    let folder = tempfile::tempdir()?;
    eelgrassdyke_node::runtime::block_on(run_demo(folder.path()))??;
    Ok(ExitCode::SUCCESS)
}

async fn run_demo(folder: &Path) -> Result<()> {
    let system = DemoSystem::start(folder)?;
    println!(
        "control on {}, callers on {}",
        system.control, system.callers
    );

    system.wait_quorum().await?;
    let submission = config_submission();
    let verdict = system
        .operator_request("POST", "/v1/config", submission.to_string())
        .await?;
    println!("configuration: {verdict}");
    system.wait_ready().await?;

    for team in TEAMS {
        println!("\n{team} drafts:");
        system.draft(team).await?;
        println!("{team} charges:");
        for _ in 0..2 {
            system.charge(team).await?;
        }
    }

    // Processes send their usage counters once a second.
    monoio::time::sleep(Duration::from_millis(2200)).await;
    let report = system
        .operator_request("GET", "/v1/report", String::new())
        .await?;
    println!("\nusage by team:");
    print_report(&report);
    Ok(())
}

/// The running processes of the demonstration.
struct DemoSystem {
    control: SocketAddr,
    callers: SocketAddr,
    nodes: Vec<Rc<Node>>,
}

impl DemoSystem {
    fn start(folder: &Path) -> Result<Self> {
        std::fs::write(folder.join("peer-secret"), "demonstration-secret")?;
        std::fs::write(
            folder.join("operators"),
            Sha256::of(OPERATOR_TOKEN.as_bytes()).to_string(),
        )?;
        let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let engine = engine::serve(TcpListener::bind(free_port)?, engine::Options::default())?;
        let orders = plain::serve(TcpListener::bind(free_port)?, plain::Options::default())?;
        let main_ports = Ports::bind(free_port, Some(free_port))?;
        let control = main_ports.peer_address()?;
        let callers = main_ports.caller_address()?.ok_or("no port for callers")?;
        let mut nodes = Vec::new();

        let roles = json!({
            "entry_role": {"listen": callers},
            "control_role": {"data": folder.join("control"), "start": {"found": [control]}},
        });
        let settings = process_settings(folder, "main", control, control, roles)?;
        nodes.push(Node::start_with_ports(main_ports, settings, None, None)?);
        let engine_role = json!({"agent_role": {
            "server": "engine-1", "service": "draft", "backend": engine,
            "slots": 8, "token_rate": 400,
        }});
        let orders_role = json!({"agent_role": {
            "server": "orders-1", "service": "orders", "backend": orders, "slots": 16,
        }});
        for (name, role) in [("agent-engine", engine_role), ("agent-orders", orders_role)] {
            let ports = Ports::bind(free_port, None)?;
            let settings = process_settings(folder, name, ports.peer_address()?, control, role)?;
            nodes.push(Node::start_with_ports(ports, settings, None, None)?);
        }
        Ok(Self {
            control,
            callers,
            nodes,
        })
    }

    /// Waits until control has a quorum and accepts changes.
    async fn wait_quorum(&self) -> Result<()> {
        self.wait(async |status| Ok(status["quorum"] == true)).await
    }

    /// Waits until both services serve requests.
    async fn wait_ready(&self) -> Result<()> {
        self.wait(async |status| {
            let servers = status["servers"].as_array().map_or(0, Vec::len);
            let up = self.nodes.iter().all(|node| node.is_ready());
            Ok(servers == 2 && up && self.serves_requests().await?)
        })
        .await
    }

    /// Waits until the status of control meets a condition.
    async fn wait(&self, condition: impl AsyncFn(&Value) -> Result<bool>) -> Result<()> {
        let mut elapsed = Duration::ZERO;
        let poll_interval = Duration::from_millis(50);
        loop {
            let status = self
                .operator_request("GET", "/v1/status", String::new())
                .await?;
            let status: Value = serde_json::from_str(&status)?;
            if condition(&status["status"]).await? {
                return Ok(());
            }
            if elapsed > START_TIMEOUT {
                return Err(format!("not ready after {START_TIMEOUT:?}: {status}").into());
            }
            monoio::time::sleep(poll_interval).await;
            elapsed += poll_interval;
        }
    }

    /// Whether the entry serves a request, which requires the configuration and the server.
    async fn serves_requests(&self) -> Result<bool> {
        let request = self.team_request("GET", "/orders/stock", TEAMS[0], String::new());
        let mut connection = Connection::open(self.callers).await?;
        connection.send(request).await?;
        Ok(connection.receive_response().await?.status.is_success())
    }

    async fn operator_request(&self, method: &str, path: &str, body: String) -> Result<String> {
        let mut request = match method {
            "POST" => Request::post(path, body),
            _ => Request::get(path),
        };
        let bearer = HeaderValue::from_str(&format!("Bearer {OPERATOR_TOKEN}"))?;
        request.headers.insert("authorization", bearer);
        let mut connection = Connection::open(self.control).await?;
        connection.send(request).await?;
        let body = connection.receive_response().await?.read_to_end().await?;
        Ok(String::from_utf8(body.to_vec())?.trim().to_owned())
    }

    fn team_request(&self, method: &str, path: &str, team: &str, body: String) -> Request {
        let mut request = match method {
            "POST" => Request::post(path, body),
            _ => Request::get(path),
        };
        if let Ok(bearer) = HeaderValue::from_str(&format!("Bearer {team}-token")) {
            request.headers.insert("authorization", bearer);
        }
        request
    }

    /// Sends a streamed drafting request and prints the text of the response.
    async fn draft(&self, team: &str) -> Result<()> {
        let body = json!({
            "model": "draft", "prompt": format!("A refill summary for {team}"),
            "stream": true, "max_tokens": 12,
        });
        let request = self.team_request("POST", "/v1/completions", team, body.to_string());
        let mut connection = Connection::open(self.callers).await?;
        connection.send(request).await?;
        let mut response = connection.receive_response().await?;
        if !response.status.is_success() {
            return Err(format!("draft refused with {}", response.status).into());
        }
        let mut text = String::new();
        while let Some(part) = response.next_part().await? {
            for line in String::from_utf8_lossy(&part).lines() {
                let data = line.strip_prefix("data: ").unwrap_or_default();
                let event: Value = serde_json::from_str(data).unwrap_or_default();
                text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
            }
        }
        println!("  {text}");
        Ok(())
    }

    /// Sends a charge with a fixed idempotency key; a repeated charge gets the stored response.
    async fn charge(&self, team: &str) -> Result<()> {
        let body = json!({"item": "lavender serum", "refills": 3}).to_string();
        let mut request = self.team_request("POST", "/orders/charges", team, body);
        request
            .headers
            .insert("idempotency-key", HeaderValue::from_static("order-1"));
        let mut connection = Connection::open(self.callers).await?;
        connection.send(request).await?;
        let mut response = connection.receive_response().await?;
        let status = response.status;
        let body = response.read_to_end().await?;
        print!("  {status} {}", String::from_utf8_lossy(&body));
        match status.is_success() {
            true => Ok(()),
            false => Err("charge refused".into()),
        }
    }
}

fn process_settings(
    folder: &Path,
    process: &str,
    listen: SocketAddr,
    control: SocketAddr,
    roles: Value,
) -> Result<Settings> {
    let mut settings = json!({
        "process": process,
        "host": "demo", "data_centre": "hobart", "region": "tasmania",
        "listen": listen,
        "control": [control],
        "peer_secret_file": folder.join("peer-secret"),
        "operator_tokens_file": folder.join("operators"),
    });
    if let (Some(settings), Value::Object(roles)) = (settings.as_object_mut(), roles) {
        settings.extend(roles);
    }
    Ok(Settings::parse(&settings.to_string(), Path::new("demo"))?)
}

fn config_submission() -> Value {
    let mut teams = serde_json::Map::new();
    for team in TEAMS {
        let token = Sha256::of(format!("{team}-token").as_bytes()).to_string();
        teams.insert(team.to_owned(), json!({"tokens": [token]}));
    }
    json!({
        "operation": "demo-1", "base": 0, "author": "demo",
        "change": {"whole": {
            "teams": teams,
            "services": {
                "draft": {"kind": "drafting"},
                "orders": {"kind": "plain", "routes": [
                    {"method": "POST", "path": "/charges", "idempotent": false},
                ]},
            },
        }},
    })
}

fn print_report(report: &str) {
    let report: Value = serde_json::from_str(report).unwrap_or_default();
    println!(
        "  {:<20} {:<8} {:>6} {:>6} {:>10} {:>7}",
        "team", "service", "asked", "run", "delivered", "tokens"
    );
    for line in report["report"].as_array().into_iter().flatten() {
        println!(
            "  {:<20} {:<8} {:>6} {:>6} {:>10} {:>7}",
            line["team"].as_str().unwrap_or_default(),
            line["service"].as_str().unwrap_or_default(),
            line["delivered"]["asked"].to_string(),
            line["ran"]["run"].to_string(),
            line["delivered"]["delivered"].to_string(),
            line["ran"]["tokens"].to_string(),
        );
    }
}
