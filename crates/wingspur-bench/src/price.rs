//! Measures the cost of the request path: one box process at given rates, compared with
//! requests sent directly to the servers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wingspur_transport::Spawner;

use crate::capacity::{BoxProcesses, start_processes};
use crate::{Fleet, Load, LoadOptions, RequestKind, ServerPlan, zagreb};

/// The measurements at one rate, through the box and directly to the servers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PriceRow {
    /// Requests to send per second.
    pub rate_per_s: f64,
    /// Requests through the box with a complete response of a backend server below status
    /// 500.
    pub answered: u64,
    /// Processor time of the box per request sent, in microseconds.
    pub core_us: f64,
    /// The 50th, 99th and 99.9th percentile of the latency through the box, in
    /// milliseconds.
    pub through_ms: [f64; 3],
    /// The same percentiles for requests sent directly to the servers.
    pub direct_ms: [f64; 3],
}

/// Measures one box of two worker threads at each rate.
pub async fn measure_price(
    rates: &[f64],
    spawner: &Spawner,
) -> Result<Vec<PriceRow>, String> {
    let mut plan = zagreb(1);
    plan.services.truncate(1);
    plan.services[0].servers = 4;
    plan.services[0].server = ServerPlan {
        slots: 512,
        median_ms: 0.2,
        deviation_ln: 0.1,
    };
    let mut fleet = Fleet::prepare(plan, spawner).await?;
    let version = fleet
        .publish_next(|bundle| {
            bundle.services[0].limits.concurrency = 4096;
            bundle.services[0].limits.queue = 4096;
        })
        .await?;
    let processes = start_processes(&fleet, spawner).await?;
    let servers: Vec<_> = fleet.servers[0]
        .iter()
        .map(|server| server.address())
        .collect();
    let through = Load::new(spawner, &fleet.caller_addresses());
    let direct = Load::new(spawner, &servers);
    through.run(&options(200.0, Duration::from_secs(2))).await;
    let mut rows = Vec::new();
    for rate in rates {
        rows.push(measure_rate(*rate, &through, &direct, &processes).await?);
    }
    tracing::debug!("price: measured with bundle version {version}.");
    Ok(rows)
}

async fn measure_rate(
    rate: f64,
    through: &Load,
    direct: &Load,
    processes: &BoxProcesses,
) -> Result<PriceRow, String> {
    let options = options(rate, Duration::from_secs(4));
    let direct_report = direct.run(&options).await;
    let processor_s_before = processes.processor_seconds()?;
    let through_report = through.run(&options).await;
    let processor_s = processes.processor_seconds()? - processor_s_before;
    Ok(PriceRow {
        rate_per_s: rate,
        answered: through_report.answered,
        core_us: processor_s * 1e6 / through_report.sent.max(1) as f64,
        through_ms: [
            through_report.p50_ms,
            through_report.p99_ms,
            through_report.p999_ms,
        ],
        direct_ms: [
            direct_report.p50_ms,
            direct_report.p99_ms,
            direct_report.p999_ms,
        ],
    })
}

fn options(rate_per_s: f64, duration: Duration) -> LoadOptions {
    let kind = RequestKind::new("GET", "/exam/page/7");
    LoadOptions {
        rate_per_s,
        duration,
        mix: vec![(kind, 1.0)],
    }
}
