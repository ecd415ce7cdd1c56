//! Failures of commands, with their exit codes, and small helpers for files.

use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;

use serde::de::DeserializeOwned;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// It could not be done; another try may succeed.
    #[error("{0}")]
    Failed(String),
    /// The input is wrong.
    #[error("{0}")]
    WrongInput(String),
    /// Another bundle was accepted first.
    #[error("{0}")]
    VersionConflict(String),
}

impl CommandError {
    /// Creates a failure that may not occur on another try.
    pub fn failed(error: impl Display) -> Self {
        Self::Failed(error.to_string())
    }

    /// Returns the exit code, as listed by `--help`.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Failed(_) => ExitCode::from(1),
            Self::WrongInput(_) => ExitCode::from(2),
            Self::VersionConflict(_) => ExitCode::from(3),
        }
    }
}

/// Reads a JSON file; an error names the file and the position in it.
pub fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, CommandError> {
    let shown = path.display();
    let text = std::fs::read_to_string(path).map_err(|error| {
        CommandError::WrongInput(format!(
            "{shown}: cannot be read: {error}; check the path"
        ))
    })?;
    serde_json::from_str(&text).map_err(|error| {
        CommandError::WrongInput(format!("{shown}: {error}; mend the file at that place"))
    })
}

/// Writes a new file; fails if it exists.
pub fn write_new(path: &Path, text: &str) -> Result<(), CommandError> {
    use std::io::Write;
    let shown = path.display();
    let file = std::fs::File::create_new(path).map_err(|error| {
        CommandError::WrongInput(format!("{shown}: {error}; choose another file"))
    });
    file?
        .write_all(text.as_bytes())
        .map_err(CommandError::failed)
}

/// Prints a value as indented JSON.
pub fn print_json(value: &impl serde::Serialize) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(value).map_err(CommandError::failed)?;
    println!("{text}");
    Ok(())
}
