//! The layers of the crate, as its own `use` lines show them.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Layers from the bottom up; each module at the root of the crate is a layer.
const LAYERS: [&str; 21] = [
    "unknown_names",
    "logging",
    "log_search",
    "plot",
    "costs",
    "probe",
    "metrics",
    "instrumented_log",
    "config",
    "buffered_request",
    "codec",
    "durations",
    "callers",
    "targets",
    "cluster",
    "shared",
    "exchange",
    "duty",
    "request",
    "waits",
    "daemon",
];

/// The modules that a source text refers to by `crate::`.
fn imports(text: &str) -> BTreeSet<String> {
    let code = text.lines().filter(|line| !line.trim_start().starts_with("//"));
    let code: String = code.collect::<Vec<_>>().join(" ");
    let mut imported = BTreeSet::new();
    for path in code.split("crate::").skip(1) {
        let rest = path.split([';', '(', ')', '<', '>', ',', ' ']).next().unwrap_or_default();
        let end = path.find(';').unwrap_or(path.len());
        match rest.strip_prefix('{').or_else(|| rest.split_once("::{").map(|(_, names)| names)) {
            Some(_) => {
                let (folder, names) = path[..end].split_once('{').unwrap_or_default();
                let names = names.trim_end_matches(['}', ' ']).split(',');
                imported.extend(names.map(|name| {
                    let name = name.trim().split("::").next().unwrap_or_default();
                    format!("{folder}{name}")
                }));
            }
            None => {
                imported.insert(rest.to_owned());
            }
        }
    }
    imported
}

fn read(folder: &Path, prefix: &str, modules: &mut BTreeMap<String, String>) {
    for entry in std::fs::read_dir(folder).expect("the crate has sources") {
        let path = entry.expect("it can be listed").path();
        let stem = path.file_stem().and_then(|stem| stem.to_str()).unwrap_or_default();
        let name = format!("{prefix}{stem}");
        if path.is_dir() {
            read(&path, &format!("{name}::"), modules);
        } else if stem != "lib" {
            let text = std::fs::read_to_string(&path).expect("it can be read");
            modules.insert(name, text);
        }
    }
}

fn modules() -> BTreeMap<String, String> {
    let mut modules = BTreeMap::new();
    read(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), "", &mut modules);
    modules
}

/// A module that imports from a layer above depends on what is built on it, and soon neither can be
/// understood without the other.
#[test]
fn no_layer_imports_one_above_it() {
    let layer_of = |module: &str| {
        let layer = module.split("::").next().unwrap_or_default();
        LAYERS.iter().position(|name| *name == layer)
    };
    let modules = modules();
    assert!(modules.len() > 50, "{} modules", modules.len());
    for (module, text) in &modules {
        let own = layer_of(module).unwrap_or_else(|| panic!("{module} is in no layer"));
        for import in imports(text) {
            let Some(other) = layer_of(&import) else { continue };
            assert!(other <= own, "{module} imports {import}, which lies above it");
        }
    }
}

/// Modules that import each other in a cycle can only be understood all at once.
#[test]
fn no_cycle_has_more_than_three_modules() {
    let modules = modules();
    let resolve = |import: &str| {
        let parts: Vec<&str> = import.split("::").collect();
        (1..=parts.len()).rev().map(|n| parts[..n].join("::")).find(|m| modules.contains_key(m))
    };
    let graph: BTreeMap<&String, BTreeSet<String>> = modules
        .iter()
        .map(|(module, text)| (module, imports(text).iter().filter_map(|i| resolve(i)).collect()))
        .collect();
    let reachable_from = |from: &String| {
        let (mut seen, mut next) = (BTreeSet::new(), vec![from.clone()]);
        while let Some(module) = next.pop() {
            for import in &graph[&module] {
                if seen.insert(import.clone()) {
                    next.push(import.clone());
                }
            }
        }
        seen
    };
    let reachable: BTreeMap<&String, BTreeSet<String>> =
        graph.keys().map(|module| (*module, reachable_from(module))).collect();
    for (module, reached) in &reachable {
        let cycle =
            reached.iter().filter(|other| *other != *module && reachable[other].contains(*module));
        let cycle: Vec<_> = cycle.collect();
        assert!(cycle.len() < 3, "{module} is in an import cycle with {cycle:?}");
    }
}
