//! Runs once-only load and publishes bundles while the store, boxes and servers fail.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use futures_lite::future::zip;
use serde::Serialize;
use wingspur_state::RouteClass;
use wingspur_transport::Spawner;

use crate::{
    Fleet, Gray, Load, LoadOptions, LoadReport, RequestKind, ServerPlan, StoreFault,
    small_zagreb,
};

/// A fault that is injected in a round.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RoundFault {
    /// No fault.
    Nothing,
    /// The store has a fault.
    Store(StoreFault),
    /// A box crashes and is restarted.
    BoxCrash,
    /// A box is stopped gracefully and is restarted.
    BoxStop,
    /// A server of the once-only service has a gray failure.
    Server(Gray),
}

/// The results of one round.
#[derive(Debug, Clone, Serialize)]
pub struct FaultRow {
    /// The names of the faults, joined by ` + `.
    pub faults: String,
    /// Once-only requests sent, repetitions included.
    pub sent: u64,
    /// Requests with a complete response of a backend server below status 500.
    pub answered: u64,
    /// Refused requests, by result code.
    pub refused: std::collections::BTreeMap<u16, u64>,
    /// Requests that may have been sent and whose connection failed before the response
    /// was complete.
    pub broken: u64,
    /// Operations that ran more than once.
    pub duplicates: usize,
    /// Operations that ran although all their callers received `not_run`.
    pub false_not_run: usize,
    /// Requests interrupted by graceful stops.
    pub cut_by_stop: usize,
    /// Bundles that the store accepted and all running boxes activated within
    /// `ACTIVATION_TIMEOUT`.
    pub bundles: u64,
    /// Number of times that a box had an older bundle than when it was last checked.
    pub reversions: u64,
    /// The longest time from the submission of a bundle to its activation on all running
    /// boxes, in milliseconds.
    pub in_force_ms: f64,
}

/// How the rounds are run.
#[derive(Debug, Clone, Copy)]
pub struct FaultOptions {
    /// How often all rows of `fault_rows` are run.
    pub rounds: usize,
    /// Number of boxes.
    pub boxes: usize,
    /// Once-only requests per second.
    pub rate_per_s: f64,
    /// Duration of the load of a row, in seconds.
    pub seconds: u64,
}

/// Returns the rows of the table, each with at most two faults for one round. A fault of
/// a box affects the box whose index is the fault's position in the row.
pub fn fault_rows() -> Vec<[RoundFault; 2]> {
    use RoundFault::{BoxCrash, BoxStop, Nothing, Server, Store};
    let down = Store(StoreFault::Down);
    let slow = Store(StoreFault::Slow(Duration::from_millis(300)));
    let replies_lost = Store(StoreFault::LoseWriteReplies);
    let some_replies_lost = Store(StoreFault::LoseEveryNthReply(3));
    let stall = Server(Gray::Stall);
    let errors = Server(Gray::Errors(0.5));
    vec![
        [Nothing, Nothing],
        [down, Nothing],
        [slow, Nothing],
        [replies_lost, Nothing],
        [some_replies_lost, Nothing],
        [BoxCrash, Nothing],
        [BoxStop, Nothing],
        [stall, Nothing],
        [errors, Nothing],
        [down, BoxCrash],
        [slow, BoxCrash],
        [some_replies_lost, BoxCrash],
        [some_replies_lost, BoxStop],
        [slow, BoxStop],
        [some_replies_lost, stall],
        [BoxCrash, stall],
        [down, stall],
        [BoxCrash, BoxCrash],
    ]
}

/// Runs all rows of `fault_rows` for a number of rounds on one fleet, and calls `on_row`
/// with the results of each row.
pub async fn run_faults(
    options: FaultOptions,
    spawner: &Spawner,
    mut on_row: impl FnMut(&FaultRow),
) -> Result<Vec<FaultRow>, String> {
    let mut plan = small_zagreb(options.boxes);
    for service in &mut plan.services {
        service.server = ServerPlan {
            slots: 8,
            median_ms: 2.0,
            deviation_ln: 0.4,
        };
    }
    plan.services
        .retain(|service| service.class != RouteClass::Download);
    let mut fleet = Fleet::start(plan, spawner).await?;
    let mut rows = Vec::new();
    for _ in 0..options.rounds {
        for faults in fault_rows() {
            let row = run_row(&mut fleet, &faults, options, spawner).await?;
            on_row(&row);
            rows.push(row);
        }
    }
    fleet.close().await;
    Ok(rows)
}

async fn run_row(
    fleet: &mut Fleet,
    faults: &[RoundFault],
    options: FaultOptions,
    spawner: &Spawner,
) -> Result<FaultRow, String> {
    fleet
        .servers
        .iter()
        .flatten()
        .for_each(|server| server.clear_runs());
    let load = Load::balanced(spawner, fleet.settings());
    let kind = RequestKind {
        method: "POST",
        path: "/submit/9",
        once_only_repeats: Some(0.2),
        answer_bytes: None,
    };
    let duration = Duration::from_secs(options.seconds);
    let load_options = LoadOptions {
        rate_per_s: options.rate_per_s,
        duration,
        mix: vec![(kind, 1.0)],
    };
    let observations = Mutex::new(BundleObservations::default());
    let (report, injected) = zip(
        load.run(&load_options),
        inject_faults(fleet, faults, duration, &observations),
    )
    .await;
    let cut_by_stop = injected?;
    // Servers may still be working on abandoned attempts; that ends within the delay.
    smol::Timer::after(SETTLE_DELAY).await;
    let (duplicates, false_not_run) = fleet.check_once_only(&report);
    let observations = observations.into_inner().expect("no holder panics");
    Ok(make_row(
        faults,
        &report,
        &observations,
        duplicates,
        false_not_run,
        cut_by_stop,
    ))
}

/// Injects the faults after an eighth of the duration, ends them after half of it, and
/// then publishes bundles until its end. Returns how many requests graceful stops
/// interrupted.
async fn inject_faults(
    fleet: &mut Fleet,
    faults: &[RoundFault],
    duration: Duration,
    observations: &Mutex<BundleObservations>,
) -> Result<usize, String> {
    let start = Instant::now();
    let mut cut_requests = 0;
    smol::Timer::after(duration / 8).await;
    let once_only_service = fleet.servers.len() - 1;
    for (index, fault) in faults.iter().enumerate() {
        match fault {
            RoundFault::Nothing => {}
            RoundFault::Store(fault) => fleet.store.set_fault(*fault),
            RoundFault::BoxCrash => fleet.crash_box(index),
            RoundFault::BoxStop => cut_requests += fleet.stop_box(index).await,
            RoundFault::Server(gray) => {
                fleet.servers[once_only_service][0].set_gray(*gray)
            }
        }
    }
    while start.elapsed() < duration / 2 {
        smol::Timer::after(Duration::from_millis(20)).await;
        observations
            .lock()
            .expect("no holder panics")
            .record_versions(fleet);
    }
    fleet.store.set_fault(StoreFault::None);
    fleet.servers[once_only_service][0].set_gray(Gray::Well);
    for (index, fault) in faults.iter().enumerate() {
        if matches!(fault, RoundFault::BoxCrash | RoundFault::BoxStop) {
            fleet.restart_box(index).await?;
            // A restarted box may begin without a bundle, which is no reversion: only the
            // versions that it has after the restart are compared.
            observations
                .lock()
                .expect("no holder panics")
                .discard_version(index);
        }
    }
    while start.elapsed() < duration {
        let submitted_at = Instant::now();
        let version = fleet.publish_next(|_| {}).await;
        if let Ok(version) = version
            && fleet.wait_in_force(version, ACTIVATION_TIMEOUT).await
        {
            let mut observations = observations.lock().expect("no holder panics");
            observations.bundles += 1;
            observations.max_activation_ms = observations
                .max_activation_ms
                .max(submitted_at.elapsed().as_secs_f64() * 1000.0);
        }
        observations
            .lock()
            .expect("no holder panics")
            .record_versions(fleet);
        smol::Timer::after(Duration::from_millis(50)).await;
    }
    Ok(cut_requests)
}

/// What was observed of bundles in a round.
#[derive(Debug, Default)]
struct BundleObservations {
    /// The last version of each box, by the box's index.
    versions: std::collections::HashMap<usize, u64>,
    reversions: u64,
    bundles: u64,
    max_activation_ms: f64,
}

impl BundleObservations {
    /// Records the version of each running box and counts versions older than the last.
    fn record_versions(&mut self, fleet: &Fleet) {
        for (index, running) in fleet.boxes.iter().enumerate() {
            let Some(running) = running else { continue };
            let version = running.bundle_version();
            let previous = self.versions.insert(index, version).unwrap_or(0);
            self.reversions += u64::from(version < previous);
        }
    }

    /// Discards the last version of a box.
    fn discard_version(&mut self, index: usize) {
        self.versions.remove(&index);
    }
}

fn make_row(
    faults: &[RoundFault],
    report: &LoadReport,
    observations: &BundleObservations,
    duplicates: usize,
    false_not_run: usize,
    cut_by_stop: usize,
) -> FaultRow {
    let names: Vec<String> = faults
        .iter()
        .filter(|fault| **fault != RoundFault::Nothing)
        .map(|fault| format!("{fault:?}"))
        .collect();
    FaultRow {
        faults: if names.is_empty() {
            "Nothing".to_owned()
        } else {
            names.join(" + ")
        },
        sent: report.sent,
        answered: report.answered,
        refused: report.refused.clone(),
        broken: report.broken,
        duplicates,
        false_not_run,
        cut_by_stop,
        bundles: observations.bundles,
        reversions: observations.reversions,
        in_force_ms: observations.max_activation_ms,
    }
}

const SETTLE_DELAY: Duration = Duration::from_millis(500);
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(10);
