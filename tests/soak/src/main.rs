//! Soak: real boxes on loopback under faults, with the promises checked from outside.

mod boxes;
mod calls;
mod plan;
mod promises;
mod run;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;

use crate::plan::Plan;
use crate::run::{Setup, play};

/// Plays faults from a seed against real boxes, and checks what callers and servers see.
#[derive(FromArgs)]
struct Args {
    /// the program to start as each box
    #[argh(option, default = "PathBuf::from(\"target/release/wingspur\")")]
    program: PathBuf,
    /// the seed of the faults; drawn and printed where none is given
    #[argh(option)]
    seed: Option<u64>,
    /// for how many seconds faults come
    #[argh(option, default = "20")]
    seconds: u64,
    /// boxes, at most 60
    #[argh(option, default = "6")]
    boxes: usize,
    /// how many seeds to play, one after the other
    #[argh(option, default = "1")]
    seeds: u64,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if !args.program.is_file() {
        eprintln!(
            "error: {}: no such program; build it",
            args.program.display()
        );
        return ExitCode::from(2);
    }
    let setup = Setup {
        program: args.program,
        boxes: args.boxes.clamp(1, MOST_BOXES),
        span: Duration::from_secs(args.seconds),
    };
    let first = args
        .seed
        .unwrap_or_else(|| u64::from(rand::random::<u32>()));
    for seed in first..first + args.seeds {
        if !play_seed(&setup, seed) {
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// Plays a seed; when a promise breaks, looks for the shortest plan that breaks one.
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

/// A few dozen processes, as a rule.
const MOST_BOXES: usize = 60;
