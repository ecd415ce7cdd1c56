//! Writes log lines to standard output through a bounded queue, so that logging never
//! blocks a request.

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use wingspur_edge::{LogFormat, LogSettings};

use crate::report::CommandError;

/// The log of the process; lines still in the queue are written when it is closed.
pub struct Logs {
    guard: WorkerGuard,
    dropped: ErrorCounter,
    /// Number of dropped lines that were reported so far.
    reported: usize,
}

impl Logs {
    /// Starts logging for the whole process.
    pub fn start(settings: &LogSettings) -> Result<Self, CommandError> {
        let filter = tracing_subscriber::EnvFilter::try_new(&settings.filter);
        let filter = filter.map_err(|error| {
            CommandError::WrongInput(format!(
                "log.filter: {error}; write it like \"info\""
            ))
        })?;
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(MAX_QUEUED_LINES)
            .thread_name("log")
            .finish(std::io::stdout());
        let dropped = writer.error_counter();
        let builder = tracing_subscriber::fmt().with_env_filter(filter);
        let builder = builder.with_writer(writer);
        match settings.format {
            LogFormat::Human => builder.init(),
            LogFormat::Json => builder.json().init(),
        }
        Ok(Self {
            guard,
            dropped,
            reported: 0,
        })
    }

    /// Logs how many lines were dropped since the last call, if any, and returns how many
    /// were dropped in total.
    pub fn report_dropped(&mut self) -> usize {
        let total = self.dropped.dropped_lines();
        if total > self.reported {
            let (lines, reported) = (total - self.reported, self.reported);
            tracing::warn!(lines, before = reported, "log: lines were dropped.");
            self.reported = total;
        }
        total
    }

    /// Writes the queued lines, within a short time limit, and ends the log.
    pub fn close(self) {
        drop(self.guard);
    }
}

/// Maximum number of lines that wait for a slow reader. They take at most two megabytes,
/// and hold some seconds of log lines when many requests fail.
const MAX_QUEUED_LINES: usize = 4096;
