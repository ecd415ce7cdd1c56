//! Plays a deployment in its whole size under many troubles at once, and compares what
//! callers of once-only requests were told with what ran, also after the response.

mod caller;
mod configuration;
mod moment;
mod part;
mod path;
mod play;
mod response_writer;
mod server;
mod server_messages;
mod server_process;
mod shape;
mod trouble;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::path::Path;

use serde_json::Value;

use crate::site::caller::{Call, promises_not_run};
use crate::site::moment::Moment;
use crate::site::play::{Seen, play};
use crate::site::server_messages::{Arrival, RefusalCause};
use crate::site::trouble::draw_events;

pub use part::Part;
pub use play::Setup;
pub use shape::Shape;

/// Plays a part of a play, as commanded on the standard input.
pub fn play_part(part: Part) {
    match part {
        Part::Server => server::play_server(),
        Part::Callers => caller::play_callers(),
    }
}

/// Plays a seed and prints what was found. Returns whether the promises held.
pub fn play_site(setup: &Setup, seed: u64, logs: &Path) -> bool {
    let folder = logs.join(format!("site-{seed}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder for logs can be made");
    let events = draw_events(seed, setup.span, setup.pauses_per_second);
    let seen = play(setup, &events, seed, &folder);
    let logged = logged_requests(&folder);
    let mut findings = findings(&seen);
    findings.extend(withheld(&seen, &logged));
    println!("seed {seed}: {}", summary(&seen, &logged, &findings));
    if findings.is_empty() {
        if let Err(error) = std::fs::remove_dir_all(&folder) {
            eprintln!("{}: cannot be removed: {error}", folder.display());
        }
        return true;
    }
    for Finding { promise, call } in &findings {
        println!(
            "  {promise}: {}",
            timeline(call, &seen.arrivals_of(&call.id))
        );
        let others = seen.calls.iter().filter(|other| other.id == call.id);
        for other in others.filter(|other| other.sending != call.sending) {
            println!("    also {}", timeline(other, &[]));
        }
        let lines = logged.get(&call.id).map_or(&[][..], |logged| &logged.lines);
        lines.iter().for_each(|line| println!("      {line}"));
    }
    events.iter().for_each(|event| println!("    {event}"));
    println!("  logs: {}", folder.display());
    false
}

/// A broken promise, and the request.
struct Finding<'a> {
    promise: &'static str,
    call: &'a Call,
}

/// Returns the sendings that ran although their caller was told that they did not, that ran
/// more than once, or whose caller got the response to another request, and the requests
/// that ran more often than they were sent without being refused.
fn findings(seen: &Seen) -> Vec<Finding<'_>> {
    let by_sending = arrivals_by_sending(&seen.arrivals);
    let broken = seen.calls.iter().filter_map(|call| {
        let arrivals = by_sending.get(&call.key()).map_or(&[][..], Vec::as_slice);
        let is_promise = call.status.is_some_and(promises_not_run);
        let is_others = call.named.as_ref().is_some_and(|named| *named != call.id);
        let promise = match (is_promise, count_runs(arrivals)) {
            (true, 1..) => "not run",
            (_, 2..) => "once only",
            _ if is_others => "own response",
            _ => return None,
        };
        Some(Finding { promise, call })
    });
    let mut findings: Vec<Finding> = broken.collect();
    let of_sendings: HashSet<&str> =
        findings.iter().map(|f| f.call.id.as_str()).collect();
    let by_id = arrivals_by_id(&seen.arrivals);
    let excess = last_sendings(&seen.calls).into_iter().filter(|call| {
        let id = call.id.as_str();
        let runs = by_id.get(id).map_or(0, |arrivals| count_runs(arrivals));
        let last_refused = call.status.is_some_and(promises_not_run);
        // Callers repeat only what was refused.
        !of_sendings.contains(id) && runs > usize::from(!last_refused)
    });
    findings.extend(excess.map(|call| Finding {
        promise: "once only",
        call,
    }));
    findings
}

/// Returns the last sending of each request.
fn last_sendings(calls: &[Call]) -> Vec<&Call> {
    let mut last: HashMap<&str, &Call> = HashMap::new();
    for call in calls {
        let known = last.entry(&call.id).or_insert(call);
        if known.sending < call.sending {
            *known = call;
        }
    }
    last.into_values().collect()
}

fn count_runs(arrivals: &[&Arrival]) -> usize {
    let runs = arrivals.iter().filter(|arrival| arrival.ran_at.is_some());
    runs.count()
}

/// What the boxes logged of a request.
#[derive(Debug, Default)]
struct LoggedRequest {
    /// Attempts of which something may have been sent.
    sent: usize,
    /// Attempts whose server proved that the request did not run.
    proven: usize,
    /// Whether it was handed to a relay.
    is_relayed: bool,
    /// The lines that name the request, each with its box.
    lines: Vec<String>,
}

/// Returns the requests whose caller was told that they are in doubt, although a box had
/// proof of each of their attempts that no server ran them.
fn withheld<'a>(
    seen: &'a Seen,
    logged: &HashMap<String, LoggedRequest>,
) -> Vec<Finding<'a>> {
    let by_id = arrivals_by_id(&seen.arrivals);
    let by_sending = arrivals_by_sending(&seen.arrivals);
    let withheld = seen.calls.iter().filter(|call| {
        let Some(LoggedRequest { sent, proven, .. }) = logged.get(&call.id) else {
            return false;
        };
        let has_arrived = by_sending.contains_key(&call.key());
        // A relay that was killed may have logged no attempt of its own. The log does not
        // say which sending an attempt belongs to, so all of them must be in it.
        let arrived = by_id.get(call.id.as_str()).map_or(0, Vec::len);
        let is_logged = *sent > 0 && (call.sending == 1 || *sent >= arrived);
        let all_proven = is_logged && proven == sent;
        matches!(call.status, Some(502 | 504)) && has_arrived && all_proven
    });
    let promise = "withheld";
    withheld.map(|call| Finding { promise, call }).collect()
}

/// Reads what the boxes logged of all requests.
fn logged_requests(folder: &Path) -> HashMap<String, LoggedRequest> {
    let mut logged: HashMap<String, LoggedRequest> = HashMap::new();
    let files = std::fs::read_dir(folder).expect("the folder is readable");
    let logs = files.flatten().map(|file| file.path());
    for log in logs.filter(|path| path.extension().is_some_and(|end| end == "log")) {
        let name = log.file_stem().unwrap_or_default().to_string_lossy();
        let text = std::fs::read(&log).expect("the log is readable");
        for line in String::from_utf8_lossy(&text).lines() {
            // A box that was killed may leave a line cut off.
            let parsed: Value = serde_json::from_str(line).unwrap_or_default();
            let fields = &parsed["fields"];
            let Some(id) = fields["id"].as_str() else {
                continue;
            };
            let request = logged.entry(id.to_owned()).or_default();
            request.lines.push(format!("{name} {line}"));
            match fields["message"].as_str() {
                Some("attempt: sent.") => request.sent += 1,
                Some("relay: sent.") => request.is_relayed = true,
                Some("attempt: failed.") if fields["end"] == "NotSent" => {
                    request.sent = request.sent.saturating_sub(1);
                }
                Some("attempt: a refusal.") if fields["evidence"] == "not_run" => {
                    request.proven += 1;
                }
                _ => {}
            }
        }
    }
    logged
}

/// Describes a request and its arrivals; times are in milliseconds from when its caller
/// had the response.
fn timeline(call: &Call, arrivals: &[&Arrival]) -> String {
    let ms = |at: Moment| at.as_millis() as i64 - call.ended.as_millis() as i64;
    let or_dash = |value: Option<i64>| value.map_or("-".to_owned(), |v| v.to_string());
    let (body_bytes, is_chunked) = call.body;
    let framing = if is_chunked { "chunked" } else { "length" };
    let mut text = format!(
        "id {} sending {} at node box-{} ({}, {body_bytes} bytes, {framing}) sent {} \
         answered status {:?} result {} names {}",
        call.id,
        call.sending,
        call.box_index,
        if call.is_kept { "kept" } else { "new" },
        ms(call.began),
        call.status,
        call.result.as_deref().unwrap_or("-"),
        call.named.as_deref().unwrap_or("-"),
    );
    for arrival in arrivals {
        text.push_str(&format!(
            " [sending {} at {}{} at {} ran {} end {} status {}{}]",
            arrival.sending,
            arrival.instance,
            if arrival.is_repeated {
                ", refused on this connection before,"
            } else {
                ""
            },
            ms(arrival.at),
            or_dash(arrival.ran_at.map(ms)),
            or_dash(arrival.answered.map(|(at, _)| ms(at))),
            or_dash(arrival.answered.map(|(_, status)| i64::from(status))),
            arrival
                .refused
                .map_or(String::new(), |cause| format!(" {cause:?}")),
        ));
    }
    text
}

/// Summarizes what callers were told, and how many true refusals were withheld: requests
/// told to be in doubt of which all arrivals were refused, some of these on arrival, or
/// that never arrived.
fn summary(
    seen: &Seen,
    logged: &HashMap<String, LoggedRequest>,
    findings: &[Finding],
) -> String {
    let by_sending = arrivals_by_sending(&seen.arrivals);
    let mut sources: BTreeMap<PromiseSource, usize> = BTreeMap::new();
    let mut told: BTreeMap<String, usize> = BTreeMap::new();
    let (mut refused, mut on_arrival, mut never_arrived) = (0, 0, 0);
    for call in &seen.calls {
        let status = call.status.map_or("none".to_owned(), |s| s.to_string());
        let result = call.result.as_deref().unwrap_or("server");
        *told.entry(format!("{status}/{result}")).or_default() += 1;
        let arrivals = by_sending.get(&call.key()).map_or(&[][..], Vec::as_slice);
        if call.status.is_some_and(promises_not_run) {
            let log = logged.get(&call.id);
            *sources
                .entry(promise_source(call, arrivals, log))
                .or_default() += 1;
        }
        if !matches!(call.status, Some(502 | 504)) {
            continue;
        }
        match by_sending.get(&call.key()) {
            None => never_arrived += 1,
            Some(all) if all.iter().all(|arrival| arrival.is_only_refused()) => {
                refused += 1;
                let all_on_arrival =
                    all.iter().all(|arrival| arrival.is_refused_at_once());
                on_arrival += usize::from(all_on_arrival);
            }
            Some(_) => {}
        }
    }
    let verdict = match findings.len() {
        0 => "all promises held".to_owned(),
        count => format!("{count} FINDINGS"),
    };
    let calls = seen.calls.len();
    let chunked = seen.calls.iter().filter(|call| call.body.1).count();
    let broken = |promise| findings.iter().filter(|f| f.promise == promise).count();
    let (ran, twice) = (broken("not run"), broken("once only"));
    let repetitions = seen.calls.iter().filter(|call| call.sending > 1).count();
    let repeated = seen.arrivals.iter().filter(|arrival| arrival.is_repeated);
    let repeated = repeated.count();
    let mut refusals: BTreeMap<RefusalCause, usize> = BTreeMap::new();
    for cause in seen.arrivals.iter().filter_map(|arrival| arrival.refused) {
        *refusals.entry(cause).or_default() += 1;
    }
    let promises: usize = sources.values().sum();
    format!(
        "{verdict}; {calls} once-only requests, {chunked} in chunks, \
         {repetitions} repeated; \
         {promises} promises {sources:?}, of which ran {ran}; ran twice {twice}; \
         told {told:?}; \
         in doubt though refused {refused} (on arrival {on_arrival}), \
         though never arrived {never_arrived}; \
         {repeated} arrivals on a connection that had refused the request; \
         refusals {refusals:?}"
    )
}

/// What a promise rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PromiseSource {
    /// The box's own state: nothing arrived at a server.
    NothingSent,
    /// The same at a relay.
    RelaySentNothing,
    /// The last refusal of the servers that got the request.
    Server(RefusalCause),
    /// The same at a relay.
    RelayServer(RefusalCause),
    /// Neither: no server refused the request last.
    NotRefused,
}

/// Determines what the promise that a caller was given rests on.
fn promise_source(
    call: &Call,
    arrivals: &[&Arrival],
    logged: Option<&LoggedRequest>,
) -> PromiseSource {
    let is_relayed = logged.is_some_and(|logged| logged.is_relayed);
    let before = arrivals.iter().filter(|arrival| arrival.at <= call.ended);
    match (before.max_by_key(|arrival| arrival.at), is_relayed) {
        (None, false) => PromiseSource::NothingSent,
        (None, true) => PromiseSource::RelaySentNothing,
        (Some(last), is_relayed) => match (last.refused, is_relayed) {
            (Some(cause), false) => PromiseSource::Server(cause),
            (Some(cause), true) => PromiseSource::RelayServer(cause),
            (None, _) => PromiseSource::NotRefused,
        },
    }
}

impl Call {
    /// Returns what tells this sending of the request from all others.
    fn key(&self) -> (&str, u32) {
        (&self.id, self.sending)
    }
}

impl Seen {
    /// Returns the arrivals of a request at servers.
    fn arrivals_of(&self, id: &str) -> Vec<&Arrival> {
        let arrivals = self.arrivals.iter();
        arrivals.filter(|arrival| arrival.id == id).collect()
    }
}

/// Returns the arrivals of each sending of a request, by its id and number.
fn arrivals_by_sending(arrivals: &[Arrival]) -> HashMap<(&str, u32), Vec<&Arrival>> {
    let mut by_sending: HashMap<(&str, u32), Vec<&Arrival>> = HashMap::new();
    for arrival in arrivals {
        let key = (arrival.id.as_str(), arrival.sending);
        by_sending.entry(key).or_default().push(arrival);
    }
    by_sending
}

fn arrivals_by_id(arrivals: &[Arrival]) -> HashMap<&str, Vec<&Arrival>> {
    let mut by_id: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for arrival in arrivals {
        by_id.entry(&arrival.id).or_default().push(arrival);
    }
    by_id
}
