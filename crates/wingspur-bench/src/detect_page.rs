//! Renders the detection tables as a page, and plots detection time against the allowed
//! false ejections, which the page calls the knob.

use std::fmt::Write;
use std::path::Path;

use plotters::prelude::*;
use serde::Serialize;

use crate::decider::Decider;
use crate::detect::{DetectRow, User, cases, run_case};

/// The measurements at one value of the knob, `false_ejections_per_server_day`.
#[derive(Debug, Clone, Serialize)]
pub struct KnobRow {
    /// The value of the knob: false ejections allowed per server and day.
    pub knob: f64,
    /// The 99th percentile of the detection time of a full stall, in milliseconds; `None`
    /// if none was detected.
    pub stall_ms: Option<f64>,
    /// The same for a server that is three times slower.
    pub slow_ms: Option<f64>,
    /// The same for a server that fails 20 % of its requests.
    pub errors_ms: Option<f64>,
    /// False ejections per server and day under heavy noise.
    pub false_per_server_day: f64,
}

/// Renders the page with the detection tables and the knob's table.
///
/// `rows` are pairs of a user's name, `ispitnica` or `gateway`, and a row. The rows of a
/// case must be in the order of `Decider::ALL`, whose columns the table has.
pub fn render_detect_page(rows: &[(String, DetectRow)], knob: &[KnobRow]) -> String {
    let mut page = String::from(PAGE_HEADER);
    for user in ["ispitnica", "gateway"] {
        let names: Vec<&str> = rows
            .iter()
            .filter(|(name, row)| *name == user && row.decider == "wingspur")
            .map(|(_, row)| row.case.as_str())
            .collect();
        let _ = writeln!(page, "\n## At {user}'s setting\n");
        let _ = writeln!(
            page,
            "| case | wingspur | own evidence only | 5 errors in a row | success-rate \
             outliers |\n|---|---|---|---|---|"
        );
        for case in names {
            let of_case = rows
                .iter()
                .filter(|(name, row)| *name == user && row.case == case);
            let cells: Vec<String> = of_case.map(|(_, row)| cell(row)).collect();
            let _ = writeln!(page, "| {case} | {} |", cells.join(" | "));
        }
    }
    page.push_str(
        "\n## The knob\n\nTen seeds a point for detection; false ejections over heavy noise \
         (1 % stragglers ten times later, 0.5 % errors, 200 runs of 80 s).\n\n| knob | stall \
         p99 ms | three times slower p99 ms | 20 % errors p99 ms | false a server and day \
         |\n|---|---|---|---|---|\n",
    );
    for row in knob {
        let _ = writeln!(
            page,
            "| {} | {} | {} | {} | {:.2} |",
            row.knob,
            format_ms(row.stall_ms),
            format_ms(row.slow_ms),
            format_ms(row.errors_ms),
            row.false_per_server_day
        );
    }
    page.push_str("\n![The knob's curve](knob.svg)\n");
    page
}

/// Measures detection times and false ejections at several values of the knob, with
/// Ispitnica's cases.
pub fn measure_knob(threads: usize) -> Vec<KnobRow> {
    let all = cases(User::Ispitnica);
    let find = |name: &str| all.iter().find(|case| case.name == name).cloned();
    ALLOWED_FALSE_EJECTIONS_PER_SERVER_DAY
        .iter()
        .map(|knob| {
            let p99 = |name: &str| {
                let mut case = find(name)?;
                case.scenario.false_ejections_per_server_day = *knob;
                run_case(&case, Decider::Wingspur, 10, threads).p99_ms
            };
            let mut noise = find("noise only").expect("the case is there");
            noise.scenario.false_ejections_per_server_day = *knob;
            noise.scenario.straggler_share = 0.01;
            noise.scenario.error_share = 0.005;
            let row = run_case(&noise, Decider::Wingspur, 200, threads);
            KnobRow {
                knob: *knob,
                stall_ms: p99("full stall, good probes"),
                slow_ms: p99("three times slower"),
                errors_ms: p99("20 % errors"),
                false_per_server_day: row.false_ejections as f64 / row.server_seconds
                    * SECONDS_PER_DAY,
            }
        })
        .collect()
}

/// Plots the detection times against the knob as an SVG file.
pub fn draw_knob(rows: &[KnobRow], path: &Path) -> Result<(), String> {
    let root = SVGBackend::new(path, (640, 400)).into_drawing_area();
    draw_curves(rows, &root).map_err(|error| error.to_string())?;
    root.present().map_err(|error| error.to_string())
}

type PlotArea<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_curves(
    rows: &[KnobRow],
    root: &PlotArea<'_>,
) -> Result<(), Box<dyn std::error::Error>> {
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(root)
        .caption("detection time p99 against the knob", ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d((1e-4..100.0).log_scale(), 0.0..MAX_PLOTTED_MS)?;
    chart
        .configure_mesh()
        .x_desc("false ejections allowed for a server in a day")
        .y_desc("ms")
        .draw()?;
    type DelayOf = fn(&KnobRow) -> Option<f64>;
    let curves: [(&str, RGBColor, DelayOf); 3] = [
        ("full stall", BLUE, |row| row.stall_ms),
        ("three times slower", RED, |row| row.slow_ms),
        ("20 % errors", GREEN, |row| row.errors_ms),
    ];
    for (name, color, delay_of) in curves {
        let points = rows
            .iter()
            .filter_map(|row| Some((row.knob, delay_of(row)?)));
        chart
            .draw_series(LineSeries::new(points, color))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    Ok(())
}

fn cell(row: &DetectRow) -> String {
    if row.sick == 0 {
        return format!("{} false", row.false_ejections);
    }
    let delays = format!(
        "{} / {} ms ({}/{})",
        format_ms(row.p50_ms),
        format_ms(row.p99_ms),
        row.detected,
        row.sick
    );
    match row.false_ejections {
        0 => delays,
        count => format!("{delays}, {count} false"),
    }
}

fn format_ms(ms: Option<f64>) -> String {
    ms.map_or("-".to_owned(), |ms| format!("{ms:.0}"))
}

const PAGE_HEADER: &str = "# Detection: the tables

Made by `wingspur-bench detect --page docs/DETECTION.md --plot docs/knob.svg`; do not edit.
What is measured and how is in `GRAY_FAILURES.md`. Cells: p50 / p99 from onset to the last of
the boxes concerned (sick servers found of all), and well servers that any box ever held back
(20 runs of 10 servers unless it says otherwise).
";
const ALLOWED_FALSE_EJECTIONS_PER_SERVER_DAY: &[f64] =
    &[100.0, 10.0, 1.0, 0.1, 0.01, 0.001, 0.0001];
const SECONDS_PER_DAY: f64 = 86_400.0;
const MAX_PLOTTED_MS: f64 = 2_000.0;
