//! The daemon's command line: help, version and errors for invalid arguments.

use std::process::{Command, Output};

fn turmericrail(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_turmericrail")).args(arguments).output().unwrap()
}

#[test]
fn help_and_version() {
    let output = turmericrail(&["--version"]);
    assert!(output.status.success());
    assert_eq!(output.stdout, b"turmericrail 0.1.0\n");
    let output = turmericrail(&["--help"]);
    assert!(output.status.success());
    assert!(String::from_utf8(output.stdout).unwrap().contains("--settings"));
}

#[test]
fn invalid_arguments() {
    let table: [(&[&str], &str); 3] = [
        (&[], "pass --settings <file>"),
        (&["--settings", "no-such-file.yaml"], "can't read settings no-such-file.yaml"),
        (&["--bogus"], "--bogus"),
    ];
    for (arguments, expected) in table {
        let output = turmericrail(arguments);
        assert_eq!(output.status.code(), Some(1), "{arguments:?}");
        let errors = String::from_utf8(output.stderr).unwrap();
        assert!(errors.contains(expected), "{arguments:?}: {errors}");
    }
}
