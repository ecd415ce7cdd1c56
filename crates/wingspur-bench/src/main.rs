//! The bench: demonstration, experiments and capacity measurements.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use wingspur_bench::{DemoOptions, DemoReport, run_demo};
use wingspur_transport::Workers;

/// Stand-ins, load and experiments for wingspur.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Demo(DemoArgs),
}

/// Start a small deployment on loopback, make a server sick and show what holds.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArgs {
    /// boxes to start (default 6)
    #[argh(option, default = "6")]
    boxes: usize,
    /// seconds of load (default 9)
    #[argh(option, default = "9")]
    seconds: u64,
    /// requests a second (default 300)
    #[argh(option, default = "300.0")]
    rate: f64,
    /// write the figures to this file as JSON
    #[argh(option)]
    json: Option<PathBuf>,
}

fn main() -> ExitCode {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env();
    let filter = filter.unwrap_or_else(|_| "warn".into());
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
    let args: Args = argh::from_env();
    let workers = Workers::start(4);
    let ended = match args.command {
        Command::Demo(args) => demo(&args, &workers),
    };
    workers.close();
    match ended {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn demo(args: &DemoArgs, workers: &Workers) -> Result<ExitCode, String> {
    let options = DemoOptions {
        boxes: args.boxes,
        seconds: args.seconds,
        rate_per_s: args.rate,
    };
    let report = smol::block_on(run_demo(options, &workers.spawner()))?;
    print_demo(&report);
    write_json(args.json.as_deref(), &report)?;
    let broken = report.broken_promises();
    for promise in &broken {
        println!("BROKEN: {promise}");
    }
    Ok(if broken.is_empty() {
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

fn write_json(
    path: Option<&std::path::Path>,
    report: &impl serde::Serialize,
) -> Result<(), String> {
    let Some(path) = path else { return Ok(()) };
    let text = serde_json::to_string_pretty(report).map_err(|error| error.to_string())?;
    std::fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}
