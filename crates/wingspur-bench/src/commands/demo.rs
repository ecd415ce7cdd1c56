//! Command `demo`: runs a small deployment in which one server stalls.

use std::process::ExitCode;

use wingspur_bench::{DemoOptions, DemoReport, run_demo};
use wingspur_transport::Workers;

use super::write_json;
use crate::args::DemoArgs;

/// Runs the demonstration and prints its results.
///
/// The exit code is a failure if a guarantee was violated.
pub fn demo(args: &DemoArgs, workers: &Workers) -> Result<ExitCode, String> {
    let options = DemoOptions {
        boxes: args.boxes,
        seconds: args.seconds,
        rate_per_s: args.rate,
    };
    let report = smol::block_on(run_demo(options, &workers.spawner()))?;
    print_demo(&report);
    write_json(args.json.as_deref(), &report)?;
    let violations = report.broken_promises();
    for promise in &violations {
        println!("BROKEN: {promise}");
    }
    Ok(if violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn print_demo(report: &DemoReport) {
    let load = &report.load;
    println!("sent                    {}", load.sent);
    println!("answered                {}", load.answered);
    println!("errors passed on        {}", load.errors);
    println!("refused by code         {:?}", load.refused);
    println!("retries by reason       {:?}", report.retries);
    println!("no answer at all        {}", load.broken);
    println!("foreign answers         {}", load.foreign);
    match report.detection_ms {
        Some(ms) => println!("stall detected after    {ms:.0} ms, at the last box"),
        None => println!("stall detected after    never"),
    }
    println!("false ejections         {}", report.false_ejections);
    println!("once-only duplicates    {}", report.duplicates);
    println!("false `not run`         {}", report.false_not_run);
    println!("cut by planned stops    {}", report.cut_by_stop);
    println!(
        "latency p50 / p99       {:.1} / {:.1} ms",
        load.p50_ms, load.p99_ms
    );
    let (p50, p99) = (report.added_p50_ms, report.added_p99_ms);
    println!("added p50 / p99         {p50:.2} / {p99:.2} ms, light load");
}
