//! Tests of the source layout: the modules of the crate do not import each other in a cycle, and tests live in test files.
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Returns the names that follow `crate::`, including each name of a list in braces.
fn imports(text: &str) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for rest in text.split("crate::").skip(1) {
        let identifier =
            |text: &str| text.chars().take_while(|c| c.is_alphanumeric() || *c == '_').collect::<String>();
        let Some(list) = rest.strip_prefix('{') else {
            names.insert(identifier(rest));
            continue;
        };
        let (mut depth, mut at_item_start) = (1, true);
        for (index, c) in list.char_indices() {
            match c {
                '{' => depth += 1,
                '}' => depth -= 1,
                ',' if depth == 1 => at_item_start = true,
                _ if at_item_start && c.is_alphanumeric() => {
                    names.insert(identifier(&list[index..]));
                    at_item_start = false;
                }
                _ => {}
            }
            if depth == 0 {
                break;
            }
        }
    }
    names
}

/// Returns the text of a file without its comment lines.
fn code(path: &Path) -> String {
    let text = std::fs::read_to_string(path).expect("the source file is readable");
    text.lines().filter(|line| !line.trim_start().starts_with("//")).collect::<Vec<_>>().join("\n")
}

/// Returns the files in a folder and its subfolders, or the path itself if it is a file.
fn source_files(path: &Path) -> Vec<std::path::PathBuf> {
    if path.is_file() {
        return vec![path.into()];
    }
    let entries = std::fs::read_dir(path).expect("the folder is readable");
    let paths = entries.map(|entry| entry.expect("the entry is readable").path());
    paths.flat_map(|path| source_files(&path)).collect()
}

/// Returns the top-level modules that each top-level module imports.
fn module_imports(src: &Path) -> BTreeMap<String, BTreeSet<String>> {
    let mut modules = BTreeMap::new();
    for entry in std::fs::read_dir(src).expect("the source folder is readable") {
        let path = entry.expect("the entry is readable").path();
        let name = path.file_stem().expect("a file name").to_string_lossy().to_string();
        if ["lib", "main", "bin"].contains(&name.as_str()) {
            continue;
        }
        // Tests of private modules are in separate files, which do not count.
        let files = source_files(&path).into_iter().filter(|path| !path.ends_with("tests.rs"));
        // The crate root re-exports types: Balancer from `logic`, all others from `interface`.
        let module_of = |name: String| match name.as_str() {
            "Balancer" => "logic".to_string(),
            _ if name.starts_with(char::is_uppercase) => "interface".to_string(),
            _ => name,
        };
        let imported: BTreeSet<String> =
            files.flat_map(|path| imports(&code(&path))).map(module_of).collect();
        // A module may consist of a file and a folder of the same name.
        let known: &mut BTreeSet<String> = modules.entry(name.clone()).or_default();
        known.extend(imported.into_iter().filter(|module| *module != name));
    }
    modules
}

/// Removes modules without remaining imports until there are none (topological sort). Returns the rest: the modules in
/// cycles and those that import them.
fn cycles(mut modules: BTreeMap<String, BTreeSet<String>>) -> Vec<String> {
    loop {
        let leaves: Vec<String> = modules
            .iter()
            .filter(|(_, imported)| imported.is_empty())
            .map(|(module, _)| module.clone())
            .collect();
        if leaves.is_empty() {
            return modules
                .into_iter()
                .map(|(module, imported)| format!("{module} -> {imported:?}"))
                .collect();
        }
        leaves.iter().for_each(|leaf| drop(modules.remove(leaf)));
        modules.values_mut().for_each(|imported| imported.retain(|module| !leaves.contains(module)));
    }
}

#[test]
fn modules_do_not_import_each_other_in_a_cycle() {
    let modules = module_imports(Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/src")));
    assert!(modules.len() > 20 && modules["exchange"].contains("core"), "{modules:?}");
    let known: BTreeSet<&String> = modules.keys().collect();
    assert!(
        modules.values().flatten().all(|module| known.contains(module)),
        "an import that is not a module: {modules:?}"
    );
    assert_eq!(cycles(modules), Vec::<String>::new());
}

/// Tests live in test files: in `tests/`, or in `tests.rs` beside a private module.
#[test]
fn source_files_contain_no_tests() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = ["src", "crates/lab/src"].iter().flat_map(|folder| source_files(&root.join(folder)));
    let contains_tests = |path: &std::path::PathBuf| {
        let is_test_file = path.ends_with("tests.rs");
        let text = std::fs::read_to_string(path).expect("the source file is readable");
        !is_test_file && (text.contains("mod tests {") || text.contains("#[test]"))
    };
    assert_eq!(files.filter(contains_tests).collect::<Vec<_>>(), Vec::<std::path::PathBuf>::new());
}

#[test]
fn imports_and_cycles_are_found() {
    let set = |names: &[&str]| names.iter().map(|name| name.to_string()).collect::<BTreeSet<_>>();
    let modules =
        BTreeMap::from([("a".into(), set(&["b"])), ("b".into(), set(&["a"])), ("c".into(), set(&[]))]);
    assert_eq!(cycles(modules).len(), 2);
    assert_eq!(
        imports("use crate::{as2, core::{Try, x}, Outcome}; crate::fault::why()"),
        set(&["as2", "core", "Outcome", "fault"])
    );
}
