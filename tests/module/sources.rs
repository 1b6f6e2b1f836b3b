//! Checks of the decision module's source files.
/// Returns the source files of the decision module: its root files and the files of their folders.
fn module_sources() -> Vec<std::path::PathBuf> {
    let src = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut files = vec![src.join("logic.rs"), src.join("state.rs"), src.join("interface.rs")];
    for folder in ["interface", "logic", "state"] {
        let entries = std::fs::read_dir(src.join(folder)).expect("a folder of sources");
        let paths = entries.map(|entry| entry.expect("an entry").path());
        files.extend(paths.filter(|path| path.extension().is_some_and(|extension| extension == "rs")));
    }
    files
}

#[test]
fn each_file_of_the_module_is_short_and_documented() {
    let files = module_sources();
    assert!(files.len() > 20, "{files:?}");
    for file in files {
        let text = std::fs::read_to_string(&file).expect("a source");
        let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
        assert!(lines <= 400, "{}: {lines} lines", file.display());
        let widest = text.lines().map(|l| l.chars().count()).max().unwrap_or(0);
        assert!(widest <= 110, "{}: {widest} columns", file.display());
        assert!(text.starts_with("//! "), "{}: no module doc comment", file.display());
    }
    // The doc comment of the root names the file with the types, so that a reader of `logic` alone finds them.
    let root = include_str!("../../src/logic.rs");
    assert!(root.lines().take(3).any(|l| l.contains("interface.rs")));
}
