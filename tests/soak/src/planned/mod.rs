//! Planned work alone, in overlapping series: nothing else goes wrong, so all must hold.

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

/// What came of a seed.
pub struct Verdict {
    /// The seed.
    pub seed: u64,
    /// How often each promise was broken.
    pub broken: BTreeMap<&'static str, usize>,
}

/// Plays a seed and prints what came of it; logs stay only where a promise was broken.
pub fn play_planned(
    setup: &Setup,
    seed: u64,
    logs: &Path,
    is_talkative: bool,
) -> Verdict {
    let schedule = Schedule::draw(seed, setup.boxes, setup.span);
    if is_talkative {
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
        if *times <= MOST_PRINTED {
            println!("  {}: {}", finding.promise, finding.text);
            let story = finding.story.iter().take(MOST_STORY_LINES);
            story.for_each(|line| println!("      {line}"));
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
    // Several soaks may play the same seed.
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

/// The play in a line.
fn summary(record: &Record, findings: &[Finding], margins: &Margins) -> String {
    let mut line = match findings.len() {
        0 => "all promises held".to_owned(),
        count => format!("{count} FINDINGS"),
    };
    let answered = |status: u16| {
        let calls = record.calls.iter();
        let good = calls.filter(|call| {
            matches!(call.outcome, Outcome::Answer { status: s, .. } if s == status)
        });
        good.count()
    };
    let refused = record.calls.iter();
    let refused = refused.filter(|call| matches!(call.outcome, Outcome::Refusal { .. }));
    let lives = record.lives.iter().flatten();
    let stops = lives.filter(|life| life.told.is_some()).count();
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
        answered(200),
        answered(500),
        refused.count(),
        margins.unread,
        margins.unread_for.as_millis(),
        record.versions.len(),
        margins.behind.as_millis(),
        margins.leaving.as_millis(),
    );
    line
}

/// Writes all findings and what was done, beside the boxes' logs.
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
        for line in &finding.story {
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

const MOST_PRINTED: usize = 3;
/// A window of a budget holds dozens of resends; the file has all of them.
const MOST_STORY_LINES: usize = 12;
