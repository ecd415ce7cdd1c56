//! Source files of a crate do not import each other in a cycle.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// The path of a module within its crate; empty for the crate's root.
type Module = Vec<String>;

/// The cycles that are left, each as its crate and its files, with the reason.
const KNOWN_CYCLES: &[(&str, &[&str], &str)] = &[
    (
        "wingspur-state",
        &["balancer", "idle_probe"],
        "`idle_probe` is being replaced, see docs/design/scarce-capacity.md, part A",
    ),
    (
        "wingspur-state",
        &["account", "quota_pool", "share_history"],
        "`quota_pool` holds the terms of quotas and is being changed, see part D there",
    ),
];

/// The source files of a crate, with comments removed.
struct Sources {
    texts: BTreeMap<Module, String>,
    /// The paths behind names that a module re-exports.
    re_exports: BTreeMap<Module, Module>,
}

impl Sources {
    fn new(texts: BTreeMap<Module, String>) -> Self {
        let mut sources = Self {
            texts,
            re_exports: BTreeMap::new(),
        };
        for (module, text) in &sources.texts {
            let public = ends_of("pub use ", text);
            for start in public.chain(ends_of("pub(crate) use ", text)) {
                for path in use_tree(&text[start..]) {
                    let target = match path[0].as_str() {
                        "crate" => path[1..].to_vec(),
                        _ => [module.as_slice(), &path[..]].concat(),
                    };
                    let name = target.last().cloned().into_iter().collect();
                    let exported = [module.clone(), name].concat();
                    if exported != target {
                        sources.re_exports.insert(exported, target);
                    }
                }
            }
        }
        sources
    }

    fn read(folder: &Path) -> Self {
        let mut texts = BTreeMap::new();
        read_folder(folder, &Vec::new(), &mut texts);
        Self::new(texts)
    }

    /// Returns the file that defines what a path of the crate names.
    fn file_of(&self, path: &[String]) -> Module {
        let mut path = path.to_vec();
        // A chain of re-exports is followed; no crate has one of more than a few links.
        for _ in 0..MAX_RE_EXPORTS {
            let prefixes = (1..=path.len()).rev();
            let found = prefixes.into_iter().find_map(|length| {
                let target = self.re_exports.get(&path[..length])?;
                Some([target, &path[length..]].concat())
            });
            let Some(target) = found else { break };
            path = target;
        }
        while !self.texts.contains_key(&path) && path.pop().is_some() {}
        path
    }

    /// Returns the files that each file imports by paths that begin with `crate`.
    fn imports(&self) -> BTreeMap<&Module, BTreeSet<Module>> {
        let imports_of = |module: &Module, text: &str| -> BTreeSet<Module> {
            let starts = ends_of("crate::", text);
            let paths = starts.flat_map(|start| use_tree(&text[start..]));
            let files = paths.map(|path| self.file_of(&path));
            files.filter(|file| file != module).collect()
        };
        let modules = self.texts.iter();
        modules.map(|(m, text)| (m, imports_of(m, text))).collect()
    }

    /// Returns the largest sets of files in which each file imports each other one,
    /// directly or through others.
    fn cycles(&self) -> BTreeSet<Vec<String>> {
        let imports = self.imports();
        let reached: BTreeMap<_, _> = imports
            .keys()
            .map(|module| (*module, reachable(module, &imports)))
            .collect();
        let mut cycles = BTreeSet::new();
        for (module, others) in &reached {
            if others.contains(*module) {
                let members = others.iter().filter(|o| reached[o].contains(*module));
                cycles.insert(members.map(|member| member.join("/")).collect());
            }
        }
        cycles
    }
}

fn read_folder(folder: &Path, module: &Module, texts: &mut BTreeMap<Module, String>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_stem().unwrap().to_str().unwrap().to_owned();
        let inner = [module.clone(), vec![name.clone()]].concat();
        if path.is_dir() {
            read_folder(&path, &inner, texts);
        } else if path.extension().is_some_and(|end| end == "rs") {
            let is_folder = ["lib", "main", "mod"].contains(&name.as_str());
            let text = std::fs::read_to_string(&path).unwrap();
            let lines = text.lines().map(|line| line.split("//").next().unwrap());
            let text = lines.collect::<Vec<_>>().join("\n");
            texts.insert(if is_folder { module.clone() } else { inner }, text);
        }
    }
}

/// Returns the modules that a module imports, directly or through others.
fn reachable(
    from: &Module,
    imports: &BTreeMap<&Module, BTreeSet<Module>>,
) -> BTreeSet<Module> {
    let mut reached = BTreeSet::new();
    let mut open = vec![from];
    while let Some(module) = open.pop() {
        for other in &imports[module] {
            if reached.insert(other.clone()) {
                open.push(other);
            }
        }
    }
    reached
}

/// Returns the positions after each place at which `pattern` begins a word.
fn ends_of<'a>(pattern: &'a str, text: &'a str) -> impl Iterator<Item = usize> + 'a {
    let matches = text.match_indices(pattern);
    let at_word = matches.filter(|(at, _)| {
        let before = text[..*at].chars().next_back();
        !before.is_some_and(|c| c.is_alphanumeric() || "_$".contains(c))
    });
    at_word.map(|(at, found)| at + found.len())
}

/// Returns the paths at the beginning of `text`, which is a path or a tree of paths as
/// in `a::{b, c::D}`.
fn use_tree(text: &str) -> Vec<Module> {
    let mut paths = Vec::new();
    parse_tree(text, &Vec::new(), &mut paths);
    paths.retain(|path| !path.is_empty());
    paths
}

/// Adds the paths of one tree to `paths`, and returns the text after the tree.
fn parse_tree<'a>(text: &'a str, prefix: &Module, paths: &mut Vec<Module>) -> &'a str {
    let mut path = prefix.clone();
    let mut rest = text.trim_start();
    loop {
        if let Some(mut inner) = rest.strip_prefix('{') {
            loop {
                inner = parse_tree(inner, &path, paths).trim_start();
                let Some(next) = inner.strip_prefix(',') else {
                    return inner.strip_prefix('}').unwrap_or(inner);
                };
                inner = next;
            }
        }
        let end = rest.find(|c: char| !c.is_alphanumeric() && c != '_');
        let (name, after) = rest.split_at(end.unwrap_or(rest.len()));
        if !name.is_empty() && name != "self" {
            path.push(name.to_owned());
        }
        match after.strip_prefix("::") {
            Some(next) => rest = next,
            None => {
                paths.push(path);
                let renamed = after.trim_start().strip_prefix("as ");
                return renamed.map_or(after, |new| {
                    new.trim_start_matches(|c: char| c.is_alphanumeric() || c == '_')
                });
            }
        }
    }
}

/// Files that import each other cannot be understood, tested or moved one by one; in
/// `wingspur-edge`, 15 files formed one cycle.
#[test]
fn source_files_do_not_import_each_other_in_a_cycle() {
    let root = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."));
    let mut import_count = 0;
    let crates = std::fs::read_dir(root.join("crates")).unwrap();
    let crates = crates.map(|entry| entry.unwrap().path());
    for folder in crates.chain([root.join("platform")]) {
        let name = folder.file_name().unwrap().to_str().unwrap();
        let sources = Sources::read(&folder.join("src"));
        import_count += sources.imports().values().map(BTreeSet::len).sum::<usize>();
        let cycles = sources.cycles();
        let known = KNOWN_CYCLES.iter().filter(|(owner, ..)| *owner == name);
        let known: BTreeSet<Vec<String>> = known
            .map(|(_, files, _)| files.iter().map(ToString::to_string).collect())
            .collect();
        for cycle in &cycles {
            assert!(known.contains(cycle), "{name}: {cycle:?} import each other");
        }
        for cycle in known.difference(&cycles) {
            // An entry with a file that no longer exists can hide no cycle.
            let is_file = |file: &String| {
                let module: Module = file.split('/').map(str::to_owned).collect();
                sources.texts.contains_key(&module)
            };
            assert!(
                !cycle.iter().all(is_file),
                "{name}: {cycle:?} is no cycle any more; take it from the list"
            );
        }
    }
    assert!(import_count > 300, "too few imports found: {import_count}");
}

/// Guards against a search that misses imports in trees, renamed ones, paths outside of
/// `use` lines and names that the crate's root re-exports.
#[test]
fn cycles_are_found_in_every_form_of_import() {
    let cycles_of = |files: &[(&str, &str)]| {
        let texts = files.iter().map(|(name, text)| {
            let module = name.split('/').filter(|part| !part.is_empty());
            (module.map(str::to_owned).collect(), (*text).to_owned())
        });
        Sources::new(texts.collect()).cycles()
    };
    let pair = BTreeSet::from([vec!["a".to_owned(), "b/c".to_owned()]]);
    let forms = [
        "use crate::a::A;",
        "use crate::{\n    a::{self, A},\n    d::D,\n};",
        "use crate::{d::D as Other, a::A as First};",
        "fn f() -> crate::a::A {}",
        "use crate::A;",
        "use crate::{D, A};",
    ];
    for form in forms {
        let files = [
            ("", "mod a; mod b; mod d; pub use a::A; pub use d::{D};"),
            ("a", "use crate::b::c::C;"),
            ("b", "pub mod c;"),
            ("b/c", form),
            ("d", ""),
        ];
        assert_eq!(cycles_of(&files), pair, "{form}");
    }
    let one_way = [
        ("a", "use crate::b::c::C;"),
        ("b/c", "use other_crate::a::A;"),
    ];
    assert_eq!(cycles_of(&one_way), BTreeSet::new());
}

/// Most links of a chain of re-exports that is followed, so that one in a circle ends.
const MAX_RE_EXPORTS: usize = 8;
