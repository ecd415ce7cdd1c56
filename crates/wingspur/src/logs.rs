//! Log lines to standard output: a bounded queue that never holds up a request.

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use wingspur_edge::{LogFormat, LogSettings};

use crate::report::CommandError;

/// The running log; lines still in the queue are written when it is closed.
pub struct Logs {
    guard: WorkerGuard,
    dropped: ErrorCounter,
    /// Dropped lines that have been told of.
    told: usize,
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
            .buffered_lines_limit(MOST_WAITING_LINES)
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
            told: 0,
        })
    }

    /// Tells of lines that were dropped since this was last asked; returns all that were.
    pub fn report_dropped(&mut self) -> usize {
        let all = self.dropped.dropped_lines();
        if all > self.told {
            let (lines, told) = (all - self.told, self.told);
            tracing::warn!(lines, before = told, "log: lines were dropped.");
            self.told = all;
        }
        all
    }

    /// Writes what waits, for a moment at most, and ends.
    pub fn close(self) {
        drop(self.guard);
    }
}

/// Lines that may wait for a slow reader: two megabytes at most, and some seconds of a
/// storm of failures.
const MOST_WAITING_LINES: usize = 4096;
