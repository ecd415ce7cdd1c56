//! Positions in the history of the store are not split into era and revision outside of
//! its adapter.

use std::path::{Path, PathBuf};

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|end| end == "rs") {
            found.push(path);
        }
    }
}

/// Crates that handle positions of the platform's store, without the crate that creates
/// them.
const CRATES: [&str; 3] = [
    "crates/wingspur-coordination/src",
    "crates/wingspur-edge/src",
    "crates/wingspur-protocol/src",
];
/// Of the box over its own sources, whose store has another form.
const OWN_STORE: [&str; 2] = ["shard_log.rs", "store.rs"];

#[test]
fn no_bare_revision_or_lease_id_leaves_the_adapter() {
    let root = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."));
    let mut files = Vec::new();
    for folder in CRATES {
        sources(&root.join(folder), &mut files);
    }
    assert!(files.len() > 60, "the sources are there: {}", files.len());
    let is_own = |file: &PathBuf| OWN_STORE.iter().any(|name| file.ends_with(name));
    for file in files.into_iter().filter(|file| !is_own(file)) {
        let text = std::fs::read_to_string(&file).unwrap();
        for word in ["wire_revision", "revision:", "revision(", "LeaseId"] {
            assert!(!text.contains(word), "{}: {word}", file.display());
        }
    }
}
