//! The demonstration: a small deployment under load while a server goes gray.

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use serde::Serialize;
use wingspur_protocol::ResultCode;
use wingspur_state::RetryReason;
use wingspur_transport::Spawner;

use crate::{Fleet, Gray, Load, LoadOptions, LoadReport, RequestKind, small_zagreb};

/// How the demonstration is run.
#[derive(Debug, Clone, Copy)]
pub struct DemoOptions {
    /// Boxes.
    pub boxes: usize,
    /// Seconds of load.
    pub seconds: u64,
    /// Requests a second.
    pub rate_per_s: f64,
}

/// What the demonstration showed.
#[derive(Debug, Clone, Serialize)]
pub struct DemoReport {
    /// The load's own report.
    pub load: LoadReport,
    /// Refusals by code, as the boxes counted them.
    pub refusals: BTreeMap<u16, u64>,
    /// Retries by reason, as the boxes counted them.
    pub retries: BTreeMap<&'static str, u64>,
    /// From the onset to the verdict at the last box, in milliseconds.
    pub detection_ms: Option<f64>,
    /// Well servers that any box ever held back.
    pub false_ejections: usize,
    /// Once-only operations that ran more than once.
    pub duplicates: usize,
    /// Once-only operations told *not run* that ran.
    pub false_not_run: usize,
    /// Requests cut by the planned stop of all boxes.
    pub cut_by_stop: usize,
    /// Median latency added by one hop, in milliseconds.
    pub added_p50_ms: f64,
    /// 99th percentile with a hop less the one without, in milliseconds.
    pub added_p99_ms: f64,
}

impl DemoReport {
    /// The promises that did not hold, in words.
    pub fn broken_promises(&self) -> Vec<String> {
        let mut broken = Vec::new();
        let mut expect = |holds: bool, text: &str| {
            if !holds {
                broken.push(text.to_owned());
            }
        };
        expect(
            self.load.foreign == 0,
            "a caller got an answer that is not its own",
        );
        expect(
            self.load.broken == 0,
            "a caller got neither answer nor refusal",
        );
        expect(self.duplicates == 0, "a once-only operation ran twice");
        expect(
            self.false_not_run == 0,
            "an operation that ran was called not run",
        );
        expect(self.cut_by_stop == 0, "a planned stop cut a request");
        expect(self.false_ejections == 0, "a well server was held back");
        expect(self.detection_ms.is_some(), "the sick server was not found");
        broken
    }
}

/// Runs the demonstration.
pub async fn run_demo(
    options: DemoOptions,
    spawner: &Spawner,
) -> Result<DemoReport, String> {
    let fleet = Fleet::start(small_zagreb(options.boxes), spawner).await?;
    let mix = vec![
        (RequestKind::new("GET", "/exam/page/7"), 6.0),
        (
            RequestKind {
                once_only_repeats: Some(0.1),
                ..RequestKind::new("POST", "/submit/9")
            },
            2.0,
        ),
        (
            RequestKind {
                answer_bytes: Some(200_000),
                ..RequestKind::new("GET", "/archive/3")
            },
            1.0,
        ),
    ];
    let duration = Duration::from_secs(options.seconds);
    let load = LoadOptions {
        rate_per_s: options.rate_per_s,
        duration,
        mix,
    };
    let callers = Load::new(spawner, &fleet.caller_addresses());
    let sick = &fleet.servers[0][1];
    let sick_name = format!("{}-01", fleet.plan().services[0].name);
    let watching = watch(&fleet, sick, &sick_name, duration);
    let (report, (detection_ms, false_ejections)) =
        futures_lite::future::zip(callers.run(&load), watching).await;
    sick.set_gray(Gray::Well);
    let (added_p50_ms, added_p99_ms) = measure_hop(&fleet, spawner).await;
    let (refusals, retries) = counters(&fleet);
    let (duplicates, false_not_run) = fleet.check_once_only(&report);
    let cut_by_stop = fleet.close().await;
    Ok(DemoReport {
        load: report,
        refusals,
        retries,
        detection_ms,
        false_ejections,
        duplicates,
        false_not_run,
        cut_by_stop,
        added_p50_ms,
        added_p99_ms,
    })
}

/// Makes the server stall a third into the load, and watches who is held back.
async fn watch(
    fleet: &Fleet,
    sick: &crate::BackendStandIn,
    sick_name: &str,
    duration: Duration,
) -> (Option<f64>, usize) {
    let end = Instant::now() + duration;
    let onset = Instant::now() + duration / 3;
    let sick_full = format!("{}/{sick_name}", fleet.plan().services[0].name);
    let mut detected = None;
    let mut falsely: HashSet<String> = HashSet::new();
    let mut stalled = false;
    while Instant::now() < end {
        smol::Timer::after(Duration::from_millis(10)).await;
        if !stalled && Instant::now() >= onset {
            sick.set_gray(Gray::Stall);
            stalled = true;
        }
        let out: Vec<Vec<String>> = fleet
            .boxes
            .iter()
            .flatten()
            .map(|running| running.restricted_servers())
            .collect();
        for name in out.iter().flatten() {
            if *name != sick_full || !stalled {
                falsely.insert(name.clone());
            }
        }
        let by_all = out.iter().all(|names| names.contains(&sick_full));
        if stalled && by_all && detected.is_none() {
            detected = Some(onset.elapsed().as_secs_f64() * 1000.0);
        }
    }
    (detected, falsely.len())
}

/// The same light load through a box and straight to a server, in turn.
async fn measure_hop(fleet: &Fleet, spawner: &Spawner) -> (f64, f64) {
    let options = LoadOptions {
        rate_per_s: 200.0,
        duration: Duration::from_secs(2),
        mix: vec![(RequestKind::new("GET", "/exam/page/7"), 1.0)],
    };
    let direct: Vec<_> = fleet.servers[0]
        .iter()
        .map(|server| server.address())
        .collect();
    let straight = Load::new(spawner, &direct).run(&options).await;
    let through = Load::new(spawner, &fleet.caller_addresses())
        .run(&options)
        .await;
    (
        through.p50_ms - straight.p50_ms,
        through.p99_ms - straight.p99_ms,
    )
}

type Counters = (BTreeMap<u16, u64>, BTreeMap<&'static str, u64>);

fn counters(fleet: &Fleet) -> Counters {
    let mut refusals = BTreeMap::new();
    let mut retries = BTreeMap::new();
    let reasons = [
        RetryReason::NotSent,
        RetryReason::RefusedBeforeRunning,
        RetryReason::InDoubt,
    ];
    for running in fleet.boxes.iter().flatten() {
        for code in ResultCode::ALL {
            let count = running.metrics().refused(code);
            if count > 0 {
                *refusals.entry(code.number()).or_default() += count;
            }
        }
        for reason in reasons {
            let count = running.metrics().retried(reason);
            *retries.entry(reason.as_str()).or_default() += count;
        }
    }
    (refusals, retries)
}
