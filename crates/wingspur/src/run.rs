//! `wingspur run`: an entry box until it is told to stop.

use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use wingspur_entry::{EntryBox, LogFormat, LogSettings, load_settings};
use wingspur_transport::{LinkFaults, Workers};

use crate::CommandResult;
use crate::args::RunArgs;
use crate::report::Failure;

/// Runs a box; the first signal stops it as planned, a second one at once.
pub fn run(args: &RunArgs) -> CommandResult {
    let settings = load_settings(&args.settings);
    let settings = settings.map_err(|error| Failure::WrongInput(error.to_string()))?;
    if args.check {
        println!("The settings are sound.");
        return Ok(());
    }
    start_logs(&settings.log)?;
    let mut signals =
        Signals::new([Signal::Term, Signal::Int]).map_err(Failure::failed)?;
    let workers = Workers::start(settings.worker_threads);
    let spawner = workers.spawner();
    let ended = smol::block_on(async {
        let started = EntryBox::start(settings, &spawner, LinkFaults::default()).await;
        let entry_box = started.map_err(Failure::failed)?;
        signals.next().await;
        let stopping = async { Some(entry_box.close().await) };
        let second = async {
            signals.next().await;
            None
        };
        Ok(stopping.or(second).await)
    });
    workers.close();
    match ended? {
        Some(report) if report.cut_requests == 0 => Ok(()),
        Some(report) => Err(Failure::Failed(format!(
            "{} requests were cut",
            report.cut_requests
        ))),
        None => Err(Failure::Failed(
            "stopped at once by a second signal".to_owned(),
        )),
    }
}

fn start_logs(settings: &LogSettings) -> CommandResult {
    let filter = tracing_subscriber::EnvFilter::try_new(&settings.filter);
    let filter = filter.map_err(|error| {
        Failure::WrongInput(format!("log.filter: {error}; write it like \"info\""))
    })?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter);
    let builder = builder.with_writer(std::io::stderr);
    match settings.format {
        LogFormat::Human => builder.init(),
        LogFormat::Json => builder.json().init(),
    }
    Ok(())
}
