//! What each kind of data file states, and how it is checked.

use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use wingspur_entry::parse_settings;
use wingspur_state::{
    AttemptEnd, Bundle, RetryBudget, RetryDecision, RetryRules, RouteClass, check_bundle,
    decide_retry,
};

type TestResult = datatest_stable::Result<()>;

/// Settings or a bundle with the findings that it must give, all of them.
#[derive(Deserialize)]
struct Checked {
    input: Value,
    findings: Vec<String>,
}

/// Checks settings.
pub fn settings(path: &Path) -> TestResult {
    let case: Checked = read(path)?;
    let text = case.input.to_string();
    let found = match parse_settings("box.json", &text) {
        Ok(_) => Vec::new(),
        Err(error) => error.to_string().lines().map(str::to_owned).collect(),
    };
    expect(&found, &case.findings)
}

/// Checks a bundle.
pub fn bundle(path: &Path) -> TestResult {
    let case: Checked = read(path)?;
    let bundle: Bundle = serde_json::from_value(case.input)?;
    let found: Vec<String> = check_bundle(&bundle)
        .iter()
        .map(|f| f.to_string())
        .collect();
    expect(&found, &case.findings)
}

/// A table of retry decisions.
#[derive(Deserialize)]
struct RetryRow {
    end: String,
    class: RouteClass,
    remaining_ms: u64,
    tried: u8,
    body_kept: bool,
    spent_budget: bool,
    decision: String,
}

/// Checks retry decisions.
pub fn retries(path: &Path) -> TestResult {
    let rows: Vec<RetryRow> = read(path)?;
    for (index, row) in rows.iter().enumerate() {
        let mut budget = RetryBudget::new(10);
        while row.spent_budget && budget.allows() {
            budget.spend();
        }
        let decision = decide_retry(
            parse_end(&row.end)?,
            row.class,
            &RetryRules::default(),
            Duration::from_millis(row.remaining_ms),
            row.tried,
            row.body_kept,
            &budget,
        );
        let name = match decision {
            RetryDecision::Retry(reason) => reason.as_str(),
            RetryDecision::Stop => "stop",
        };
        if name != row.decision {
            return Err(format!("row {index}: {name}, stated {}", row.decision).into());
        }
    }
    Ok(())
}

fn parse_end(name: &str) -> datatest_stable::Result<AttemptEnd> {
    Ok(match name {
        "not_sent" => AttemptEnd::NotSent,
        "refused_before_running" => AttemptEnd::RefusedBeforeRunning,
        "in_doubt" => AttemptEnd::InDoubt,
        "answered" => AttemptEnd::Answered,
        "cut" => AttemptEnd::Cut,
        other => return Err(format!("no such end: {other}").into()),
    })
}

fn read<T: DeserializeOwned>(path: &Path) -> datatest_stable::Result<T> {
    Ok(serde_json::from_str(&std::fs::read_to_string(path)?)?)
}

fn expect(found: &[String], stated: &[String]) -> TestResult {
    if found == stated {
        return Ok(());
    }
    Err(format!(
        "found:\n{}\nstated:\n{}",
        found.join("\n"),
        stated.join("\n")
    )
    .into())
}
