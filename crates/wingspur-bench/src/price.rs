//! The price of the request path: one real box at rising rates, beside going direct.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wingspur_transport::Spawner;

use crate::capacity::{BoxProcesses, start_processes};
use crate::{Fleet, Load, LoadOptions, RequestKind, ServerPlan, zagreb};

/// One rate, through the box and direct.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PriceRow {
    /// Requests asked for in a second.
    pub rate_per_s: f64,
    /// Answered through the box.
    pub answered: u64,
    /// Processor time of one request in the box, in microseconds.
    pub core_us: f64,
    /// Latency through the box at 50, 99 and 99.9 %, in milliseconds.
    pub through_ms: [f64; 3],
    /// Latency direct to the servers, likewise.
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
    tracing::debug!("price: measured with version {version}.");
    Ok(rows)
}

async fn measure_rate(
    rate: f64,
    through: &Load,
    direct: &Load,
    processes: &BoxProcesses,
) -> Result<PriceRow, String> {
    let options = options(rate, Duration::from_secs(4));
    let straight = direct.run(&options).await;
    let before = processes.processor_seconds()?;
    let passed = through.run(&options).await;
    let spent = processes.processor_seconds()? - before;
    Ok(PriceRow {
        rate_per_s: rate,
        answered: passed.answered,
        core_us: spent * 1e6 / passed.sent.max(1) as f64,
        through_ms: [passed.p50_ms, passed.p99_ms, passed.p999_ms],
        direct_ms: [straight.p50_ms, straight.p99_ms, straight.p999_ms],
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
