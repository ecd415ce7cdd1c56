//! The formats of the data files, and how the cases in them are checked.

use std::path::Path;
use std::time::Duration;

use ed25519_dalek::SigningKey;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use wingspur_bench::{
    Decider, Scenario, StoreFault, StoreStandIn, TraceSource, replay, service_of,
};
use wingspur_edge::parse_settings;
use wingspur_protocol::{SignedBundle, StoreKeys, sign_bundle};
use wingspur_state::{
    AttemptEnd, Bundle, RetryBudget, RetryDecision, RetryRules, RouteClass, check_bundle,
    decide_retry,
};
use wingspur_transport::{
    FaultInjector, HttpClient, Published, StoreClient, Workers, accept_bundle,
    load_pointer, submit_bundle,
};

type TestResult = datatest_stable::Result<()>;

/// Settings or a bundle with the complete list of findings that it must give.
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
            RetryRules::default().retries + 1,
            Duration::from_millis(row.remaining_ms),
            usize::from(row.tried),
            row.body_kept,
            budget.allows(),
        );
        let name = match decision {
            RetryDecision::Retry(reason) => reason.as_str(),
            RetryDecision::Stop(_) => "stop",
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
        "server_error" => AttemptEnd::ServerError,
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

/// A fault of the store while a bundle is submitted or accepted, and the expected result.
#[derive(Deserialize)]
struct AcceptanceRow {
    fault: String,
    moment: String,
    outcome: String,
    /// The version that the store's pointer has in the end.
    version: u64,
}

/// Checks bundle acceptance under faults of the store.
pub fn store_faults(path: &Path) -> TestResult {
    let rows: Vec<AcceptanceRow> = read(path)?;
    let workers = Workers::start(2);
    for (index, row) in rows.iter().enumerate() {
        let (outcome, version) = smol::block_on(accept_under(row, &workers))?;
        if (outcome.as_str(), version) != (row.outcome.as_str(), row.version) {
            return Err(format!("row {index}: {outcome}, version {version}").into());
        }
    }
    workers.close();
    Ok(())
}

async fn accept_under(
    row: &AcceptanceRow,
    workers: &Workers,
) -> datatest_stable::Result<(String, u64)> {
    let spawner = workers.spawner();
    let store = StoreStandIn::start(&spawner).await?;
    let exchange = HttpClient::new(spawner.clone(), FaultInjector::default());
    let client = StoreClient::new(store.address(), exchange.into(), CALL_TIMEOUT);
    let keys = StoreKeys::new("zagreb");
    publish(&client, &keys, 1, "ana").await?;
    let (signed, parts) = signed_bundle(2, "ana")?;
    let fault = store_fault(&row.fault);
    if row.moment == "submit" {
        store.set_fault(fault);
    }
    let submitted = match row.fault.as_str() {
        "not_submitted" => Ok(String::new()),
        _ => submit_bundle(&client, &keys, &signed, &parts).await,
    };
    store.set_fault(StoreFault::None);
    match row.fault.as_str() {
        "other_operator_first" => publish(&client, &keys, 2, "ivo").await?,
        "greater_version_first" => publish(&client, &keys, 3, "ivo").await?,
        "smaller_version_first" => publish(&client, &keys, 1, "ivo").await.unwrap_or(()),
        _ => {}
    }
    if row.moment == "accept" {
        store.set_fault(fault);
    }
    let accepted = match submitted {
        Ok(_) => accept_bundle(&client, &keys, &signed).await,
        Err(error) => Err(error),
    };
    store.set_fault(StoreFault::None);
    let outcome = match accepted {
        Ok(Published::Accepted) => "accepted",
        Ok(Published::Superseded(_)) => "overtaken",
        Err(_) => "error",
    };
    let pointer = load_pointer(&client, &keys).await?;
    Ok((
        outcome.to_owned(),
        pointer.map_or(0, |(pointer, _)| pointer.version),
    ))
}

async fn publish(
    client: &StoreClient,
    keys: &StoreKeys,
    version: u64,
    signer: &str,
) -> datatest_stable::Result<()> {
    let (signed, parts) = signed_bundle(version, signer)?;
    submit_bundle(client, keys, &signed, &parts).await?;
    match accept_bundle(client, keys, &signed).await? {
        Published::Accepted => Ok(()),
        Published::Superseded(by) => Err(format!("overtaken by {}", by.version).into()),
    }
}

fn signed_bundle(
    version: u64,
    signer: &str,
) -> datatest_stable::Result<(SignedBundle, Vec<Vec<u8>>)> {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("data/bundles/sound.json");
    let case: Checked = read(&file)?;
    let mut bundle: Bundle = serde_json::from_value(case.input)?;
    bundle.version = version;
    let key = SigningKey::from_bytes(&[7; 32]);
    Ok(sign_bundle(&bundle, signer, &key)?)
}

fn store_fault(name: &str) -> StoreFault {
    match name {
        "down" => StoreFault::Down,
        "slow" => StoreFault::Slow(Duration::from_millis(50)),
        "lose_write_replies" => StoreFault::LoseWriteReplies,
        "lose_every_second_reply" => StoreFault::LoseEveryNthReply(2),
        _ => StoreFault::None,
    }
}

/// Timeout of calls to the store that the fault leaves unanswered.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// A scenario with its expected result, for each seed.
#[derive(Deserialize)]
struct ScenarioCase {
    scenario: Scenario,
    seeds: Vec<u64>,
    /// The servers that all boxes must hold back; no box may hold back any other.
    held: Vec<usize>,
    /// Maximum time from the start of the first fault until all boxes hold a server back,
    /// in milliseconds.
    within_ms: f64,
    /// The boxes that must hold the servers back; `None` means all.
    by_boxes: Option<Vec<usize>>,
}

/// Replays a scenario in virtual time through the production service tables and outlier
/// detector.
pub fn scenarios(path: &Path) -> TestResult {
    let case: ScenarioCase = read(path)?;
    let scenario = &case.scenario;
    let boxes = case
        .by_boxes
        .clone()
        .unwrap_or((0..scenario.boxes).collect());
    let floor = service_of(scenario).floor_slots();
    for seed in &case.seeds {
        let trace = TraceSource::new(scenario, *seed);
        let report = replay(scenario, trace, Decider::Wingspur);
        if report.least_slots_in < floor {
            return Err(format!("seed {seed}: {} slots in", report.least_slots_in).into());
        }
        for server in 0..scenario.servers {
            let held = report.held_by_all_ms(server, &boxes);
            if !case.held.contains(&server) {
                if report.was_held(server) {
                    return Err(
                        format!("seed {seed}: server {server} was held back").into()
                    );
                }
                continue;
            }
            let onset = scenario
                .faults
                .first()
                .map_or(0.0, |fault| fault.from_s * 1000.0);
            match held.map(|at| at - onset) {
                Some(took) if took >= 0.0 && took <= case.within_ms => {}
                other => {
                    return Err(
                        format!("seed {seed}: server {server}: {other:?} ms").into()
                    );
                }
            }
        }
    }
    Ok(())
}
