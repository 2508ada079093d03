//! Exit codes, help and version.

mod common;

use common::{example, turmericctl};

/// Address on which nothing listens.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";

#[test]
fn usage_errors() {
    let table: [(&[&str], &str); 7] = [
        (&[], "no command"),
        (&["check"], "nothing to check"),
        (&["patch", "p.yaml"], "pass --configuration <file> or --platform <address>"),
        (
            &["patch", "p.yaml", "--configuration", "c.yaml", "--platform", UNUSED_ADDRESS],
            "pass only one of",
        ),
        (&["status"], "no instance"),
        (&["explain", UNUSED_ADDRESS, "seven"], "seven"),
        (&["bogus"], "bogus"),
    ];
    for (arguments, expected) in table {
        let run = turmericctl(arguments);
        assert_eq!(run.exit_code, 2, "{arguments:?}: {}", run.stderr);
        assert!(run.stderr.contains(expected), "{arguments:?}: {}", run.stderr);
        assert_eq!(run.stdout, "");
    }
}

#[test]
fn unreadable_files_and_instances() {
    let base = example("configuration.yaml");
    let table: [&[&str]; 5] = [
        &["check", "--settings", "no-such-file.yaml"],
        &["patch", "no-such-file.yaml", "--configuration", base.to_str().unwrap()],
        &["status", UNUSED_ADDRESS],
        &["status", UNUSED_ADDRESS, "--json"],
        &["explain", UNUSED_ADDRESS, "7"],
    ];
    for arguments in table {
        let run = turmericctl(arguments);
        assert_eq!(run.exit_code, 3, "{arguments:?}: {}{}", run.stdout, run.stderr);
    }
}

#[test]
fn help_and_version() {
    let run = turmericctl(&["--version"]);
    assert_eq!((run.exit_code, run.stdout.as_str()), (0, "turmericctl 0.1.0\n"));
    let run = turmericctl(&["--help"]);
    assert_eq!(run.exit_code, 0);
    for word in ["check", "diff", "patch", "status", "explain", "Exit codes"] {
        assert!(run.stdout.contains(word), "{}", run.stdout);
    }
    for command in ["check", "diff", "patch", "status", "explain"] {
        let run = turmericctl(&[command, "--help"]);
        assert_eq!(run.exit_code, 0);
        assert!(run.stdout.contains("--json"));
    }
}
