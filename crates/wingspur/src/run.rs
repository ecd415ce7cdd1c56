//! `wingspur run`: an entry box until it is told to stop.

use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use std::time::Duration;

use wingspur_edge::{EdgeBox, LogFormat, LogSettings, Settings, load_settings};
use wingspur_entry::EntryBox;
use wingspur_platform::{catalog, header_names};
use wingspur_transport::{Exchange, LinkFaults, Spawner, Workers};

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
        let running = Running::start(settings, &spawner).await?;
        signals.next().await;
        let stopping = async { Some(running.close().await) };
        let second = async {
            signals.next().await;
            None
        };
        Ok(stopping.or(second).await)
    });
    workers.close();
    match ended? {
        Some(0) => Ok(()),
        Some(cut) => Err(Failure::Failed(format!("{cut} requests were cut"))),
        None => Err(Failure::Failed(
            "stopped at once by a second signal".to_owned(),
        )),
    }
}

/// A box over whichever sources its settings name.
enum Running {
    Own(Box<EntryBox>),
    Edge(Box<EdgeBox>),
}

impl Running {
    async fn start(settings: Settings, spawner: &Spawner) -> Result<Self, Failure> {
        let Some(sources) = settings.catalog.clone() else {
            let faults = LinkFaults::default();
            let started = EntryBox::start(settings, spawner, faults).await;
            return Ok(Self::Own(Box::new(started.map_err(Failure::failed)?)));
        };
        let exchange = Exchange::new(spawner.clone(), LinkFaults::default());
        let address = sources.store_address;
        let catalog = catalog(address, exchange.into(), STORE_TIMEOUT, LEASE_TTL);
        let started = EdgeBox::start(settings, header_names(), catalog, spawner).await;
        Ok(Self::Edge(Box::new(started.map_err(Failure::failed)?)))
    }

    /// Stops as planned; returns how many requests were cut.
    async fn close(self) -> usize {
        match self {
            Self::Own(running) => running.close().await.cut_requests,
            Self::Edge(running) => running.close().await,
        }
    }
}

fn start_logs(settings: &LogSettings) -> CommandResult {
    let filter = tracing_subscriber::EnvFilter::try_new(&settings.filter);
    let filter = filter.map_err(|error| {
        Failure::WrongInput(format!("log.filter: {error}; write it like \"info\""))
    })?;
    let builder = tracing_subscriber::fmt().with_env_filter(filter);
    let builder = builder.with_writer(std::io::stdout);
    match settings.format {
        LogFormat::Human => builder.init(),
        LogFormat::Json => builder.json().init(),
    }
    Ok(())
}

/// A call of the store takes milliseconds; a slow one is as good as none.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a box counts as there when it does not renew.
const LEASE_TTL: Duration = Duration::from_secs(10);
