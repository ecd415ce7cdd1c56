//! Command `detect`: replays every detection case with every decider.

use std::process::ExitCode;

use wingspur_bench::{
    Decider, DetectRow, User, cases, draw_knob, measure_knob, render_detect_page,
    run_case,
};

use super::write_json;
use crate::args::DetectArgs;

/// Replays the cases, or reads earlier rows from a file, and writes the results.
///
/// The exit code is a failure if any run left fewer slots available than the floor
/// requires.
pub fn detect(args: &DetectArgs) -> Result<ExitCode, String> {
    let rows = match &args.from {
        Some(path) => {
            let text =
                std::fs::read_to_string(path).map_err(|error| error.to_string())?;
            serde_json::from_str(&text).map_err(|error| error.to_string())?
        }
        None => replay_cases(args),
    };
    write_json(args.json.as_deref(), &rows)?;
    if let Some(page) = &args.page {
        let knob = measure_knob(args.threads);
        let text = render_detect_page(&rows, &knob);
        std::fs::write(page, text).map_err(|error| error.to_string())?;
        if let Some(plot) = &args.plot {
            draw_knob(&knob, plot)?;
        }
    }
    let is_floor_violated = rows.iter().any(|(_, row)| row.floor_violations > 0);
    Ok(if is_floor_violated {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

/// Replays the selected cases, and prints each row as soon as it is complete.
fn replay_cases(args: &DetectArgs) -> Vec<(String, DetectRow)> {
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
                rows.push((name.to_owned(), row));
            }
        }
    }
    rows
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
