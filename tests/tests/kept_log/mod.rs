//! Captures the log lines of the process.
#![allow(dead_code, reason = "each suite uses a part")]

use std::io::Write;
use std::sync::{Arc, Mutex};

use serde_json::Value;
use tracing_subscriber::fmt::MakeWriter;

/// Captures log output. A process can have only one, because the log subscriber is
/// global.
#[derive(Clone, Default)]
pub struct KeptLog(Arc<Mutex<Vec<u8>>>);

impl Write for KeptLog {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for KeptLog {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

impl KeptLog {
    /// Starts capturing all log lines of the process.
    pub fn start() -> Self {
        let log = Self::default();
        tracing_subscriber::fmt()
            .json()
            .with_writer(log.clone())
            .init();
        log
    }

    /// Returns the fields of each line, oldest first.
    pub fn lines(&self) -> Vec<Value> {
        let bytes = self.0.lock().unwrap().clone();
        let text = String::from_utf8(bytes).unwrap();
        let lines = text
            .lines()
            .map(|line| serde_json::from_str::<Value>(line).unwrap());
        lines.map(|line| line["fields"].clone()).collect()
    }

    /// Returns the lines whose `id` is the given request id.
    pub fn of_request(&self, id: &str) -> Vec<Value> {
        let mut lines = self.lines();
        lines.retain(|fields| fields["id"] == id);
        lines
    }

    /// Returns the lines with the given message.
    pub fn with_message(&self, message: &str) -> Vec<Value> {
        let mut lines = self.lines();
        lines.retain(|fields| fields["message"] == message);
        lines
    }
}
