//! Keeps what the process logs.
#![allow(dead_code, reason = "each suite uses a part")]

use std::io::Write;
use std::sync::{Arc, Mutex};

use serde_json::Value;
use tracing_subscriber::fmt::MakeWriter;

/// Keeps what is logged; a process has one at the most.
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
    /// Takes up all lines of the process from now on.
    pub fn start() -> Self {
        let kept = Self::default();
        tracing_subscriber::fmt()
            .json()
            .with_writer(kept.clone())
            .init();
        kept
    }

    /// All lines as their fields.
    pub fn lines(&self) -> Vec<Value> {
        let bytes = self.0.lock().unwrap().clone();
        let text = String::from_utf8(bytes).unwrap();
        let lines = text
            .lines()
            .map(|line| serde_json::from_str::<Value>(line).unwrap());
        lines.map(|line| line["fields"].clone()).collect()
    }

    /// The lines that name a request.
    pub fn of_request(&self, id: &str) -> Vec<Value> {
        let mut lines = self.lines();
        lines.retain(|fields| fields["id"] == id);
        lines
    }

    /// The lines with a message.
    pub fn with_message(&self, message: &str) -> Vec<Value> {
        let mut lines = self.lines();
        lines.retain(|fields| fields["message"] == message);
        lines
    }
}
