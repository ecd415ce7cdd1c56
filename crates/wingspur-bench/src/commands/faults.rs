//! Command `faults`: once-only load and bundle updates while the store, boxes and servers
//! fail.

use std::process::ExitCode;

use wingspur_bench::{FaultOptions, FaultRow, run_faults};
use wingspur_transport::Workers;

use super::write_json;
use crate::args::FaultsArgs;

/// Runs the table of faults and prints a row for each.
///
/// The exit code is a failure if an operation ran twice, an operation was falsely
/// reported as not run, or a box went back to an older bundle.
pub fn faults(args: &FaultsArgs, workers: &Workers) -> Result<ExitCode, String> {
    let options = FaultOptions {
        rounds: args.rounds,
        boxes: args.boxes,
        rate_per_s: args.rate,
        seconds: args.seconds,
    };
    let rows = smol::block_on(run_faults(options, &workers.spawner(), print_fault_row))?;
    write_json(args.json.as_deref(), &rows)?;
    let total = |count: fn(&FaultRow) -> u64| rows.iter().map(count).sum::<u64>();
    let duplicates = total(|row| row.duplicates as u64);
    let false_not_run = total(|row| row.false_not_run as u64);
    let reversions = total(|row| row.reversions);
    println!(
        "sent {}  duplicates {duplicates}  false `not run` {false_not_run}  bundles {}  \
         reversions {reversions}",
        total(|row| row.sent),
        total(|row| row.bundles),
    );
    let all_kept = duplicates + false_not_run + reversions == 0;
    Ok(if all_kept {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn print_fault_row(row: &FaultRow) {
    println!(
        "{:44} sent {:>5} answered {:>5} broken {:>3} dup {} false {} cut {} bundles {:>3} \
         back {} in force {:>5.0} ms {:?}",
        row.faults,
        row.sent,
        row.answered,
        row.broken,
        row.duplicates,
        row.false_not_run,
        row.cut_by_stop,
        row.bundles,
        row.reversions,
        row.in_force_ms,
        row.refused,
    );
}
