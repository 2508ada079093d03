//! Checks that docs/OPERATIONS.md lists exactly the settings, configuration keys, metrics, log
//! events, error kinds and words of the command lines that the code has.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use turmericrail_core::error_kind::ErrorKind;

const PAGE: &str = "docs/OPERATIONS.md";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &str) -> String {
    std::fs::read_to_string(root().join(path)).unwrap()
}

/// Texts of all source files in a folder and its subfolders.
fn sources(folder: &str) -> Vec<String> {
    let mut texts = Vec::new();
    let mut folders = vec![root().join(folder)];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            if path.extension().is_some_and(|extension| extension == "rs") {
                texts.push(std::fs::read_to_string(path).unwrap());
            }
        }
    }
    texts
}

/// Lines of a section of the page.
fn section(title: &str) -> Vec<String> {
    let page = read(PAGE);
    let heading = format!("## {title}");
    let lines = page.lines().skip_while(|line| *line != heading).skip(1);
    let lines: Vec<_> =
        lines.take_while(|line| !line.starts_with("## ")).map(str::to_owned).collect();
    assert!(!lines.is_empty(), "{PAGE} has no section {title:?}");
    lines
}

/// Names in the first column of a section's tables; of a path of keys the last key.
fn documented(title: &str) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for line in section(title) {
        let Some(name) = line.strip_prefix("| `").and_then(|rest| rest.split('`').next()) else {
            continue;
        };
        names.insert(name.rsplit('.').next().unwrap_or(name).to_owned());
    }
    names
}

fn compare(title: &str, in_code: &BTreeSet<String>) {
    assert!(in_code.len() > 2, "the code's names for section {title:?} were not found");
    let on_page = documented(title);
    let missing: Vec<_> = in_code.difference(&on_page).collect();
    let unknown: Vec<_> = on_page.difference(in_code).collect();
    assert!(
        missing.is_empty() && unknown.is_empty(),
        "{PAGE}, section {title:?}: add a row `| `name` | …` for each of {missing:?}; remove the \
         rows of {unknown:?}, which the code lacks"
    );
}

/// Names of the public fields of a source text.
fn fields(text: &str) -> BTreeSet<String> {
    let lines = text.lines().filter_map(|line| line.strip_prefix("    pub "));
    let names = lines.filter_map(|line| line.split_once(": ")).map(|(name, _)| name);
    names.filter(|name| !name.contains([' ', '('])).map(str::to_owned).collect()
}

/// Names that follow each occurrence of a marker.
fn names_after(text: &str, marker: &str) -> BTreeSet<String> {
    let is_part = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '_';
    let found = text.split(marker).skip(1);
    let names = found.map(|rest| rest.chars().take_while(|c| is_part(*c)).collect::<String>());
    names.filter(|name| !name.is_empty()).collect()
}

#[test]
fn settings() {
    compare("Settings", &fields(&read("crates/turmericrail/src/settings.rs")));
}

#[test]
fn forwarding_settings() {
    let in_code = fields(&read("crates/turmericrail/src/forward/settings.rs"));
    compare("Forwarding settings", &in_code);
}

#[test]
fn configuration_keys() {
    let mut keys = BTreeSet::new();
    for file in ["document", "role_schedule", "window"] {
        keys.extend(fields(&read(&format!("crates/core/src/config/{file}.rs"))));
    }
    compare("Configuration", &keys);
}

#[test]
fn metrics() {
    let mut names = BTreeSet::new();
    for text in sources("crates/turmericrail/src") {
        let found = names_after(&text, "\"turmericrail_");
        names.extend(found.into_iter().map(|name| format!("turmericrail_{name}")));
    }
    compare("Metrics", &names);
}

#[test]
fn log_events() {
    let mut events = BTreeSet::new();
    for text in sources("crates/turmericrail/src") {
        events.extend(names_after(&text, "event="));
        let compact: String = text.split_whitespace().collect();
        events.extend(names_after(&compact, "log_call(context,\""));
    }
    for text in sources("crates/core/src") {
        let compact: String = text.split_whitespace().collect();
        events.extend(names_after(&compact, ".log(\""));
    }
    compare("Log events", &events);
}

#[test]
fn error_kinds() {
    let names = ErrorKind::ALL.iter().map(|kind| kind.to_string()).collect();
    compare("Error kinds", &names);
    let lines = section("Error kinds");
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let retry = if answer.has_retry_after { "yes" } else { "no" };
        let row = format!(
            "| `{kind}` | {} | `{}` | {retry} | {} |",
            answer.status, answer.outcome, answer.meaning
        );
        let documented_row = lines.iter().find(|line| line.starts_with(&format!("| `{kind}` ")));
        assert_eq!(
            documented_row,
            Some(&row),
            "{PAGE}, section \"Error kinds\": write the row as the right"
        );
    }
}

#[test]
fn command_lines() {
    let mut words = BTreeSet::new();
    for file in ["crates/turmericrail/src/cli.rs", "crates/turmericctl/src/cli.rs"] {
        let text = read(file);
        words.extend(names_after(&text, "name = \""));
        for kind in ["option", "switch"] {
            let marker = format!("#[argh({kind})]\n    ");
            for rest in text.split(&marker).skip(1) {
                let field = rest.split(':').next().unwrap_or_default();
                let name = field.trim_start_matches("pub ").replace('_', "-");
                words.insert(format!("--{name}"));
            }
        }
    }
    compare("Command lines", &words);
}
