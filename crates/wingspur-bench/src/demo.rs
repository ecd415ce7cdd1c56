//! The demonstration: a small deployment under load while one server has a gray failure
//! (its work stalls, its health answers stay good).

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use serde::Serialize;
use wingspur_protocol::ResultCode;
use wingspur_state::RetryReason;
use wingspur_transport::Spawner;

use crate::{Fleet, Gray, Load, LoadOptions, LoadReport, RequestKind, small_zagreb};

/// Size and load of a demonstration.
#[derive(Debug, Clone, Copy)]
pub struct DemoOptions {
    /// Number of boxes.
    pub boxes: usize,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Requests per second.
    pub rate_per_s: f64,
}

/// Measured results of a demonstration.
#[derive(Debug, Clone, Serialize)]
pub struct DemoReport {
    /// Results as the callers saw them.
    pub load: LoadReport,
    /// Refusals by result code, summed over the counters of all boxes.
    pub refusals: BTreeMap<u16, u64>,
    /// Retries by reason, summed over the counters of all boxes.
    pub retries: BTreeMap<&'static str, u64>,
    /// Time from the onset of the fault until all boxes restrict the faulty server, in
    /// milliseconds. `None` if that did not happen during the load.
    pub detection_ms: Option<f64>,
    /// Number of servers that any box restricted while they were healthy.
    pub false_ejections: usize,
    /// Number of once-only operations that ran more than once.
    pub duplicates: usize,
    /// Number of once-only operations that were reported as not run, but ran.
    pub false_not_run: usize,
    /// Number of requests interrupted by the planned stop of all boxes.
    pub cut_by_stop: usize,
    /// Median latency through a box minus the median latency directly to the servers, in
    /// milliseconds.
    pub added_p50_ms: f64,
    /// 99th percentile of latency through a box minus the one directly to the servers, in
    /// milliseconds.
    pub added_p99_ms: f64,
}

impl DemoReport {
    /// Returns a description of each guarantee that was violated.
    pub fn broken_promises(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let mut expect = |holds: bool, text: &str| {
            if !holds {
                violations.push(text.to_owned());
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
        violations
    }
}

/// Starts the deployment, runs the load with a stalling server, and reports the results.
///
/// Fails if the deployment cannot be started.
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
    let load_generator = Load::new(spawner, &fleet.caller_addresses());
    let faulty = &fleet.servers[0][1];
    let faulty_name = format!("{}-01", fleet.plan().services[0].name);
    let monitoring = monitor_ejections(&fleet, faulty, &faulty_name, duration);
    let (report, (detection_ms, false_ejections)) =
        futures_lite::future::zip(load_generator.run(&load), monitoring).await;
    faulty.set_gray(Gray::Well);
    let (added_p50_ms, added_p99_ms) = measure_added_latency(&fleet, spawner).await;
    let (refusals, retries) = sum_counters(&fleet);
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

/// Makes the server stall after a third of the load, and checks every 10 ms which servers
/// the boxes restrict.
///
/// Returns the detection time in milliseconds and the number of falsely restricted
/// servers.
async fn monitor_ejections(
    fleet: &Fleet,
    faulty: &crate::BackendStandIn,
    faulty_name: &str,
    duration: Duration,
) -> (Option<f64>, usize) {
    let end = Instant::now() + duration;
    let onset = Instant::now() + duration / 3;
    let faulty_path = format!("{}/{faulty_name}", fleet.plan().services[0].name);
    let mut detected = None;
    let mut falsely_restricted: HashSet<String> = HashSet::new();
    let mut stalled = false;
    while Instant::now() < end {
        smol::Timer::after(Duration::from_millis(10)).await;
        if !stalled && Instant::now() >= onset {
            faulty.set_gray(Gray::Stall);
            stalled = true;
        }
        let restricted: Vec<Vec<String>> = fleet
            .boxes
            .iter()
            .flatten()
            .map(|running| running.restricted_servers())
            .collect();
        for name in restricted.iter().flatten() {
            if *name != faulty_path || !stalled {
                falsely_restricted.insert(name.clone());
            }
        }
        let restricted_by_all =
            restricted.iter().all(|names| names.contains(&faulty_path));
        if stalled && restricted_by_all && detected.is_none() {
            detected = Some(onset.elapsed().as_secs_f64() * 1000.0);
        }
    }
    (detected, falsely_restricted.len())
}

/// Sends the same light load first directly to the servers and then through the boxes.
///
/// Returns the differences of the median and of the 99th percentile, in milliseconds.
async fn measure_added_latency(fleet: &Fleet, spawner: &Spawner) -> (f64, f64) {
    let options = LoadOptions {
        rate_per_s: 200.0,
        duration: Duration::from_secs(2),
        mix: vec![(RequestKind::new("GET", "/exam/page/7"), 1.0)],
    };
    let server_addresses: Vec<_> = fleet.servers[0]
        .iter()
        .map(|server| server.address())
        .collect();
    let direct = Load::new(spawner, &server_addresses).run(&options).await;
    let proxied = Load::new(spawner, &fleet.caller_addresses())
        .run(&options)
        .await;
    (
        proxied.p50_ms - direct.p50_ms,
        proxied.p99_ms - direct.p99_ms,
    )
}

type Counters = (BTreeMap<u16, u64>, BTreeMap<&'static str, u64>);

fn sum_counters(fleet: &Fleet) -> Counters {
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
