//! Real `wingspur` processes, measured by the operating system's own accounting.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use wingspur_edge::Settings;
use wingspur_protocol::BoxStatus;
use wingspur_state::RouteClass;
use wingspur_transport::{FaultInjector, HttpClient, Spawner};

use crate::{Fleet, FleetPlan, Load, LoadOptions, RequestKind, ServerPlan, zagreb};

/// A fleet of real processes of one size; figures are means over its boxes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProcessRow {
    /// Boxes.
    pub boxes: usize,
    /// Resident memory, in bytes.
    pub resident_bytes: f64,
    /// Share of a core without any request, in percent.
    pub idle_core_percent: f64,
    /// The same for the busiest box.
    pub idle_core_percent_most: f64,
    /// Exchanges begun a second without any request, to peers and the box list.
    pub peer_calls_per_s: f64,
    /// Bytes a second in and out, heads reckoned in.
    pub control_bytes_per_s: f64,
    /// Calls a second to the store, all boxes together.
    pub store_calls_per_s: f64,
    /// Watches that wait at the store.
    pub store_watches: usize,
    /// Requests a second for one box under load.
    pub load_per_box_s: f64,
    /// Processor time of one request in a box, in microseconds.
    pub request_core_us: f64,
    /// Exchanges begun a second under load.
    pub busy_peer_calls_per_s: f64,
    /// Bytes a second in and out under load.
    pub busy_control_bytes_per_s: f64,
    /// From acceptance of a bundle to in force on the last box, in milliseconds.
    pub in_force_ms: f64,
}

/// Once-only requests at one rate.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Requests a second.
    pub rate_per_s: f64,
    /// Answered.
    pub answered: u64,
    /// Refused.
    pub refused: u64,
    /// Latency, in milliseconds, claim and work together.
    pub p50_ms: f64,
    /// As above.
    pub p99_ms: f64,
    /// Writes at the store for each request.
    pub writes_per_request: f64,
    /// Writes a second at the store.
    pub writes_per_s: f64,
}

/// Starts fleets of real processes of each size and measures them.
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
pub async fn measure_claims(
    rates: &[f64],
    spawner: &Spawner,
) -> Result<Vec<ClaimRow>, String> {
    let mut plan = quick_servers(zagreb(12));
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
    // The first load opens the shards.
    let mix = vec![(kind, 1.0)];
    let seconds = Duration::from_secs;
    let warm = LoadOptions {
        rate_per_s: 50.0,
        duration: seconds(2),
        mix: mix.clone(),
    };
    load.run(&warm).await;
    for rate in rates {
        let options = LoadOptions {
            rate_per_s: *rate,
            duration: seconds(5),
            mix: mix.clone(),
        };
        let before = writes(&fleet);
        let report = load.run(&options).await;
        smol::Timer::after(Duration::from_millis(300)).await;
        let written = (writes(&fleet) - before) as f64;
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

/// The processes of one fleet; they end when this is dropped.
#[derive(Debug)]
pub struct BoxProcesses {
    children: Vec<Child>,
    folder: PathBuf,
}

impl Drop for BoxProcesses {
    fn drop(&mut self) {
        for child in &mut self.children {
            // A child that has ended already is as good.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// What the operating system and the boxes had counted at one time.
#[derive(Debug, Clone, Default)]
struct Counts {
    cores_s: Vec<f64>,
    peer_calls: f64,
    peer_bytes: f64,
    store_calls: f64,
}

async fn measure_size(boxes: usize, spawner: &Spawner) -> Result<ProcessRow, String> {
    let mut plan = quick_servers(zagreb(boxes));
    plan.services
        .retain(|service| service.class == RouteClass::Read);
    let mut fleet = Fleet::prepare(plan, spawner).await?;
    let processes = start_processes(&fleet, spawner).await?;
    let exchange = HttpClient::new(spawner.clone(), FaultInjector::default());
    smol::Timer::after(SETTLE).await;
    let at_rest = measure(&fleet, &processes, &exchange, MEASURE).await?;
    let load = Load::new(spawner, &fleet.caller_addresses());
    let rate_per_s = LOAD_PER_BOX * boxes as f64;
    let kind = RequestKind::new("GET", "/exam/page/7");
    let options = LoadOptions {
        rate_per_s,
        duration: MEASURE,
        mix: vec![(kind, 1.0)],
    };
    let (busy, report) = futures_lite::future::zip(
        measure(&fleet, &processes, &exchange, MEASURE),
        load.run(&options),
    )
    .await;
    let busy = busy?;
    let in_force_ms = measure_spread(&mut fleet, &exchange).await?;
    let seconds = MEASURE.as_secs_f64();
    let count = boxes as f64;
    let idle: Vec<f64> = at_rest
        .cores_s
        .iter()
        .map(|s| s / seconds * 100.0)
        .collect();
    let busy_cores: f64 = busy.cores_s.iter().sum();
    let rest_cores: f64 = at_rest.cores_s.iter().sum();
    Ok(ProcessRow {
        boxes,
        resident_bytes: resident(&processes) / count,
        idle_core_percent: idle.iter().sum::<f64>() / count,
        idle_core_percent_most: idle.iter().copied().fold(0.0, f64::max),
        peer_calls_per_s: at_rest.peer_calls / seconds / count,
        control_bytes_per_s: at_rest.peer_bytes / seconds / count,
        store_calls_per_s: at_rest.store_calls / seconds,
        store_watches: fleet.store.open_watches(),
        load_per_box_s: LOAD_PER_BOX,
        request_core_us: (busy_cores - rest_cores) * 1e6 / report.sent.max(1) as f64,
        busy_peer_calls_per_s: busy.peer_calls / seconds / count,
        busy_control_bytes_per_s: busy.peer_bytes / seconds / count,
        in_force_ms,
    })
}

impl BoxProcesses {
    /// User and system time of all processes together, in seconds.
    pub fn processor_seconds(&self) -> Result<f64, String> {
        self.children
            .iter()
            .map(|child| processor_seconds(child.id()))
            .sum()
    }
}

/// Starts a prepared fleet's boxes as processes, and waits until all are ready.
pub async fn start_processes(
    fleet: &Fleet,
    spawner: &Spawner,
) -> Result<BoxProcesses, String> {
    let processes = start(fleet)?;
    let exchange = HttpClient::new(spawner.clone(), FaultInjector::default());
    wait_ready(fleet, &exchange).await?;
    Ok(processes)
}

fn start(fleet: &Fleet) -> Result<BoxProcesses, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let binary = own.with_file_name("wingspur");
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
        let child = start_one(&binary, settings, &processes.folder)?;
        processes.children.push(child);
    }
    Ok(processes)
}

fn start_one(binary: &Path, settings: &Settings, folder: &Path) -> Result<Child, String> {
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

async fn wait_ready(fleet: &Fleet, exchange: &HttpClient) -> Result<(), String> {
    let end = Instant::now() + READY_PATIENCE;
    for settings in fleet.settings() {
        let address = settings.operator_address;
        while exchange.get(address, "/ready", TIMEOUT).await.is_err() {
            if Instant::now() >= end {
                return Err(format!("{} did not get ready", settings.box_id));
            }
            smol::Timer::after(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

async fn measure(
    fleet: &Fleet,
    processes: &BoxProcesses,
    exchange: &HttpClient,
    time: Duration,
) -> Result<Counts, String> {
    let before = count(fleet, processes, exchange).await?;
    smol::Timer::after(time).await;
    let after = count(fleet, processes, exchange).await?;
    let cores = after.cores_s.iter().zip(&before.cores_s);
    Ok(Counts {
        cores_s: cores.map(|(after, before)| after - before).collect(),
        peer_calls: after.peer_calls - before.peer_calls,
        peer_bytes: after.peer_bytes - before.peer_bytes,
        store_calls: after.store_calls - before.store_calls,
    })
}

async fn count(
    fleet: &Fleet,
    processes: &BoxProcesses,
    exchange: &HttpClient,
) -> Result<Counts, String> {
    let mut counts = Counts::default();
    for child in &processes.children {
        counts.cores_s.push(processor_seconds(child.id())?);
    }
    for settings in fleet.settings() {
        let got = exchange
            .get(settings.operator_address, "/metrics", TIMEOUT)
            .await;
        let text = got.map_err(|error| error.to_string())?;
        let text = String::from_utf8_lossy(&text).into_owned();
        let value = |kind: &str| {
            let name = format!("wingspur_exchanges{{kind=\"{kind}\",part=\"peers\"}} ");
            let line = text.lines().find_map(|line| line.strip_prefix(&name));
            line.and_then(|value| value.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        let calls = value("calls");
        counts.peer_calls += calls;
        // Each exchange is begun by one box and answered by another: over the fleet a
        // box has as many bytes as a server as it has as a client.
        let bodies = value("sent_bytes") + value("received_bytes");
        counts.peer_bytes += 2.0 * (bodies + calls * HEAD_BYTES);
    }
    counts.store_calls = fleet.store.calls().values().sum::<u64>() as f64;
    Ok(counts)
}

/// User and system time of a process, from `/proc`.
fn processor_seconds(process: u32) -> Result<f64, String> {
    let path = format!("/proc/{process}/stat");
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    let after_name = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks =
        |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    let (user, system) = (ticks(11), ticks(12));
    Ok((user.unwrap_or(0.0) + system.unwrap_or(0.0)) / TICKS_PER_S)
}

fn resident(processes: &BoxProcesses) -> f64 {
    let of = |child: &Child| {
        let path = format!("/proc/{}/status", child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib =
            line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
        kib.unwrap_or(0.0) * 1024.0
    };
    processes.children.iter().map(of).sum()
}

/// Accepts a bundle, and asks every box afterwards since when it is in force.
async fn measure_spread(fleet: &mut Fleet, exchange: &HttpClient) -> Result<f64, String> {
    let mut slowest: f64 = 0.0;
    for _ in 0..SPREADS {
        let version = fleet.publish_next(|_| {}).await?;
        let accepted = Instant::now();
        smol::Timer::after(Duration::from_secs(2)).await;
        for settings in fleet.settings() {
            let got = exchange
                .get(settings.operator_address, "/status", TIMEOUT)
                .await;
            let passed_ms = accepted.elapsed().as_secs_f64() * 1000.0;
            let got = got.map_err(|error| error.to_string())?;
            let status: BoxStatus =
                serde_json::from_slice(&got).map_err(|error| error.to_string())?;
            let took = match status.bundle_version == version {
                true => passed_ms - status.in_force_ms as f64,
                false => f64::INFINITY,
            };
            slowest = slowest.max(took);
        }
    }
    Ok(slowest)
}

/// Servers that take next to no time, so that what is measured is the boxes.
fn quick_servers(mut plan: FleetPlan) -> FleetPlan {
    for service in &mut plan.services {
        service.server = ServerPlan {
            slots: 64,
            median_ms: 0.5,
            deviation_ln: 0.2,
        };
    }
    plan
}

fn writes(fleet: &Fleet) -> u64 {
    fleet.store.calls().get("txn").copied().unwrap_or(0)
}

const SETTLE: Duration = Duration::from_secs(4);
const MEASURE: Duration = Duration::from_secs(8);
const READY_PATIENCE: Duration = Duration::from_secs(60);
const TIMEOUT: Duration = Duration::from_secs(3);
const LOAD_PER_BOX: f64 = 20.0;
const SPREADS: usize = 3;
/// Heads of a request and its reply on the wire, as our clients and servers write them.
const HEAD_BYTES: f64 = 165.0;
/// The unit of `/proc/PID/stat` on Linux.
const TICKS_PER_S: f64 = 100.0;
