//! Size limits for the decision modules, which on-call engineers have to read.

use std::path::{Path, PathBuf};

const MAX_LINES: usize = 300;
const MAX_LINE_LENGTH: usize = 110;

fn rust_files(directory: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(directory).expect("read the directory");
    entries
        .map(|entry| entry.expect("read a directory entry").path())
        .flat_map(|path| match path.is_dir() {
            true => rust_files(&path),
            false => vec![path],
        })
        .filter(|path| path.extension().is_some_and(|extension| extension == "rs"))
        .collect()
}

#[test]
fn each_decision_module_is_short_and_opens_with_a_module_doc() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/balancer");
    let files = rust_files(&directory);
    assert!(
        files.contains(&directory.join("mod.rs")) && files.contains(&directory.join("api/mod.rs")),
        "{} does not hold the decision modules: {files:?}",
        directory.display()
    );
    for file in files {
        let name = file.display();
        let text = std::fs::read_to_string(&file).expect("read the file");
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(
            lines <= MAX_LINES,
            "{name}: {lines} non-blank lines, at most {MAX_LINES} allowed"
        );
        for (index, line) in text.lines().enumerate() {
            let length = line.chars().count();
            assert!(
                length <= MAX_LINE_LENGTH,
                "{name}: line {} has {length} characters, at most {MAX_LINE_LENGTH} allowed",
                index + 1
            );
        }
        let first_line = text.lines().next().unwrap_or("");
        assert!(
            first_line.starts_with("//! ") && first_line.len() > "//! ".len(),
            "{name}: must open with a module doc, but opens with '{first_line}'"
        );
    }
}
