//! Packages are named after what they hold, and none imports in a circle: read off the sources.
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// The names behind `crate::`, also those of a list in braces.
fn imports(text: &str) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for rest in text.split("crate::").skip(1) {
        let word = |s: &str| s.chars().take_while(|c| c.is_alphanumeric() || *c == '_').collect::<String>();
        let Some(list) = rest.strip_prefix('{') else {
            found.insert(word(rest));
            continue;
        };
        let (mut depth, mut start) = (1, true);
        for (at, c) in list.char_indices() {
            match c {
                '{' => depth += 1,
                '}' => depth -= 1,
                ',' if depth == 1 => start = true,
                _ if start && c.is_alphanumeric() => {
                    found.insert(word(&list[at..]));
                    start = false;
                }
                _ => {}
            }
            if depth == 0 {
                break;
            }
        }
    }
    found
}

/// What a file says outside its comments.
fn code(path: &Path) -> String {
    let text = std::fs::read_to_string(path).expect("a source");
    text.lines().filter(|l| !l.trim_start().starts_with("//")).collect::<Vec<_>>().join("\n")
}

fn sources(of: &Path) -> Vec<std::path::PathBuf> {
    if of.is_file() {
        return vec![of.into()];
    }
    let inside = std::fs::read_dir(of).expect("a folder").map(|e| e.expect("an entry").path());
    inside.flat_map(|p| sources(&p)).collect()
}

/// For each package, those that it imports.
fn packages(src: &Path) -> BTreeMap<String, BTreeSet<String>> {
    let mut all = BTreeMap::new();
    for entry in std::fs::read_dir(src).expect("the sources") {
        let path = entry.expect("an entry").path();
        let name = path.file_stem().expect("a name").to_string_lossy().to_string();
        if ["lib", "main", "bin"].contains(&name.as_str()) {
            continue;
        }
        // Tests of private modules stand beside them, in files of their own.
        let files = sources(&path).into_iter().filter(|p| !p.ends_with("tests.rs"));
        // Types stand at the root as well; all but one are the interface's.
        let home = |n: String| match n.as_str() {
            "Balancer" => "logic".to_string(),
            _ if n.starts_with(char::is_uppercase) => "interface".to_string(),
            _ => n,
        };
        let to: BTreeSet<String> = files.flat_map(|p| imports(&code(&p))).map(home).collect();
        // A package may be a file and a folder of the same name.
        let known: &mut BTreeSet<String> = all.entry(name.clone()).or_default();
        known.extend(to.into_iter().filter(|n| *n != name));
    }
    all
}

/// What is left once all that import nothing more are taken away: the circles, and what leads to them.
fn circles(mut all: BTreeMap<String, BTreeSet<String>>) -> Vec<String> {
    loop {
        let low: Vec<String> = all.iter().filter(|(_, to)| to.is_empty()).map(|(n, _)| n.clone()).collect();
        if low.is_empty() {
            return all.into_iter().map(|(name, to)| format!("{name} -> {to:?}")).collect();
        }
        low.iter().for_each(|n| drop(all.remove(n)));
        all.values_mut().for_each(|to| to.retain(|n| !low.contains(n)));
    }
}

#[test]
fn no_package_imports_in_a_circle() {
    let all = packages(Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/src")));
    assert!(all.len() > 20 && all["exchange"].contains("core"), "{all:?}");
    let known: BTreeSet<&String> = all.keys().collect();
    assert!(all.values().flatten().all(|n| known.contains(n)), "a name that is no package: {all:?}");
    assert_eq!(circles(all), Vec::<String>::new());
}

/// Tests live in test files: `tests/`, or `tests.rs` beside a private module.
#[test]
fn no_source_holds_its_tests_itself() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = ["src", "crates/lab/src"].iter().flat_map(|s| sources(&root.join(s)));
    let inline = |p: &std::path::PathBuf| {
        let is_test = p.ends_with("tests.rs");
        let text = std::fs::read_to_string(p).expect("a source");
        !is_test && (text.contains("mod tests {") || text.contains("#[test]"))
    };
    assert_eq!(files.filter(inline).collect::<Vec<_>>(), Vec::<std::path::PathBuf>::new());
}

#[test]
fn a_circle_is_found() {
    let of = |to: &[&str]| to.iter().map(|n| n.to_string()).collect::<BTreeSet<_>>();
    let all = BTreeMap::from([("a".into(), of(&["b"])), ("b".into(), of(&["a"])), ("c".into(), of(&[]))]);
    assert_eq!(circles(all).len(), 2);
    assert_eq!(
        imports("use crate::{as2, core::{Try, x}, Outcome}; crate::fault::why()"),
        of(&["as2", "core", "Outcome", "fault"])
    );
}
