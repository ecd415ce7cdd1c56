//! The commands of the benchmark program, one module each.

mod capacity;
mod demo;
mod detect;
mod faults;

pub use capacity::capacity;
pub use demo::demo;
pub use detect::detect;
pub use faults::faults;

/// Writes a report to a file as JSON; does nothing if `path` is `None`.
fn write_json(
    path: Option<&std::path::Path>,
    report: &impl serde::Serialize,
) -> Result<(), String> {
    let Some(path) = path else { return Ok(()) };
    let text = serde_json::to_string_pretty(report).map_err(|error| error.to_string())?;
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}
