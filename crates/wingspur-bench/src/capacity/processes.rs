//! Starts real `wingspur` processes and measures their resource use with the operating
//! system's accounting.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use wingspur_edge::Settings;
use wingspur_protocol::BoxStatus;
use wingspur_state::RouteClass;
use wingspur_transport::{FaultInjector, HttpClient, Spawner};

use crate::{Fleet, FleetPlan, Load, LoadOptions, RequestKind, ServerPlan, zagreb};

/// Measurements of a fleet of real processes; figures are means over its boxes
/// unless said otherwise.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProcessRow {
    /// Number of boxes.
    pub boxes: usize,
    /// Resident memory of a box, in bytes.
    pub resident_bytes: f64,
    /// Processor time without any request, in percent of a core.
    pub idle_core_percent: f64,
    /// The same for the box that uses most.
    pub idle_core_percent_most: f64,
    /// Calls per second that a box makes to peers and the box list, without any request.
    pub peer_calls_per_s: f64,
    /// Bytes per second received and sent in these calls, headers estimated.
    pub control_bytes_per_s: f64,
    /// Calls per second to the store, summed over all boxes.
    pub store_calls_per_s: f64,
    /// Number of open watches at the store, over all boxes.
    pub store_watches: usize,
    /// Requests per second and box while under load.
    pub load_per_box_s: f64,
    /// Processor time that a box spends on one request, in microseconds.
    pub request_core_us: f64,
    /// The same as `peer_calls_per_s`, under load.
    pub busy_peer_calls_per_s: f64,
    /// The same as `control_bytes_per_s`, under load.
    pub busy_control_bytes_per_s: f64,
    /// Longest time from acceptance of a bundle until it is active on the last box, in
    /// milliseconds. Infinite if a box did not activate it.
    pub in_force_ms: f64,
}

/// Measurements of once-only requests at one rate.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Number of requests answered by a server without an error.
    pub answered: u64,
    /// Number of requests refused by a box.
    pub refused: u64,
    /// Median latency in milliseconds, for the claim and the work together.
    pub p50_ms: f64,
    /// 99th percentile of the same latency.
    pub p99_ms: f64,
    /// Store writes for each request.
    pub writes_per_request: f64,
    /// Store writes per second.
    pub writes_per_s: f64,
}

/// Starts a fleet of real processes of each size, one after another, and measures it.
///
/// Sizes are numbers of boxes. Fails if a fleet cannot be started or a box does not
/// answer.
pub async fn measure_processes(
    sizes: &[usize],
    spawner: &Spawner,
) -> Result<Vec<ProcessRow>, String> {
    let mut rows = Vec::new();
    for size in sizes {
        rows.push(measure_size(*size, spawner).await?);
    }
    Ok(rows)
}

/// Sends once-only load at each rate to a fleet of twelve boxes in this process.
///
/// Rates are in requests per second. Fails if the fleet cannot be started.
pub async fn measure_claims(
    rates: &[f64],
    spawner: &Spawner,
) -> Result<Vec<ClaimRow>, String> {
    let mut plan = with_fast_servers(zagreb(12));
    plan.services
        .retain(|service| service.class == RouteClass::OnceOnly);
    let fleet = Fleet::start(plan, spawner).await?;
    let load = Load::new(spawner, &fleet.caller_addresses());
    let kind = RequestKind {
        method: "POST",
        path: "/submit/9",
        once_only_repeats: Some(0.0),
        answer_bytes: None,
    };
    let mut rows = Vec::new();
    // The warm-up load makes the boxes open the shards before measuring.
    let mix = vec![(kind, 1.0)];
    let seconds = Duration::from_secs;
    let warmup = LoadOptions {
        rate_per_s: 50.0,
        duration: seconds(2),
        mix: mix.clone(),
    };
    load.run(&warmup).await;
    for rate in rates {
        let options = LoadOptions {
            rate_per_s: *rate,
            duration: seconds(5),
            mix: mix.clone(),
        };
        let before = store_writes(&fleet);
        let report = load.run(&options).await;
        smol::Timer::after(Duration::from_millis(300)).await;
        let written = (store_writes(&fleet) - before) as f64;
        rows.push(ClaimRow {
            rate_per_s: *rate,
            answered: report.answered,
            refused: report.refused.values().sum(),
            p50_ms: report.p50_ms,
            p99_ms: report.p99_ms,
            writes_per_request: written / report.sent as f64,
            writes_per_s: written / 5.0,
        });
    }
    fleet.close().await;
    Ok(rows)
}

/// Processes of one fleet.
///
/// Dropping it kills the processes and removes the folder with their settings.
#[derive(Debug)]
pub struct BoxProcesses {
    children: Vec<Child>,
    folder: PathBuf,
}

impl Drop for BoxProcesses {
    fn drop(&mut self) {
        for child in &mut self.children {
            // Errors are ignored: the child may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Counters of the operating system, the boxes and the store, as totals at one time or as
/// the increase between two times.
#[derive(Debug, Clone, Default)]
struct Counts {
    /// Processor time of each box, in seconds.
    core_s: Vec<f64>,
    peer_calls: f64,
    peer_bytes: f64,
    store_calls: f64,
}

async fn measure_size(boxes: usize, spawner: &Spawner) -> Result<ProcessRow, String> {
    let mut plan = with_fast_servers(zagreb(boxes));
    plan.services
        .retain(|service| service.class == RouteClass::Read);
    let mut fleet = Fleet::prepare(plan, spawner).await?;
    let processes = start_processes(&fleet, spawner).await?;
    let client = HttpClient::new(spawner.clone(), FaultInjector::default());
    smol::Timer::after(SETTLING_TIME).await;
    let idle_counts = measure_counts(&fleet, &processes, &client, MEASURING_TIME).await?;
    let load = Load::new(spawner, &fleet.caller_addresses());
    let rate_per_s = REQUESTS_PER_S_PER_BOX * boxes as f64;
    let kind = RequestKind::new("GET", "/exam/page/7");
    let options = LoadOptions {
        rate_per_s,
        duration: MEASURING_TIME,
        mix: vec![(kind, 1.0)],
    };
    let (busy_counts, report) = futures_lite::future::zip(
        measure_counts(&fleet, &processes, &client, MEASURING_TIME),
        load.run(&options),
    )
    .await;
    let busy_counts = busy_counts?;
    let in_force_ms = measure_activation(&mut fleet, &client).await?;
    let seconds = MEASURING_TIME.as_secs_f64();
    let box_count = boxes as f64;
    let idle_percents: Vec<f64> = idle_counts
        .core_s
        .iter()
        .map(|s| s / seconds * 100.0)
        .collect();
    let busy_core_s: f64 = busy_counts.core_s.iter().sum();
    let idle_core_s: f64 = idle_counts.core_s.iter().sum();
    Ok(ProcessRow {
        boxes,
        resident_bytes: total_resident_bytes(&processes) / box_count,
        idle_core_percent: idle_percents.iter().sum::<f64>() / box_count,
        idle_core_percent_most: idle_percents.iter().copied().fold(0.0, f64::max),
        peer_calls_per_s: idle_counts.peer_calls / seconds / box_count,
        control_bytes_per_s: idle_counts.peer_bytes / seconds / box_count,
        store_calls_per_s: idle_counts.store_calls / seconds,
        store_watches: fleet.store.open_watches(),
        load_per_box_s: REQUESTS_PER_S_PER_BOX,
        request_core_us: (busy_core_s - idle_core_s) * 1e6 / report.sent.max(1) as f64,
        busy_peer_calls_per_s: busy_counts.peer_calls / seconds / box_count,
        busy_control_bytes_per_s: busy_counts.peer_bytes / seconds / box_count,
        in_force_ms,
    })
}

impl BoxProcesses {
    /// Returns the user and system time of all processes together, in seconds.
    ///
    /// Fails if a process has no entry in `/proc`.
    pub fn processor_seconds(&self) -> Result<f64, String> {
        self.children
            .iter()
            .map(|child| process_cpu_seconds(child.id()))
            .sum()
    }
}

/// Starts a prepared fleet's boxes as processes, and waits until all are ready.
///
/// Fails if the `wingspur` program is missing, or a box is not ready in time.
pub async fn start_processes(
    fleet: &Fleet,
    spawner: &Spawner,
) -> Result<BoxProcesses, String> {
    let processes = spawn_boxes(fleet)?;
    let client = HttpClient::new(spawner.clone(), FaultInjector::default());
    wait_ready(fleet, &client).await?;
    Ok(processes)
}

fn spawn_boxes(fleet: &Fleet) -> Result<BoxProcesses, String> {
    let current_exe = std::env::current_exe().map_err(|error| error.to_string())?;
    let binary = current_exe.with_file_name("wingspur");
    if !binary.exists() {
        return Err(
            "no `wingspur` beside this program; build the workspace first".into(),
        );
    }
    let folder = std::env::temp_dir().join(format!("wingspur-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
    let mut processes = BoxProcesses {
        children: Vec::new(),
        folder,
    };
    for settings in fleet.settings() {
        let child = spawn_box(&binary, settings, &processes.folder)?;
        processes.children.push(child);
    }
    Ok(processes)
}

fn spawn_box(binary: &Path, settings: &Settings, folder: &Path) -> Result<Child, String> {
    let path = folder.join(format!("{}.json", settings.box_id));
    let text = serde_json::to_string(settings).map_err(|error| error.to_string())?;
    std::fs::write(&path, text).map_err(|error| error.to_string())?;
    let child = Command::new(binary)
        .arg("run")
        .arg(&path)
        .stderr(Stdio::null())
        .spawn();
    child.map_err(|error| error.to_string())
}

async fn wait_ready(fleet: &Fleet, client: &HttpClient) -> Result<(), String> {
    let end = Instant::now() + READY_TIMEOUT;
    for settings in fleet.settings() {
        let address = settings.operator_address;
        while client.get(address, "/ready", CLIENT_TIMEOUT).await.is_err() {
            if Instant::now() >= end {
                return Err(format!(
                    "box {} did not become ready within {READY_TIMEOUT:?}",
                    settings.box_id
                ));
            }
            smol::Timer::after(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

async fn measure_counts(
    fleet: &Fleet,
    processes: &BoxProcesses,
    client: &HttpClient,
    time: Duration,
) -> Result<Counts, String> {
    let before = read_counts(fleet, processes, client).await?;
    smol::Timer::after(time).await;
    let after = read_counts(fleet, processes, client).await?;
    let core_times = after.core_s.iter().zip(&before.core_s);
    Ok(Counts {
        core_s: core_times.map(|(after, before)| after - before).collect(),
        peer_calls: after.peer_calls - before.peer_calls,
        peer_bytes: after.peer_bytes - before.peer_bytes,
        store_calls: after.store_calls - before.store_calls,
    })
}

async fn read_counts(
    fleet: &Fleet,
    processes: &BoxProcesses,
    client: &HttpClient,
) -> Result<Counts, String> {
    let mut counts = Counts::default();
    for child in &processes.children {
        counts.core_s.push(process_cpu_seconds(child.id())?);
    }
    for settings in fleet.settings() {
        let response = client
            .get(settings.operator_address, "/metrics", CLIENT_TIMEOUT)
            .await;
        let text = response.map_err(|error| error.to_string())?;
        let text = String::from_utf8_lossy(&text).into_owned();
        let value = |kind: &str| {
            let name = format!("wingspur_exchanges{{kind=\"{kind}\",part=\"peers\"}} ");
            let line = text.lines().find_map(|line| line.strip_prefix(&name));
            line.and_then(|value| value.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        let calls = value("calls");
        counts.peer_calls += calls;
        // A box counts only the calls that it makes. Each call is answered by another
        // box, so over the fleet the bytes as a server equal those as a client: factor 2.
        let bodies = value("sent_bytes") + value("received_bytes");
        counts.peer_bytes += 2.0 * (bodies + calls * HEADER_BYTES);
    }
    counts.store_calls = fleet.store.calls().values().sum::<u64>() as f64;
    Ok(counts)
}

/// Returns the user and system time of a process in seconds, from `/proc`.
fn process_cpu_seconds(process: u32) -> Result<f64, String> {
    let path = format!("/proc/{process}/stat");
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    let after_name = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks =
        |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    let (user, system) = (ticks(11), ticks(12));
    Ok((user.unwrap_or(0.0) + system.unwrap_or(0.0)) / TICKS_PER_S)
}

fn total_resident_bytes(processes: &BoxProcesses) -> f64 {
    let resident_bytes = |child: &Child| {
        let path = format!("/proc/{}/status", child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib =
            line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
        kib.unwrap_or(0.0) * 1024.0
    };
    processes.children.iter().map(resident_bytes).sum()
}

/// Publishes bundles, and asks every box afterwards for how long each has been active.
///
/// Returns the longest activation time of all rounds and boxes, in milliseconds.
async fn measure_activation(
    fleet: &mut Fleet,
    client: &HttpClient,
) -> Result<f64, String> {
    let mut slowest: f64 = 0.0;
    for _ in 0..ACTIVATION_ROUNDS {
        let version = fleet.publish_next(|_| {}).await?;
        let accepted = Instant::now();
        smol::Timer::after(Duration::from_secs(2)).await;
        for settings in fleet.settings() {
            let response = client
                .get(settings.operator_address, "/status", CLIENT_TIMEOUT)
                .await;
            let elapsed_ms = accepted.elapsed().as_secs_f64() * 1000.0;
            let response = response.map_err(|error| error.to_string())?;
            let status: BoxStatus =
                serde_json::from_slice(&response).map_err(|error| error.to_string())?;
            let activation_ms = match status.bundle_version == version {
                true => elapsed_ms - status.in_force_ms as f64,
                false => f64::INFINITY,
            };
            slowest = slowest.max(activation_ms);
        }
    }
    Ok(slowest)
}

/// Replaces the servers by ones that take almost no time, so that the boxes dominate what
/// is measured.
fn with_fast_servers(mut plan: FleetPlan) -> FleetPlan {
    for service in &mut plan.services {
        service.server = ServerPlan {
            slots: 64,
            median_ms: 0.5,
            deviation_ln: 0.2,
        };
    }
    plan
}

fn store_writes(fleet: &Fleet) -> u64 {
    fleet.store.calls().get("txn").copied().unwrap_or(0)
}

/// Wait after all boxes are ready, before measuring.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Duration of each measurement, idle and under load.
const MEASURING_TIME: Duration = Duration::from_secs(8);
/// Limit for all boxes of a fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout of a call to a box's operator endpoint.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
const REQUESTS_PER_S_PER_BOX: f64 = 20.0;
/// Number of bundles published to measure activation.
const ACTIVATION_ROUNDS: usize = 3;
/// Headers of a request and its response on the wire, as the project's HTTP clients and
/// servers write them.
const HEADER_BYTES: f64 = 165.0;
/// Clock ticks per second, the unit of times in `/proc/PID/stat` on Linux.
const TICKS_PER_S: f64 = 100.0;
