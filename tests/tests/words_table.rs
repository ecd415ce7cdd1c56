//! The page's table of headers, statuses and fields that others send agrees with the
//! code.

use std::collections::BTreeSet;
use std::path::Path;

const LET_PASS: &str = "let pass";
/// The files that read headers and statuses of others on the platform's path.
const READERS: [&str; 9] = [
    "crates/wingspur-edge/src/proxy/admission.rs",
    "crates/wingspur-edge/src/proxy/attempt.rs",
    "crates/wingspur-edge/src/proxy/headers.rs",
    "crates/wingspur-edge/src/proxy/request.rs",
    "crates/wingspur-transport/src/response_head.rs",
    "crates/wingspur-transport/src/backend.rs",
    "crates/wingspur-transport/src/run_evidence.rs",
    "crates/wingspur-transport/src/server_hints.rs",
    "platform/src/store.rs",
];

/// A row of the table: a term, the name by which the code reads it, the file that does
/// so, whom it binds and until when.
struct Row {
    word: String,
    read_as: String,
    taken_up_by: String,
    binds: String,
    until: String,
}

fn read(path: &str) -> String {
    let root = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."));
    std::fs::read_to_string(root.join(path)).unwrap_or_else(|_| panic!("no {path}"))
}

fn table() -> Vec<Row> {
    let page = read("docs/PLATFORM.md");
    let section = page.split("## What others say").nth(1);
    let section = section.and_then(|rest| rest.split("\n## ").next());
    let rows = section.expect("the page has the section").lines();
    let rows = rows.filter_map(|line| {
        let cells: Vec<_> = line.trim_matches('|').split(" | ").collect();
        let [_, word, read_as, taken_up_by, binds, until] = cells[..] else {
            return None;
        };
        let text = |cell: &str| cell.trim().to_owned();
        Some(Row {
            word: text(word),
            read_as: text(read_as),
            taken_up_by: text(taken_up_by),
            binds: text(binds),
            until: text(until),
        })
    });
    rows.skip(2).collect()
}

/// Returns the texts between double quotes, such as header names.
fn literals(source: &str) -> Vec<&str> {
    source.split('"').skip(1).step_by(2).collect()
}

/// Returns whether a text contains a word that is not a part of a longer one.
fn has_word(text: &str, word: &str) -> bool {
    let is_part = |c: Option<char>| c.is_some_and(|c| c.is_alphanumeric() || c == '_');
    text.match_indices(word).any(|(at, _)| {
        let before = text[..at].chars().next_back();
        let after = text[at + word.len()..].chars().next();
        !is_part(before) && !is_part(after)
    })
}

/// Returns the names in capitals that follow a path, such as `GONE` in
/// `StatusCode::GONE`.
fn constants_after(source: &str, path: &str) -> BTreeSet<String> {
    let after = source.split(path).skip(1);
    let named = after.map(|rest| {
        let end = rest.find(|c: char| !c.is_ascii_uppercase() && c != '_');
        rest[..end.unwrap_or(rest.len())].to_owned()
    });
    named.filter(|name| name.len() > 1).collect()
}

/// Returns the header constants that a file imports.
fn imported_headers(source: &str) -> BTreeSet<String> {
    let imports = source.split("use hyper::header::").skip(1);
    let names = imports.flat_map(|rest| {
        let end = rest.find(';').unwrap_or(rest.len());
        let names = rest[..end].split(|c: char| !c.is_ascii_uppercase() && c != '_');
        names.map(str::to_owned).collect::<Vec<_>>()
    });
    // A type name contributes fragments of one capital letter, which are not constants.
    names.filter(|name| name.len() > 2).collect()
}

/// Returns the field names of all deserialised structs of a file, as they are on the
/// wire.
fn wire_fields(source: &str) -> BTreeSet<String> {
    let mut fields = BTreeSet::new();
    for item in source.split("#[derive(").skip(1) {
        let (derives, item) = item.split_once(")]").unwrap_or_default();
        let body = item
            .split_once("struct ")
            .and_then(|(_, rest)| rest.split_once('{'));
        let Some((_, body)) = body.filter(|_| derives.contains("Deserialize")) else {
            continue;
        };
        let body = body.split("\n}").next().unwrap_or_default();
        let mut renamed = None;
        for line in body.lines().map(str::trim) {
            if let Some((_, name)) = line.split_once("rename = \"") {
                renamed = name.split('"').next().map(str::to_owned);
            }
            let line = line.strip_prefix("pub ").unwrap_or(line);
            let Some((name, _)) = line.split_once(": ") else {
                continue;
            };
            let is_name = name.chars().all(|c| c.is_ascii_lowercase() || c == '_');
            if is_name && !name.is_empty() {
                fields.insert(renamed.take().unwrap_or(name.to_owned()));
            }
        }
    }
    fields
}

#[test]
fn each_row_names_code_that_reads_its_word_or_says_why_none_does() {
    let rows = table();
    assert!(
        rows.len() > 50,
        "the table has too few rows: {}",
        rows.len()
    );
    for row in rows {
        assert!(
            !row.binds.is_empty() && !row.until.is_empty(),
            "{}",
            row.word
        );
        if row.taken_up_by == LET_PASS {
            assert!(
                row.binds.len() > 20,
                "{}: the reason why it is let pass is missing",
                row.word
            );
            continue;
        }
        let source = read(&row.taken_up_by);
        let word = &row.read_as;
        assert!(has_word(&source, word), "{}: {word}", row.taken_up_by);
    }
}

#[test]
fn each_promise_names_code_that_leans_on_it_and_what_follows_if_it_fails() {
    let page = read("docs/PLATFORM.md");
    let section = page.split("## What the code leans on").nth(1);
    let section = section.and_then(|rest| rest.split("\n## ").next());
    let rows = section.expect("the page has the section").lines();
    let rows = rows.filter(|line| line.starts_with("| ")).skip(2);
    let mut count = 0;
    for row in rows {
        let cells: Vec<_> = row.trim_matches('|').split(" | ").collect();
        let [_, promise, leaned_on_by, read_as, fails] = cells[..] else {
            panic!("five cells: {row}");
        };
        count += 1;
        assert!(
            fails.trim().len() > 20,
            "{promise}: the consequence of its failure is missing"
        );
        if leaned_on_by.trim() == "-" {
            continue;
        }
        let source = read(leaned_on_by.trim());
        let word = read_as.trim();
        assert!(has_word(&source, word), "{leaned_on_by}: {word}");
    }
    assert!(count > 20, "the table has too few rows: {count}");
}

#[test]
fn each_header_of_the_adapter_is_in_the_table_and_read() {
    let adapter = read("platform/src/headers.rs");
    let code = adapter.lines().filter(|line| !line.contains("//"));
    let code: String = code.collect();
    let rows = table();
    for header in literals(&code) {
        let known = rows
            .iter()
            .any(|row| row.word.contains(&format!("`{header}`")));
        assert!(known, "the table lacks `{header}`");
    }
    let names = read("crates/wingspur-protocol/src/headers.rs");
    let fields = names.lines().filter_map(|line| {
        let (field, _) = line.trim().strip_prefix("pub ")?.split_once(": ")?;
        (!field.contains(' ')).then_some(field)
    });
    // The formatter may break an access before its dot.
    let on_one_line = |source: String| {
        let words: Vec<_> = source.split_whitespace().collect();
        words.join(" ").replace(" .", ".")
    };
    let sources: Vec<_> = READERS.iter().map(|path| on_one_line(read(path))).collect();
    for field in fields.filter(|field| *field != "load_format") {
        let row = rows.iter().find(|row| row.read_as == field);
        let row = row.unwrap_or_else(|| panic!("the table lacks `{field}`"));
        let accesses = [format!("names.{field}"), format!("header_names.{field}")];
        let is_read = sources
            .iter()
            .any(|source| accesses.iter().any(|access| has_word(source, access)));
        let passes = row.taken_up_by == LET_PASS;
        assert!(is_read != passes, "{field}: is read: {is_read}");
    }
}

#[test]
fn each_standard_header_and_status_that_is_read_is_in_the_table() {
    let rows = table();
    for path in READERS {
        let source = read(path);
        let mut names = imported_headers(&source);
        names.extend(constants_after(&source, "StatusCode::"));
        names.remove("OK");
        for word in names {
            let known = rows.iter().any(|row| row.read_as == word);
            assert!(known, "{path} reads {word}");
        }
        for literal in source.split("headers.get(\"").skip(1) {
            let name = literal.split('"').next().unwrap_or_default();
            let known = rows.iter().any(|row| row.read_as == name);
            assert!(known, "{path} reads {name}");
        }
    }
}

#[test]
fn each_field_that_is_read_from_the_store_is_in_the_table() {
    let rows = table();
    for path in ["platform/src/records.rs", "platform/src/store.rs"] {
        let fields = wire_fields(&read(path));
        assert!(fields.len() > 4, "{path}: {fields:?}");
        for field in fields {
            let known = rows.iter().any(|row| has_word(&row.word, &field));
            assert!(known, "{path} reads `{field}`");
        }
    }
}
