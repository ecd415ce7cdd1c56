//! Names of the platform occur in its adapter only.

use std::path::{Path, PathBuf};

/// Names of the platform's protocol that no other crate may contain.
const NAMES: &[&str] = &[
    "tls_key",
    "expected_rev",
    "seq_no",
    "cold_left",
    "store_revision",
    "has_more",
    "/-/",
    "x-wingspur-request",
    "x-wingspur-server",
    "x-wingspur-expected",
    "x-wingspur-not",
    "WINGSPUR_BOOT",
    "op/config",
    "non_idempotent",
    "traffic_split",
];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            // Tests talk to fakes of the platform.
            if !path.ends_with("tests") {
                sources(&path, found);
            }
        } else if path.extension().is_some_and(|end| end == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn nothing_outside_the_adapter_knows_a_name_of_the_platform() {
    let root = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."));
    let mut files = Vec::new();
    sources(&root.join("crates"), &mut files);
    assert!(
        files.len() > 80,
        "too few source files found: {}",
        files.len()
    );
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap();
        for name in NAMES {
            assert!(!text.contains(name), "{}: {name}", file.display());
        }
    }
}
