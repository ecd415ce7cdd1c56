//! The documentation pages and the examples agree with the code.

use std::path::Path;

use wingspur_edge::load_settings;
use wingspur_protocol::{ExecutionState, ResultCode};
use wingspur_state::{Bundle, check_bundle};

fn root() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."))
}

#[test]
fn the_table_of_result_codes_is_the_codes() {
    let page = std::fs::read_to_string(root().join("docs/RESULT_CODES.md")).unwrap();
    let rows: Vec<String> = page
        .lines()
        .filter(|line| line.starts_with("| 1") || line.starts_with("| 2"))
        .chain(page.lines().filter(|line| {
            ["| 3", "| 4", "| 5"]
                .iter()
                .any(|start| line.starts_with(start))
        }))
        .map(|line| line.split(" | ").take(5).collect::<Vec<_>>().join(" | "))
        .collect();
    let codes: Vec<String> = ResultCode::ALL.iter().map(|code| row(*code)).collect();
    assert_eq!(rows, codes);
}

#[test]
fn every_status_that_promises_is_of_a_code_that_did_not_run() {
    for code in ResultCode::ALL {
        if matches!(code.status(), 408 | 421 | 429 | 503) {
            assert_eq!(code.run_state(), ExecutionState::NotRun, "{code:?}");
        }
    }
}

fn row(code: ResultCode) -> String {
    let ran = match code.run_state() {
        ExecutionState::NotRun => "not_run",
        ExecutionState::Unknown => "unknown",
        ExecutionState::Ran => "ran",
    };
    let retry = code
        .retry_after_s()
        .map_or("-".to_owned(), |s| s.to_string());
    format!(
        "| {} | {} | {} | {ran} | {retry}",
        code.number(),
        code.name(),
        code.status()
    )
}

#[test]
fn the_examples_are_sound_and_have_todays_sizes() {
    for (name, servers) in [("zagreb", [10, 15, 5]), ("bratislava", [10, 20, 10])] {
        let file = root().join(format!("examples/{name}.bundle.json"));
        let text = std::fs::read_to_string(file).unwrap();
        let bundle: Bundle = serde_json::from_str(&text).unwrap();
        assert_eq!(check_bundle(&bundle), []);
        let counts: Vec<usize> = bundle
            .services
            .iter()
            .map(|service| service.servers.len())
            .collect();
        assert_eq!(counts, servers);
        let settings = root().join(format!("examples/{name}.box.json"));
        assert_eq!(load_settings(&settings).unwrap().fleet, name);
    }
}
