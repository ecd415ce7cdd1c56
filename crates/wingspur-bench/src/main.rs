//! The bench: demonstration, experiments and capacity measurements.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use wingspur_bench::{
    CapacityReport, Decider, DemoOptions, DemoReport, DetectRow, FaultOptions, FaultRow,
    User, cases, draw_knob, measure_claims, measure_decisions, measure_knob,
    measure_price, measure_processes, render_detect_page, render_page, run_case,
    run_demo, run_faults,
};
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
    Detect(DetectArgs),
    Faults(FaultsArgs),
    Capacity(CapacityArgs),
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

/// Replay every detection case over many seeds, beside the baselines.
#[derive(FromArgs)]
#[argh(subcommand, name = "detect")]
struct DetectArgs {
    /// seeds a case (default 20)
    #[argh(option, default = "20")]
    seeds: u64,
    /// threads (default 8)
    #[argh(option, default = "8")]
    threads: usize,
    /// leave the baselines out
    #[argh(switch)]
    ours: bool,
    /// only this user's setting: ispitnica or gateway
    #[argh(option)]
    user: Option<String>,
    /// only cases whose name has this in it
    #[argh(option, default = "String::new()")]
    only: String,
    /// write the page to this file, with the knob's curve measured as well
    #[argh(option)]
    page: Option<PathBuf>,
    /// draw the knob's curve into this file
    #[argh(option)]
    plot: Option<PathBuf>,
    /// write the rows to this file as JSON
    #[argh(option)]
    json: Option<PathBuf>,
}

/// Send once-only load and bundles while the store, boxes and servers fail.
#[derive(FromArgs)]
#[argh(subcommand, name = "faults")]
struct FaultsArgs {
    /// times through the table (default 1)
    #[argh(option, default = "1")]
    rounds: usize,
    /// boxes (default 6)
    #[argh(option, default = "6")]
    boxes: usize,
    /// once-only requests a second (default 400)
    #[argh(option, default = "400.0")]
    rate: f64,
    /// seconds of load a row (default 6)
    #[argh(option, default = "6")]
    seconds: u64,
    /// write the rows to this file as JSON
    #[argh(option)]
    json: Option<PathBuf>,
}

/// Measure slopes, and make `docs/CAPACITY.md` from them.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
struct CapacityArgs {
    /// make the page from this file's figures instead of measuring
    #[argh(option)]
    from: Option<PathBuf>,
    /// measure only the price of the request path, and take the rest from `--from`
    #[argh(switch)]
    price: bool,
    /// write the figures to this file as JSON
    #[argh(option)]
    json: Option<PathBuf>,
    /// write the page to this file
    #[argh(option)]
    page: Option<PathBuf>,
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
        Command::Detect(args) => detect(&args),
        Command::Faults(args) => faults(&args, &workers),
        Command::Capacity(args) => capacity(&args, &workers),
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

fn detect(args: &DetectArgs) -> Result<ExitCode, String> {
    let mut rows = Vec::new();
    for (name, user) in [("ispitnica", User::Ispitnica), ("gateway", User::Gateway)] {
        if args.user.as_deref().is_some_and(|wanted| wanted != name) {
            continue;
        }
        println!("{name}");
        let deciders = if args.ours {
            &Decider::ALL[..1]
        } else {
            &Decider::ALL[..]
        };
        for case in cases(user)
            .iter()
            .filter(|case| case.name.contains(&args.only))
        {
            for decider in deciders {
                let row = run_case(case, *decider, args.seeds, args.threads);
                print_row(&row);
                rows.push((name, row));
            }
        }
    }
    write_json(args.json.as_deref(), &rows)?;
    if let Some(page) = &args.page {
        let knob = measure_knob(args.threads);
        let text = render_detect_page(&rows, &knob);
        std::fs::write(page, text).map_err(|error| error.to_string())?;
        if let Some(plot) = &args.plot {
            draw_knob(&knob, plot)?;
        }
    }
    let broken = rows.iter().any(|(_, row)| row.floor_violations > 0);
    Ok(if broken {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

fn faults(args: &FaultsArgs, workers: &Workers) -> Result<ExitCode, String> {
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
    let held = duplicates + false_not_run + reversions == 0;
    Ok(if held {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn capacity(args: &CapacityArgs, workers: &Workers) -> Result<ExitCode, String> {
    let mut report = match &args.from {
        Some(path) => {
            let text =
                std::fs::read_to_string(path).map_err(|error| error.to_string())?;
            serde_json::from_str(&text).map_err(|error| error.to_string())?
        }
        None => smol::block_on(measure_capacity(workers))?,
    };
    if args.price {
        report.price = smol::block_on(measure_price(PRICE_RATES, &workers.spawner()))?;
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
        decisions: measure_decisions(),
        processes: measure_processes(FLEET_SIZES, &spawner).await?,
        claims: measure_claims(CLAIM_RATES, &spawner).await?,
        price: measure_price(PRICE_RATES, &spawner).await?,
    })
}

const FLEET_SIZES: &[usize] = &[5, 10, 20, 40, 80];
const PRICE_RATES: &[f64] = &[500.0, 2_000.0, 4_000.0, 8_000.0, 12_000.0];
const CLAIM_RATES: &[f64] = &[100.0, 1_000.0, 5_000.0];

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

fn print_row(row: &DetectRow) {
    let ms = |value: Option<f64>| match value {
        Some(value) => format!("{value:.0}"),
        None => "-".to_owned(),
    };
    println!(
        "{:28} {:22} {:>3}/{:<3} p50 {:>6} p99 {:>6} ms  false {:>3}  floor {}  {:.2}/s",
        row.case,
        row.decider,
        row.detected,
        row.sick,
        ms(row.p50_ms),
        ms(row.p99_ms),
        row.false_ejections,
        row.floor_violations,
        row.reports_per_box_s,
    );
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
