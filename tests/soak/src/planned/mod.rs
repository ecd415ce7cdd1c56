//! Plays overlapping planned work without any faults, so all promises must hold.

mod callers;
mod operator;
mod play;
mod promises;
mod record;
mod schedule;
mod servers;
mod watching;

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};

use crate::planned::operator::SERVICES;
use crate::planned::play::play;
use crate::planned::promises::{Finding, Margins, check};
use crate::planned::record::{Outcome, Record};
use crate::planned::schedule::Schedule;

pub use play::Setup;
pub use servers::{pattern, spawn};

/// Result of a seed.
pub struct Verdict {
    /// The seed.
    pub seed: u64,
    /// How often each promise was broken, by its name.
    pub broken: BTreeMap<&'static str, usize>,
}

/// Plays a seed and prints the result. The logs are kept only if a promise was broken.
/// `print_tasks` prints the schedule first.
pub fn play_planned(setup: &Setup, seed: u64, logs: &Path, print_tasks: bool) -> Verdict {
    let schedule = Schedule::draw(seed, setup.boxes, setup.span);
    if print_tasks {
        schedule.tasks.iter().for_each(|task| println!("  {task}"));
    }
    let folder = make_folder(logs, seed);
    let record = play(setup, &schedule, seed, &folder);
    let (findings, margins) = check(&record);
    println!("seed {seed}: {}", summary(&record, &findings, &margins));
    let mut broken: BTreeMap<&'static str, usize> = BTreeMap::new();
    for finding in &findings {
        let times = broken.entry(finding.promise).or_default();
        *times += 1;
        if *times <= MAX_PRINTED {
            println!("  {}: {}", finding.promise, finding.text);
            let timeline = finding.timeline.iter().take(MAX_TIMELINE_LINES);
            timeline.for_each(|line| println!("      {line}"));
        }
    }
    if findings.is_empty() {
        remove_folder(&folder);
    } else {
        write_findings(&folder, setup, seed, &record, &findings);
        println!("  logs: {}", folder.display());
    }
    Verdict { seed, broken }
}

fn make_folder(logs: &Path, seed: u64) -> PathBuf {
    // The process id keeps soaks apart that play the same seed at the same time.
    let name = format!("{seed}-{}", std::process::id());
    let folder = logs.join(name);
    std::fs::create_dir_all(&folder).expect("the folder for logs can be made");
    folder
}

fn remove_folder(folder: &Path) {
    if let Err(error) = std::fs::remove_dir_all(folder) {
        eprintln!("{}: cannot be removed: {error}", folder.display());
    }
}

/// Returns a one-line summary of the play.
fn summary(record: &Record, findings: &[Finding], margins: &Margins) -> String {
    let mut line = match findings.len() {
        0 => "all promises held".to_owned(),
        count => format!("{count} FINDINGS"),
    };
    let with_status = |status: u16| {
        let calls = record.calls.iter();
        let matching = calls.filter(|call| {
            matches!(call.outcome, Outcome::Answer { status: s, .. } if s == status)
        });
        matching.count()
    };
    let refused = record.calls.iter();
    let refused = refused.filter(|call| matches!(call.outcome, Outcome::Refusal { .. }));
    let instances = record.instances.iter().flatten();
    let stops = instances
        .filter(|instance| instance.stop_sent.is_some())
        .count();
    let used = margins.budget.map_or("none".to_owned(), |(service, used)| {
        let (share, allowed) = (used.share(), used.allowed);
        let (spent, name) = (used.spent, SERVICES[service]);
        format!("{share:.2} ({spent} of {allowed:.1}, {name})")
    });
    // Writing to a string does not fail.
    let _ = write!(
        line,
        "; {} requests: {} served, {} failed, {} refused, {} unread \
         (for {} ms); {stops} stops, \
         {} configurations; budget used {used}; behind {} ms, leaving {} ms",
        record.calls.len(),
        with_status(200),
        with_status(500),
        refused.count(),
        margins.unread,
        margins.longest_unread.as_millis(),
        record.versions.len(),
        margins.configuration_lag.as_millis(),
        margins.draining_lag.as_millis(),
    );
    line
}

/// Writes all findings and the work that was done to a file beside the logs of the boxes.
fn write_findings(
    folder: &Path,
    setup: &Setup,
    seed: u64,
    record: &Record,
    findings: &[Finding],
) {
    let mut text = format!("seed {seed}, {setup:?}\n\n");
    for finding in findings {
        let _ = writeln!(text, "{}: {}", finding.promise, finding.text);
        for line in &finding.timeline {
            let _ = writeln!(text, "    {line}");
        }
    }
    text.push_str("\nwhat was done\n");
    for (at, line) in &record.work {
        let _ = writeln!(text, "{:.3} s {line}", record.seconds(*at));
    }
    if let Err(error) = std::fs::write(folder.join("findings.txt"), text) {
        eprintln!("{}: takes no files: {error}", folder.display());
    }
}

const MAX_PRINTED: usize = 3;
/// The timeline of a budget window may hold dozens of resends; the file of findings has
/// all of them.
const MAX_TIMELINE_LINES: usize = 12;
