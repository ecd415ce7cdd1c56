//! The boxes: real processes, started, stopped and ended by their ids only.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rand::RngExt;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use wingspur_tests::try_call;

use crate::budget::Budget;

/// What sets one box apart.
pub struct BoxSpec {
    /// Its id.
    pub id: String,
    /// Where it stands.
    pub data_centre: String,
    /// Its share of a core; the strongest box of a data centre is its hub.
    pub cpu_share: f64,
    /// When it would be killed after it was told to stop; none for never.
    pub kill_after_s: Option<f64>,
    /// The retry budget that it is told.
    pub budget: Budget,
}

/// One box, running or not.
pub struct SoakBox {
    /// Where callers come in.
    pub callers: SocketAddr,
    /// Where operators read.
    pub operators: SocketAddr,
    /// Whether it stands still.
    pub frozen: bool,
    /// Whether it was told to stop.
    stopping: bool,
    id: String,
    program: PathBuf,
    settings: Value,
    path: PathBuf,
    log: PathBuf,
    running: Option<Child>,
    ended: Option<ExitStatus>,
}

impl SoakBox {
    /// A box that is not started yet; its files go into `folder`.
    pub fn new(spec: &BoxSpec, program: &Path, store: SocketAddr, folder: &Path) -> Self {
        let (callers, operators) = (free_address(), free_address());
        let mut settings = json!({
            "box_id": spec.id,
            "data_centre": spec.data_centre,
            "fleet": "soak",
            "caller_address": callers,
            "peer_address": free_address(),
            "operator_address": operators,
            "worker_threads": 1,
            "cpu_share": spec.cpu_share,
            "catalog": {"form": "kv", "store_address": store},
            "retry_budget": {
                "ratio": spec.budget.ratio,
                "window_s": spec.budget.window.as_secs_f64(),
                "slack": spec.budget.slack,
            },
            "drain": {"balancer_lag_ms": 500, "limit_ms": 8000},
            "log": {"format": "json", "filter": "info"},
        });
        if let Some(kill_after_s) = spec.kill_after_s {
            settings["drain"]["kill_after_s"] = json!(kill_after_s);
        }
        let created = Self {
            callers,
            operators,
            frozen: false,
            stopping: false,
            id: spec.id.clone(),
            program: program.to_owned(),
            path: folder.join(format!("{}.json", spec.id)),
            log: folder.join(format!("{}.log", spec.id)),
            settings,
            running: None,
            ended: None,
        };
        created.write_settings();
        created
    }

    /// Writes another log filter into the settings file; the box is not told.
    pub fn set_filter(&mut self, filter: &str) {
        self.settings["log"]["filter"] = json!(filter);
        self.write_settings();
    }

    /// How the process that ran last ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.reap();
        self.ended
    }

    fn write_settings(&self) {
        let written = std::fs::write(&self.path, self.settings.to_string());
        written.expect("the folder takes files");
    }

    /// Starts the box, unless it runs.
    pub fn start(&mut self) {
        self.reap();
        if self.running.is_some() {
            return;
        }
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the folder takes files");
        let mut command = Command::new(&self.program);
        command.arg("run").arg(&self.path);
        command
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null());
        let started = command.spawn();
        self.running =
            Some(started.unwrap_or_else(|error| panic!("{}: {error}", self.id)));
        self.stopping = false;
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&mut self, signal: Signal) {
        self.reap();
        if let Some(child) = &self.running
            && let Some(pid) = Pid::from_raw(child.id() as i32)
        {
            // It may have ended just now.
            let _ = kill_process(pid, signal);
        }
    }

    /// Tells the process to stop, once.
    pub fn stop(&mut self) {
        if !self.stopping {
            self.signal(Signal::TERM);
            self.stopping = true;
        }
    }

    /// Lets the process stand still, or go on.
    pub fn freeze(&mut self, frozen: bool) {
        self.signal(if frozen { Signal::STOP } else { Signal::CONT });
        self.frozen = frozen;
    }

    /// Whether the process runs.
    pub fn runs(&mut self) -> bool {
        self.reap();
        self.running.is_some()
    }

    /// Ends the process.
    pub fn close(mut self) {
        if let Some(mut child) = self.running.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn reap(&mut self) {
        let Some(child) = &mut self.running else {
            return;
        };
        match child.try_wait() {
            Ok(None) => {}
            Ok(ended) => {
                self.ended = ended;
                self.running = None;
            }
            Err(error) => {
                eprintln!("{}: its end cannot be read: {error}", self.id);
                self.running = None;
            }
        }
    }
}

/// Asks a box; none where it does not listen, or says no.
pub fn ask(operators: SocketAddr, path: &str) -> Option<Value> {
    let answer = try_call(operators, "GET", path, &[("host", "box")], b"")?;
    let body = serde_json::from_slice(&answer.body).unwrap_or_default();
    (answer.status == 200).then_some(body)
}

/// A port that is free now, and that the kernel gives to no connection while the box is down.
fn free_address() -> SocketAddr {
    loop {
        let port = rand::rng().random_range(BELOW_EPHEMERAL);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

const BELOW_EPHEMERAL: std::ops::Range<u16> = 12_000..32_000;
