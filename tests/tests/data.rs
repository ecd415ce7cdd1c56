//! Runs the data files under `tests/data`, one test per file.

mod cases;

datatest_stable::harness! {
    { test = cases::settings, root = "data/settings", pattern = r"\.json$" },
    { test = cases::bundle, root = "data/bundles", pattern = r"\.json$" },
    { test = cases::store_faults, root = "data/store_faults", pattern = r"\.json$" },
    { test = cases::scenarios, root = "data/scenarios", pattern = r"\.json$" },
    { test = cases::retries, root = "data/retries", pattern = r"\.json$" },
}
