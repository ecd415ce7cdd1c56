//! Soak test: runs real boxes on loopback and checks the service's promises from outside.

mod boxes;
mod budget;
mod calls;
mod plan;
mod planned;
mod promises;
mod refusals;
mod run;
mod site;

use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use argh::FromArgs;

use crate::plan::Plan;
use crate::planned::{Verdict, play_planned};
use crate::refusals::play_refusals;
use crate::run::{Setup, play};
use crate::site::{Part, Shape, play_part, play_site};

/// Plays faults, or planned work alone, from a seed against real boxes, and checks what
/// callers and servers see.
#[derive(FromArgs)]
struct Args {
    /// the program to start as each box
    #[argh(option, default = "PathBuf::from(\"target/release/wingspur\")")]
    program: PathBuf,
    /// the seed; drawn and printed where none is given
    #[argh(option)]
    seed: Option<u64>,
    /// for how many seconds faults, or planned work, come
    #[argh(option, default = "20")]
    seconds: u64,
    /// boxes, at most 60
    #[argh(option, default = "6")]
    boxes: usize,
    /// which seeds to play, one after the other: a count, or A..B without B
    #[argh(option, default = "Seeds::Count(1)")]
    seeds: Seeds,
    /// planned work alone instead of faults
    #[argh(switch)]
    planned: bool,
    /// responses of every shape instead of faults, and no seed
    #[argh(switch)]
    refusals: bool,
    /// a deployment in its whole size instead: exams, admissions or lessons
    #[argh(option)]
    site: Option<Shape>,
    /// play a part of such a deployment: server or callers (used by the play itself)
    #[argh(option)]
    part: Option<Part>,
    /// let servers name the request in each response there, surplus ones too
    #[argh(switch)]
    named: bool,
    /// let servers there refuse half of all requests, which boxes may all send again
    #[argh(switch)]
    refusing: bool,
    /// let servers there start what they refuse after it has waited, if a slot is free
    /// then
    #[argh(switch)]
    racing: bool,
    /// how many milliseconds early deadlines pass at servers there
    #[argh(option, default = "0")]
    early_ms: u64,
    /// probability that servers there refuse a request that waits, each time that they
    /// look at their queue
    #[argh(option, default = "0.0")]
    shedding: f64,
    /// slots of each server there, if not those of the deployment
    #[argh(option)]
    slots: Option<usize>,
    /// how many milliseconds a server may take to refuse on arrival, if not the default of
    /// the boxes; also with `--refusals`
    #[argh(option)]
    max_prompt_delay_ms: Option<u64>,
    /// let boxes there run a fifth of the time, 20 ms at once
    #[argh(switch)]
    sliced: bool,
    /// let servers there write copies of their refusals on the same connection later
    #[argh(switch)]
    copying: bool,
    /// let callers there repeat requests that were refused, with the same id
    #[argh(switch)]
    repeating: bool,
    /// let half of the servers there have a second entry with the same address
    #[argh(switch)]
    sharing: bool,
    /// how often processes there stand still, per second
    #[argh(option, default = "PAUSES_PER_SECOND")]
    pauses: f64,
    /// threads that call a deployment in its whole size
    #[argh(option, default = "60")]
    callers: usize,
    /// data centres under planned work, at most 3
    #[argh(option, default = "2")]
    data_centres: usize,
    /// backend servers under planned work at first; twice as many as boxes, if not given
    #[argh(option)]
    servers: Option<usize>,
    /// under planned work, tell each box that stops to stop once more
    #[argh(switch)]
    told_twice: bool,
    /// where the logs of broken seeds are kept under planned work
    #[argh(option, default = "std::env::temp_dir().join(\"wingspur-soak\")")]
    logs: PathBuf,
}

/// Which seeds to play.
#[derive(Debug, Clone)]
enum Seeds {
    /// This many seeds, counted up from the first.
    Count(u64),
    /// The seeds of this range.
    Range(Range<u64>),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if let Some(part) = args.part {
        play_part(part);
        return ExitCode::SUCCESS;
    }
    if !args.program.is_file() {
        eprintln!(
            "error: {}: no such program; build it",
            args.program.display()
        );
        return ExitCode::from(2);
    }
    if args.refusals {
        return match play_refusals(args.program, args.max_prompt_delay_ms) {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        };
    }
    let first = args
        .seed
        .unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let seeds = match args.seeds.clone() {
        Seeds::Count(count) => first..first + count,
        Seeds::Range(seeds) => seeds,
    };
    let all_held = match (args.site, args.planned) {
        (Some(shape), _) => play_all_sites(&args, shape, seeds),
        (None, true) => play_all_planned(&args, seeds),
        (None, false) => play_all(&args, seeds),
    };
    match all_held {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Plays faults with one seed after the other until a promise is broken. Returns whether
/// all promises held.
fn play_all(args: &Args, mut seeds: Range<u64>) -> bool {
    let setup = Setup {
        program: args.program.clone(),
        boxes: args.boxes.clamp(1, MAX_BOXES),
        span: Duration::from_secs(args.seconds),
    };
    seeds.all(|seed| play_seed(&setup, seed))
}

/// Plays a deployment in its whole size with all seeds. Returns whether the promises held
/// in each.
fn play_all_sites(args: &Args, shape: Shape, seeds: Range<u64>) -> bool {
    let shape = Shape {
        slots: args.slots.unwrap_or(shape.slots),
        ..shape
    };
    let setup = site::Setup {
        program: args.program.clone(),
        shape,
        callers: args.callers,
        always_named: args.named,
        refuses: args.refusing,
        shed_probability: args.shedding.clamp(0.0, 1.0),
        starts_refused: args.racing,
        early: Duration::from_millis(args.early_ms),
        pauses_per_second: args.pauses,
        slices_boxes: args.sliced,
        copies_refusals: args.copying,
        repeats_ids: args.repeating,
        shares_addresses: args.sharing,
        max_prompt_delay_ms: args.max_prompt_delay_ms,
        span: Duration::from_secs(args.seconds),
    };
    let held: Vec<bool> = seeds
        .map(|seed| play_site(&setup, seed, &args.logs))
        .collect();
    held.iter().all(|held| *held)
}

/// Plays planned work with all seeds and prints a summary. Returns whether all promises
/// held.
fn play_all_planned(args: &Args, seeds: Range<u64>) -> bool {
    let boxes = args.boxes.clamp(1, MAX_BOXES);
    let setup = planned::Setup {
        program: args.program.clone(),
        boxes,
        servers: args.servers.unwrap_or(2 * boxes).max(MIN_SERVERS),
        data_centres: args.data_centres.clamp(1, MAX_DATA_CENTRES),
        span: Duration::from_secs(args.seconds),
        tells_twice: args.told_twice,
    };
    let is_single = seeds.clone().count() == 1;
    let verdicts: Vec<Verdict> = seeds
        .map(|seed| play_planned(&setup, seed, &args.logs, is_single))
        .collect();
    let broken: Vec<&Verdict> = verdicts
        .iter()
        .filter(|verdict| !verdict.broken.is_empty())
        .collect();
    println!(
        "{} of {} seeds held",
        verdicts.len() - broken.len(),
        verdicts.len()
    );
    for Verdict { seed, broken } in &broken {
        println!("  seed {seed}: {broken:?}");
    }
    broken.is_empty()
}

/// Plays a seed. If a promise is broken, removes faults from the plan one by one, as long
/// as a promise is still broken without them, and prints the remaining ones. Returns
/// whether all promises held.
fn play_seed(setup: &Setup, seed: u64) -> bool {
    let plan = Plan::draw(seed, setup.boxes, setup.span);
    plan.faults.iter().for_each(|fault| println!("  {fault}"));
    let report = play(setup, &plan);
    println!("seed {seed}: {}", report.summary());
    if report.broken.is_empty() {
        return true;
    }
    report
        .broken
        .iter()
        .for_each(|broken| println!("  {broken}"));
    println!("  logs: {}", report.logs.display());
    let mut shortest = plan;
    for index in (0..shortest.faults.len()).rev() {
        let shorter = shortest.without(index);
        if !play(setup, &shorter).broken.is_empty() {
            shortest = shorter;
        }
    }
    println!("  still broken with these faults alone:");
    shortest
        .faults
        .iter()
        .for_each(|fault| println!("    {fault}"));
    false
}

impl FromStr for Seeds {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.split_once("..") {
            Some((first, end)) => Ok(Self::Range(first.parse()?..end.parse()?)),
            None => Ok(Self::Count(text.parse()?)),
        }
    }
}

/// Some seven in a play of 20 s, half of them of everything at once.
const PAUSES_PER_SECOND: f64 = 0.35;
/// Limits the number of processes on one machine to a few dozen.
const MAX_BOXES: usize = 60;
const MAX_DATA_CENTRES: usize = 3;
/// Four servers for each of the three services, so that some can be removed.
const MIN_SERVERS: usize = 12;
