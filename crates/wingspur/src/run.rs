//! `wingspur run`: an entry box until it is told to stop.

use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use std::path::Path;
use std::time::Duration;

use wingspur_edge::{EdgeBox, Settings, load_settings, parse_settings};
use wingspur_entry::EntryBox;
use wingspur_platform::{catalog, header_names};
use wingspur_transport::{FaultInjector, HttpClient, Spawner, Workers};

use crate::CommandResult;
use crate::args::RunArgs;
use crate::logs::Logs;
use crate::report::CommandError;

/// Runs a box; the first signal stops it as planned, an interrupt after that at once.
pub fn run(args: &RunArgs) -> CommandResult {
    let settings = load_settings(&args.settings);
    let settings =
        settings.map_err(|error| CommandError::WrongInput(error.to_string()))?;
    if args.check {
        println!("The settings are sound.");
        return Ok(());
    }
    let mut logs = Logs::start(&settings.log)?;
    log_start(&settings, &args.settings);
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(CommandError::failed)?;
    let workers = Workers::start(settings.worker_threads);
    let spawner = workers.spawner();
    spawner.detach(wingspur_clock::watch());
    let ended = smol::block_on(async {
        let running = Running::start(settings, &spawner).await?;
        run_until_stop(&running, &args.settings, &mut signals, &mut logs).await;
        let stopping = async { Some(running.close().await) };
        let interrupted = async {
            until_interrupted(&mut signals).await;
            None
        };
        Ok(stopping.or(interrupted).await)
    });
    workers.close();
    logs.close();
    match ended? {
        Some(0) => Ok(()),
        Some(cut) => Err(CommandError::Failed(format!("{cut} requests were cut"))),
        None => Err(CommandError::Failed(
            "stopped at once by an interrupt".to_owned(),
        )),
    }
}

/// Runs until a signal to stop; takes up the settings at each SIGHUP, and whenever the
/// file has changed.
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
            wingspur_clock::sleep(FILE_CHECK).await;
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
                tracing::warn!(%error, "settings: cannot be read, the old ones stay.");
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
                tracing::warn!(%error, "settings: not sound, the old ones stay.");
            }
        }
    }
}

/// Waits for a person who does not want to wait for a stop. A second order to stop is no
/// such thing: two rollouts may both give one, and callers are still to be answered.
async fn until_interrupted(signals: &mut Signals) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Int) => return,
            Ok(Signal::Hup) => {}
            Ok(signal) => tracing::info!(?signal, "stop: told again, it goes on."),
            Err(error) => tracing::warn!(%error, "stop: a signal was not read."),
        }
    }
}

fn is_reload(signal: &std::io::Result<Signal>) -> bool {
    matches!(signal, Ok(Signal::Hup))
}

/// A box over whichever sources its settings name.
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
        let exchange = HttpClient::new(spawner.clone(), FaultInjector::default());
        let address = sources.store_address;
        let catalog = catalog(address, exchange.into(), STORE_TIMEOUT, LEASE_TTL);
        let started = EdgeBox::start(settings, header_names(), catalog, spawner).await;
        Ok(Self::Edge(Box::new(started.map_err(CommandError::failed)?)))
    }

    fn reload(&self, settings: Settings) {
        match self {
            Self::Own(_) => tracing::info!("settings: a restart takes them up."),
            Self::Edge(running) => running.reload(settings),
        }
    }

    fn note_dropped_log_lines(&self, lines: usize) {
        match self {
            Self::Own(running) => running.note_dropped_log_lines(lines),
            Self::Edge(running) => running.note_dropped_log_lines(lines),
        }
    }

    /// Stops as planned; returns how many requests were cut.
    async fn close(self) -> usize {
        match self {
            Self::Own(running) => running.close().await.cut_requests,
            Self::Edge(running) => running.close().await,
        }
    }
}

/// Tells what starts, with which settings.
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
        "start: the box is coming up."
    );
}

/// A call of the store takes milliseconds; a slow one is as good as none.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a box counts as there when it does not renew.
const LEASE_TTL: Duration = Duration::from_secs(10);
/// The file may change without a signal.
const FILE_CHECK: Duration = Duration::from_secs(5);
