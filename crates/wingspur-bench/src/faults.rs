//! Rounds of faults: once-only load and bundles while the store, boxes and servers fail.

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

/// Something that fails in a round.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RoundFault {
    /// Nothing.
    Nothing,
    /// The store is in trouble.
    Store(StoreFault),
    /// A box crashes and comes back.
    BoxCrash,
    /// A box is stopped as planned and comes back.
    BoxStop,
    /// A server of the once-only service turns gray.
    Server(Gray),
}

/// What a round came to.
#[derive(Debug, Clone, Serialize)]
pub struct FaultRow {
    /// The faults, in words.
    pub faults: String,
    /// Once-only requests sent, repeats included.
    pub sent: u64,
    /// Answered by a backend server.
    pub answered: u64,
    /// Refused, by result code.
    pub refused: std::collections::BTreeMap<u16, u64>,
    /// Connections that a crash cut.
    pub broken: u64,
    /// Operations that ran more than once.
    pub duplicates: usize,
    /// Operations told *not run* that ran.
    pub false_not_run: usize,
    /// Requests cut by planned stops.
    pub cut_by_stop: usize,
    /// Bundles accepted during the round.
    pub bundles: u64,
    /// Times that a box was seen with an older bundle than before.
    pub reversions: u64,
    /// The slowest time from acceptance to in force on all boxes, in milliseconds.
    pub in_force_ms: f64,
}

/// How the rounds are run.
#[derive(Debug, Clone, Copy)]
pub struct FaultOptions {
    /// How often the table is gone through.
    pub rounds: usize,
    /// Boxes.
    pub boxes: usize,
    /// Once-only requests a second.
    pub rate_per_s: f64,
    /// Seconds of load a row.
    pub seconds: u64,
}

/// Each row: what fails in the first half, alone or with something else.
pub fn fault_rows() -> Vec<[RoundFault; 2]> {
    use RoundFault::{BoxCrash, BoxStop, Nothing, Server, Store};
    let down = Store(StoreFault::Down);
    let slow = Store(StoreFault::Slow(Duration::from_millis(300)));
    let lost = Store(StoreFault::LoseWriteReplies);
    let some_lost = Store(StoreFault::LoseEveryNthReply(3));
    let stall = Server(Gray::Stall);
    let errors = Server(Gray::Errors(0.5));
    vec![
        [Nothing, Nothing],
        [down, Nothing],
        [slow, Nothing],
        [lost, Nothing],
        [some_lost, Nothing],
        [BoxCrash, Nothing],
        [BoxStop, Nothing],
        [stall, Nothing],
        [errors, Nothing],
        [down, BoxCrash],
        [slow, BoxCrash],
        [some_lost, BoxCrash],
        [some_lost, BoxStop],
        [slow, BoxStop],
        [some_lost, stall],
        [BoxCrash, stall],
        [down, stall],
        [BoxCrash, BoxCrash],
    ]
}

/// Goes through the table on one fleet.
pub async fn run_faults(
    options: FaultOptions,
    spawner: &Spawner,
    mut each: impl FnMut(&FaultRow),
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
            each(&row);
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
    let seen = Mutex::new(Seen::default());
    let (report, disturbed) = zip(
        load.run(&load_options),
        disturb(fleet, faults, duration, &seen),
    )
    .await;
    let cut_by_stop = disturbed?;
    // Late work of abandoned attempts has ended by then.
    smol::Timer::after(SETTLE).await;
    let (duplicates, false_not_run) = fleet.check_once_only(&report);
    let seen = seen.into_inner().expect("no holder panics");
    Ok(make_row(
        faults,
        &report,
        &seen,
        duplicates,
        false_not_run,
        cut_by_stop,
    ))
}

/// Puts the faults in force for the first half, and a bundle every while all through.
async fn disturb(
    fleet: &mut Fleet,
    faults: &[RoundFault],
    duration: Duration,
    seen: &Mutex<Seen>,
) -> Result<usize, String> {
    let start = Instant::now();
    let mut cut = 0;
    smol::Timer::after(duration / 8).await;
    let submissions = fleet.servers.len() - 1;
    for (index, fault) in faults.iter().enumerate() {
        match fault {
            RoundFault::Nothing => {}
            RoundFault::Store(fault) => fleet.store.set_fault(*fault),
            RoundFault::BoxCrash => fleet.crash_box(index),
            RoundFault::BoxStop => cut += fleet.stop_box(index).await,
            RoundFault::Server(gray) => fleet.servers[submissions][0].set_gray(*gray),
        }
    }
    while start.elapsed() < duration / 2 {
        smol::Timer::after(Duration::from_millis(20)).await;
        seen.lock().expect("no holder panics").look(fleet);
    }
    fleet.store.set_fault(StoreFault::None);
    fleet.servers[submissions][0].set_gray(Gray::Well);
    for (index, fault) in faults.iter().enumerate() {
        if matches!(fault, RoundFault::BoxCrash | RoundFault::BoxStop) {
            fleet.restart_box(index).await?;
            // A new box may start without a bundle; only what it shows after counts.
            seen.lock().expect("no holder panics").forget(index);
        }
    }
    while start.elapsed() < duration {
        let accepted = Instant::now();
        let version = fleet.publish_next(|_| {}).await;
        if let Ok(version) = version
            && fleet.wait_in_force(version, IN_FORCE_PATIENCE).await
        {
            let mut seen = seen.lock().expect("no holder panics");
            seen.bundles += 1;
            seen.in_force_ms = seen
                .in_force_ms
                .max(accepted.elapsed().as_secs_f64() * 1000.0);
        }
        seen.lock().expect("no holder panics").look(fleet);
        smol::Timer::after(Duration::from_millis(50)).await;
    }
    Ok(cut)
}

/// What was seen of bundles in a round.
#[derive(Debug, Default)]
struct Seen {
    versions: std::collections::HashMap<usize, u64>,
    reversions: u64,
    bundles: u64,
    in_force_ms: f64,
}

impl Seen {
    fn look(&mut self, fleet: &Fleet) {
        for (index, running) in fleet.boxes.iter().enumerate() {
            let Some(running) = running else { continue };
            let version = running.bundle_version();
            let before = self.versions.insert(index, version).unwrap_or(0);
            self.reversions += u64::from(version < before);
        }
    }

    fn forget(&mut self, index: usize) {
        self.versions.remove(&index);
    }
}

fn make_row(
    faults: &[RoundFault],
    report: &LoadReport,
    seen: &Seen,
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
        bundles: seen.bundles,
        reversions: seen.reversions,
        in_force_ms: seen.in_force_ms,
    }
}

const SETTLE: Duration = Duration::from_millis(500);
const IN_FORCE_PATIENCE: Duration = Duration::from_secs(10);
