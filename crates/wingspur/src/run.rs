//! `wingspur run`: runs a box until a signal stops it.

use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use std::path::Path;
use std::time::Duration;

use wingspur_edge::{EdgeBox, Settings, load_settings, parse_settings};
use wingspur_entry::EntryBox;
use wingspur_platform::{catalog, header_names};
use wingspur_transport::{BufferBudget, FaultInjector, HttpClient, Spawner, Workers};

use crate::CommandResult;
use crate::args::RunArgs;
use crate::logs::Logs;
use crate::report::CommandError;

/// Runs a box. The first SIGTERM or SIGINT shuts it down gracefully; a SIGINT after that
/// stops it at once.
pub fn run(args: &RunArgs) -> CommandResult {
    let settings = load_settings(&args.settings);
    let settings =
        settings.map_err(|error| CommandError::WrongInput(error.to_string()))?;
    if args.check {
        println!("The settings are valid.");
        return Ok(());
    }
    let mut logs = Logs::start(&settings.log)?;
    log_start(&settings, &args.settings);
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(CommandError::failed)?;
    let workers = Workers::start(settings.worker_threads);
    let spawner = workers.spawner();
    spawner.detach(wingspur_clock::watch());
    let result = smol::block_on(async {
        let running = Running::start(settings, &spawner).await?;
        run_until_stop(&running, &args.settings, &mut signals, &mut logs).await;
        let stopping = async { Some(running.close().await) };
        let interrupted = async {
            wait_for_interrupt(&mut signals).await;
            None
        };
        Ok(stopping.or(interrupted).await)
    });
    workers.close();
    logs.close();
    match result? {
        Some(0) => Ok(()),
        Some(cut) => Err(CommandError::Failed(format!("{cut} requests were cut"))),
        None => Err(CommandError::Failed(
            "stopped at once by an interrupt".to_owned(),
        )),
    }
}

/// Runs until SIGTERM or SIGINT. Reads the settings file at each SIGHUP and periodically,
/// and applies the settings if the file has changed.
async fn run_until_stop(
    running: &Running,
    path: &Path,
    signals: &mut Signals,
    logs: &mut Logs,
) {
    let mut text = std::fs::read_to_string(path).unwrap_or_default();
    loop {
        let signalled = async { signals.next().await };
        let elapsed = async {
            wingspur_clock::sleep(SETTINGS_CHECK_INTERVAL).await;
            Some(Ok(Signal::Hup))
        };
        match signalled.or(elapsed).await {
            Some(signal) if is_reload(&signal) => {}
            Some(_) | None => return,
        }
        running.note_dropped_log_lines(logs.report_dropped());
        let new = match std::fs::read_to_string(path) {
            Ok(new) => new,
            Err(error) => {
                tracing::warn!(%error, "settings: unreadable, the previous ones stay.");
                continue;
            }
        };
        if new == text {
            continue;
        }
        text = new;
        match parse_settings(&path.display().to_string(), &text) {
            Ok(settings) => running.reload(settings),
            Err(error) => {
                tracing::warn!(%error, "settings: invalid, the previous ones stay.");
            }
        }
    }
}

/// Waits for a SIGINT, with which an operator ends a shutdown at once. A second SIGTERM
/// does not: two rollouts may both send one, and callers' requests still need a response.
async fn wait_for_interrupt(signals: &mut Signals) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Int) => return,
            Ok(Signal::Hup) => {}
            Ok(signal) => {
                tracing::info!(?signal, "stop: another signal, the shutdown goes on.")
            }
            Err(error) => tracing::warn!(%error, "stop: a signal cannot be read."),
        }
    }
}

fn is_reload(signal: &std::io::Result<Signal>) -> bool {
    matches!(signal, Ok(Signal::Hup))
}

/// A running box of the kind that the settings ask for: with a catalog or without.
enum Running {
    Own(Box<EntryBox>),
    Edge(Box<EdgeBox>),
}

impl Running {
    async fn start(settings: Settings, spawner: &Spawner) -> Result<Self, CommandError> {
        let Some(sources) = settings.catalog.clone() else {
            let faults = FaultInjector::default();
            let started = EntryBox::start(settings, spawner, faults).await;
            return Ok(Self::Own(Box::new(started.map_err(CommandError::failed)?)));
        };
        let client = HttpClient::new(spawner.clone(), FaultInjector::default())
            .with_buffers(BufferBudget::new(settings.buffer_bytes()));
        let address = sources.store_address;
        let catalog = catalog(address, client.into(), STORE_TIMEOUT, LEASE_TTL);
        let started = EdgeBox::start(settings, header_names(), catalog, spawner).await;
        Ok(Self::Edge(Box::new(started.map_err(CommandError::failed)?)))
    }

    fn reload(&self, settings: Settings) {
        match self {
            Self::Own(_) => {
                tracing::info!("settings: a restart is needed to apply them.")
            }
            Self::Edge(running) => running.reload(settings),
        }
    }

    fn note_dropped_log_lines(&self, lines: usize) {
        match self {
            Self::Own(running) => running.note_dropped_log_lines(lines),
            Self::Edge(running) => running.note_dropped_log_lines(lines),
        }
    }

    /// Shuts down gracefully; returns how many requests were cut off.
    async fn close(self) -> usize {
        match self {
            Self::Own(running) => running.close().await.cut_requests,
            Self::Edge(running) => running.close().await,
        }
    }
}

/// Logs the program's version and the main settings.
fn log_start(settings: &Settings, path: &Path) {
    let catalog = settings.catalog.as_ref();
    let sources = catalog.map_or("own", |catalog| catalog.form.as_str());
    tracing::info!(
        program = env!("CARGO_PKG_VERSION"),
        box_id = %settings.box_id,
        data_centre = %settings.data_centre,
        caller_address = %settings.caller_address,
        peer_address = %settings.peer_address,
        operator_address = %settings.operator_address,
        sources,
        settings = %path.display(),
        "start: the box is starting."
    );
}

/// Calls of the store normally take milliseconds; a slower one is treated as failed.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a box is considered alive without renewing its lease in the store.
const LEASE_TTL: Duration = Duration::from_secs(10);
/// How often the settings file is checked for changes made without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(5);
