//! Plays a deployment in its whole size under many troubles at once, and compares what
//! callers of once-only requests were told with what ran, also after the response.

mod caller;
mod path;
mod play;
mod server;
mod shape;
mod trouble;

use std::collections::{BTreeMap, HashMap};
use std::path::Path;
use std::time::Instant;

use serde_json::Value;

use crate::site::caller::Call;
use crate::site::play::{Seen, play};
use crate::site::server::Arrival;
use crate::site::trouble::draw_events;

pub use play::Setup;
pub use shape::Shape;

/// Plays a seed and prints what was found. Returns whether the promises held.
pub fn play_site(setup: &Setup, seed: u64, logs: &Path) -> bool {
    let folder = logs.join(format!("site-{seed}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder for logs can be made");
    let events = draw_events(seed, setup.span);
    let seen = play(setup, &events, seed, &folder);
    let mut findings = findings(&seen);
    findings.extend(withheld(&seen, &logged_attempts(&folder)));
    println!("seed {seed}: {}", summary(&seen, &findings));
    if findings.is_empty() {
        if let Err(error) = std::fs::remove_dir_all(&folder) {
            eprintln!("{}: cannot be removed: {error}", folder.display());
        }
        return true;
    }
    findings.iter().for_each(|line| println!("  {line}"));
    events.iter().for_each(|event| println!("    {event}"));
    println!("  logs: {}", folder.display());
    false
}

/// Returns a line for each request that ran although its caller was told that it did not,
/// and for each that ran more than once.
fn findings(seen: &Seen) -> Vec<String> {
    let by_id = arrivals_by_id(&seen.arrivals);
    let mut lines = Vec::new();
    for call in &seen.calls {
        let arrivals = by_id.get(call.id.as_str()).map_or(&[][..], Vec::as_slice);
        let runs = arrivals.iter().filter(|arrival| arrival.ran_at.is_some());
        let runs = runs.count();
        let is_promise = call.status.is_some_and(promises_not_run);
        let promise = match (is_promise, runs) {
            (true, 1..) => "not run",
            (_, 2..) => "once only",
            _ => continue,
        };
        lines.push(format!("{promise}: {}", timeline(call, arrivals)));
    }
    lines
}

/// Attempts of a request at servers, by the logs of the boxes.
#[derive(Debug, Default)]
struct LoggedAttempts {
    /// Those of which something may have been sent.
    sent: usize,
    /// Those whose server proved that the request did not run.
    proven: usize,
}

/// Returns a line for each request that its caller was told to be in doubt, although its
/// box had proof of each of its attempts that no server ran it.
fn withheld(seen: &Seen, logged: &HashMap<String, LoggedAttempts>) -> Vec<String> {
    let by_id = arrivals_by_id(&seen.arrivals);
    let in_doubt = |call: &&Call| matches!(call.status, Some(502 | 504));
    let calls = seen.calls.iter().filter(in_doubt);
    let withheld = calls.filter_map(|call| {
        let LoggedAttempts { sent, proven } = logged.get(&call.id)?;
        let arrivals = by_id.get(call.id.as_str())?;
        let line = || format!("withheld: {}", timeline(call, arrivals));
        (proven == sent).then(line)
    });
    withheld.collect()
}

/// Reads the attempts of all requests from the logs of the boxes.
fn logged_attempts(folder: &Path) -> HashMap<String, LoggedAttempts> {
    let mut logged: HashMap<String, LoggedAttempts> = HashMap::new();
    let files = std::fs::read_dir(folder).expect("the folder is readable");
    let logs = files.flatten().map(|file| file.path());
    for log in logs.filter(|path| path.extension().is_some_and(|end| end == "log")) {
        let text = std::fs::read(&log).expect("the log is readable");
        for line in String::from_utf8_lossy(&text).lines() {
            if !line.contains("\"attempt: ") {
                continue;
            }
            // A box that was killed may leave a line cut off.
            let line: Value = serde_json::from_str(line).unwrap_or_default();
            let fields = &line["fields"];
            let Some(id) = fields["id"].as_str() else {
                continue;
            };
            let attempts = logged.entry(id.to_owned()).or_default();
            match fields["message"].as_str() {
                Some("attempt: sent.") => attempts.sent += 1,
                Some("attempt: failed.") if fields["end"] == "NotSent" => {
                    attempts.sent = attempts.sent.saturating_sub(1);
                }
                Some("attempt: a refusal.") if fields["evidence"] == "not_run" => {
                    attempts.proven += 1;
                }
                _ => {}
            }
        }
    }
    logged
}

/// Describes a request; times are counted from when its caller had the response.
fn timeline(call: &Call, arrivals: &[&Arrival]) -> String {
    let ms = |at: Instant| {
        let after = at.saturating_duration_since(call.ended).as_millis() as i64;
        after - call.ended.saturating_duration_since(at).as_millis() as i64
    };
    let mut text = format!(
        "{} at box-{}, sent {} ms, told {:?} (result {})",
        call.id,
        call.box_index,
        ms(call.began),
        call.status,
        call.result.as_deref().unwrap_or("none"),
    );
    for arrival in arrivals {
        let outcome = match (arrival.ran_at, arrival.is_refused) {
            (Some(ran_at), _) => format!("ran {} ms", ms(ran_at)),
            (None, true) => "refused".to_owned(),
            (None, false) => "neither ran nor refused".to_owned(),
        };
        text.push_str(&format!(
            "; at {} {} ms, {outcome}",
            arrival.instance,
            ms(arrival.at)
        ));
    }
    text
}

/// Summarizes what callers were told, and how many true refusals were withheld: requests
/// told to be in doubt of which all arrivals were refused, or that never arrived.
fn summary(seen: &Seen, findings: &[String]) -> String {
    let by_id = arrivals_by_id(&seen.arrivals);
    let mut told: BTreeMap<String, usize> = BTreeMap::new();
    let (mut refused, mut never_arrived) = (0, 0);
    for call in &seen.calls {
        let status = call.status.map_or("none".to_owned(), |s| s.to_string());
        let result = call.result.as_deref().unwrap_or("server");
        *told.entry(format!("{status}/{result}")).or_default() += 1;
        if !matches!(call.status, Some(502 | 504)) {
            continue;
        }
        match by_id.get(call.id.as_str()) {
            None => never_arrived += 1,
            Some(all) if all.iter().all(|arrival| arrival.is_refused) => refused += 1,
            Some(_) => {}
        }
    }
    let verdict = match findings.len() {
        0 => "all promises held".to_owned(),
        count => format!("{count} FINDINGS"),
    };
    let calls = seen.calls.len();
    format!(
        "{verdict}; {calls} once-only requests, told {told:?}; \
         in doubt though refused {refused}, though never arrived {never_arrived}"
    )
}

fn arrivals_by_id(arrivals: &[Arrival]) -> HashMap<&str, Vec<&Arrival>> {
    let mut by_id: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in arrivals {
        by_id.entry(&arrival.id).or_default().push(arrival);
    }
    by_id
}

/// Whether callers take a status to mean that a request has not run and never will.
fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
