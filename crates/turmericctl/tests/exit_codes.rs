//! Exit codes, help and version.

mod common;

use common::{example, turmericctl};

/// An address that nothing listens on.
const NOBODY: &str = "127.0.0.1:1";

#[test]
fn usage_errors() {
    let table: [(&[&str], &str); 7] = [
        (&[], "no command"),
        (&["check"], "nothing to check"),
        (&["patch", "p.yaml"], "pass --configuration <file> or --platform <address>"),
        (
            &["patch", "p.yaml", "--configuration", "c.yaml", "--platform", NOBODY],
            "pass only one of",
        ),
        (&["status"], "no instance"),
        (&["explain", NOBODY, "seven"], "seven"),
        (&["bogus"], "bogus"),
    ];
    for (arguments, says) in table {
        let run = turmericctl(arguments);
        assert_eq!(run.code, 2, "{arguments:?}: {}", run.stderr);
        assert!(run.stderr.contains(says), "{arguments:?}: {}", run.stderr);
        assert_eq!(run.stdout, "");
    }
}

#[test]
fn unreadable() {
    let base = example("configuration.yaml");
    let table: [&[&str]; 5] = [
        &["check", "--settings", "no-such-file.yaml"],
        &["patch", "no-such-file.yaml", "--configuration", base.to_str().unwrap()],
        &["status", NOBODY],
        &["status", NOBODY, "--json"],
        &["explain", NOBODY, "7"],
    ];
    for arguments in table {
        let run = turmericctl(arguments);
        assert_eq!(run.code, 3, "{arguments:?}: {}{}", run.stdout, run.stderr);
    }
}

#[test]
fn help_and_version() {
    let run = turmericctl(&["--version"]);
    assert_eq!((run.code, run.stdout.as_str()), (0, "turmericctl 0.1.0\n"));
    let run = turmericctl(&["--help"]);
    assert_eq!(run.code, 0);
    for word in ["check", "patch", "status", "explain", "Exit codes"] {
        assert!(run.stdout.contains(word), "{}", run.stdout);
    }
    for command in ["check", "patch", "status", "explain"] {
        let run = turmericctl(&[command, "--help"]);
        assert_eq!(run.code, 0);
        assert!(run.stdout.contains("--json"));
    }
}
