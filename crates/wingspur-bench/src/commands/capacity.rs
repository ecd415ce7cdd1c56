//! Command `capacity`: measures how resource use grows with size, and writes the capacity
//! page.

use std::process::ExitCode;

use wingspur_bench::{
    CapacityReport, measure_claims, measure_decisions, measure_price, measure_processes,
    render_page,
};
use wingspur_transport::Workers;

use super::write_json;
use crate::args::CapacityArgs;

/// Measures, or reads earlier figures from a file, and writes the page.
pub fn capacity(args: &CapacityArgs, workers: &Workers) -> Result<ExitCode, String> {
    let mut report = match &args.from {
        Some(path) => {
            let text =
                std::fs::read_to_string(path).map_err(|error| error.to_string())?;
            serde_json::from_str(&text).map_err(|error| error.to_string())?
        }
        None => smol::block_on(measure_capacity(workers))?,
    };
    if args.price {
        report.price =
            smol::block_on(measure_price(PRICE_RATES_PER_S, &workers.spawner()))?;
    }
    write_json(args.json.as_deref(), &report)?;
    let page = render_page(&report);
    match &args.page {
        Some(path) => std::fs::write(path, page).map_err(|error| error.to_string())?,
        None => println!("{page}"),
    }
    Ok(ExitCode::SUCCESS)
}

async fn measure_capacity(workers: &Workers) -> Result<CapacityReport, String> {
    let spawner = workers.spawner();
    Ok(CapacityReport {
        decisions: measure_decisions()?,
        processes: measure_processes(FLEET_SIZES, &spawner).await?,
        claims: measure_claims(CLAIM_RATES_PER_S, &spawner).await?,
        price: measure_price(PRICE_RATES_PER_S, &spawner).await?,
    })
}

/// Numbers of boxes of the measured fleets.
const FLEET_SIZES: &[usize] = &[5, 10, 20, 40, 80];
/// Rates at which the cost of the request path is measured.
const PRICE_RATES_PER_S: &[f64] = &[500.0, 2_000.0, 4_000.0, 8_000.0, 12_000.0];
/// Rates at which once-only requests are measured.
const CLAIM_RATES_PER_S: &[f64] = &[100.0, 1_000.0, 5_000.0];
