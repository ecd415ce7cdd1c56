//! Parts of a play that run as processes of their own, so that they can be paused like
//! the boxes. Commands and reports are lines of JSON on their standard streams.

use std::io::{BufRead, BufReader, Stdin, Write};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::str::FromStr;
use std::sync::Mutex;
use std::thread::JoinHandle;

use rustix::process::{Pid, Signal, kill_process};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::planned::spawn;

/// Which part a process plays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// A backend server and the path to it.
    Server,
    /// All callers.
    Callers,
}

/// A part that runs as a process.
pub struct PartProcess {
    child: Child,
    commands: ChildStdin,
    reader: JoinHandle<()>,
}

/// The reports of a process that plays a part.
#[derive(Debug, Default)]
pub struct Reports(Mutex<()>);

/// The name of a part is unknown.
#[derive(Debug, thiserror::Error)]
#[error("unknown part {0:?}; use `server` or `callers`")]
pub struct UnknownPart(String);

impl PartProcess {
    /// Starts a process of this program, and calls `receive` for each report until it
    /// ends.
    pub fn start<R: DeserializeOwned>(
        part: Part,
        mut receive: impl FnMut(R) + Send + 'static,
    ) -> Self {
        let program = std::env::current_exe().expect("this program has a path");
        let mut command = Command::new(program);
        command.args(["--part", part.name()]);
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn().expect("this program can be started");
        let commands = child.stdin.take().expect("it is piped");
        let reports = child.stdout.take().expect("it is piped");
        let reader = spawn(move || {
            for line in BufReader::new(reports).lines().map_while(Result::ok) {
                let report = serde_json::from_str(&line);
                receive(report.expect("parts write reports only"));
            }
        });
        Self {
            child,
            commands,
            reader,
        }
    }

    /// Sends a command.
    pub fn send(&mut self, command: &impl Serialize) {
        let line = serde_json::to_string(command).expect("commands are serializable");
        // Fails if the process was killed from outside.
        let _ = writeln!(self.commands, "{line}");
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Ends the commands, waits until the process has ended, and returns once all its
    /// reports were received.
    pub fn close(mut self) {
        drop(self.commands);
        let _ = self.child.wait();
        self.reader.join().expect("reports can be received");
    }
}

impl Part {
    fn name(self) -> &'static str {
        match self {
            Self::Server => "server",
            Self::Callers => "callers",
        }
    }
}

impl FromStr for Part {
    type Err = UnknownPart;

    fn from_str(name: &str) -> Result<Self, UnknownPart> {
        match name {
            "server" => Ok(Self::Server),
            "callers" => Ok(Self::Callers),
            _ => Err(UnknownPart(name.to_owned())),
        }
    }
}

impl Reports {
    /// Writes a report.
    pub fn send(&self, report: &impl Serialize) {
        let line = serde_json::to_string(report).expect("reports are serializable");
        let _order = self.0.lock().expect("no holder panics");
        // Fails once the play has ended, which ends this process too.
        let _ = writeln!(std::io::stdout(), "{line}");
    }
}

/// Reads the next command; `None` once there are no more.
pub fn read_command<C: DeserializeOwned>(input: &Stdin) -> Option<C> {
    let mut line = String::new();
    let length = input.lock().read_line(&mut line).unwrap_or(0);
    (length > 0).then(|| serde_json::from_str(&line).expect("a command is valid"))
}
