//! The decisions' own price, measured by a program beside this one.

use std::process::Command;

use serde::{Deserialize, Serialize};

/// One size of one decision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DecisionRow {
    /// What was measured.
    pub what: String,
    /// How many there were.
    pub size: usize,
    /// Bytes held.
    pub bytes: f64,
    /// The time of one operation, in microseconds: the median of some batches.
    pub operation_us: f64,
}

/// Runs the program that measures every decision.
pub fn measure_decisions() -> Result<Vec<DecisionRow>, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let program = own.with_file_name("wingspur-bench-decisions");
    let ran = Command::new(&program).output();
    let ran = ran.map_err(|error| {
        format!("{}: {error}; build the workspace first", program.display())
    })?;
    serde_json::from_slice(&ran.stdout).map_err(|error| error.to_string())
}
