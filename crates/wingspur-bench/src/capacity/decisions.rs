//! Memory and time that each decision takes alone, measured by the program
//! `wingspur-bench-decisions` in the same folder as this one.

use std::process::Command;

use serde::{Deserialize, Serialize};

/// Cost of one decision at one size of its data.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DecisionRow {
    /// Name of the decision.
    pub what: String,
    /// Number of items that the decision works on, such as routes, servers or boxes.
    pub size: usize,
    /// Memory that the data takes, in bytes.
    pub bytes: f64,
    /// Time of one operation, in microseconds; the median of several batches.
    pub operation_us: f64,
}

/// Runs the program that measures every decision, and reads its output.
///
/// Fails if the program cannot be started or its output is not valid JSON.
pub fn measure_decisions() -> Result<Vec<DecisionRow>, String> {
    let current_exe = std::env::current_exe().map_err(|error| error.to_string())?;
    let program = current_exe.with_file_name("wingspur-bench-decisions");
    let output = Command::new(&program).output();
    let output = output.map_err(|error| {
        format!("{}: {error}; build the workspace first", program.display())
    })?;
    serde_json::from_slice(&output.stdout).map_err(|error| error.to_string())
}
