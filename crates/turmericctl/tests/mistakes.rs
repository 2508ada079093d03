//! `check` refuses each mistake in a settings or configuration file, and its error names the line
//! and what to change.

mod common;

use common::{TempFolder, example, turmericctl};

/// A mistake, made by replacing a text in an example file.
struct Mistake {
    name: &'static str,
    from: &'static str,
    to: &'static str,
    /// Text in the line whose number the error must name.
    line: &'static str,
    /// Texts that the error must contain.
    expected_texts: &'static [&'static str],
}

/// Instance id of 70 letters; 64 are allowed.
const LONG_ID: &str = "aaaaaaaaaabbbbbbbbbbccccccccccddddddddddeeeeeeeeeeffffffffffgggggggggg";

fn mistake(
    name: &'static str,
    from: &'static str,
    to: &'static str,
    line: &'static str,
    expected_texts: &'static [&'static str],
) -> Mistake {
    Mistake { name, from, to, line, expected_texts }
}

fn check_mistakes(kind: &str, table: &[Mistake]) {
    let good = std::fs::read_to_string(example(&format!("{kind}.yaml"))).unwrap();
    let folder = TempFolder::new(kind);
    let option = format!("--{kind}");
    for mistake in table {
        assert!(good.contains(mistake.from), "{}: nothing to replace", mistake.name);
        let bad = good.replacen(mistake.from, mistake.to, 1);
        let number = bad.lines().position(|line| line.contains(mistake.line)).unwrap() + 1;
        let path = folder.write("bad.yaml", &bad);
        let run = turmericctl(&["check", &option, &path]);
        assert_eq!(run.exit_code, 1, "{}: {}{}", mistake.name, run.stdout, run.stderr);
        let prefix = format!("turmericctl: {path}: line {number}: ");
        assert!(run.stderr.starts_with(&prefix), "{}: {}", mistake.name, run.stderr);
        for expected in mistake.expected_texts {
            assert!(run.stderr.contains(expected), "{}: {}", mistake.name, run.stderr);
        }
        assert_eq!(run.stderr.lines().count(), 1, "{}: {}", mistake.name, run.stderr);
        check_json_error(&option, &path, number);
    }
}

fn check_json_error(option: &str, path: &str, number: usize) {
    let run = turmericctl(&["check", option, path, "--json"]);
    assert_eq!(run.exit_code, 1);
    let shown: serde_json::Value = serde_json::from_str(&run.stdout).unwrap();
    assert_eq!(shown["ok"], false);
    assert_eq!(shown["line"], number);
    assert_eq!(run.stderr, "");
}

#[test]
fn invalid_settings_are_refused() {
    let table = [
        mistake(
            "unknown field",
            "log_level",
            "loglevel",
            "loglevel",
            &["unknown field `loglevel`"],
        ),
        mistake("missing field", "deployment: example\n", "", "# Settings", &["deployment"]),
        mistake("bad unit", "10s", "10sec", "10sec", &["receive_timeout_ms", "ms, s, m, h"]),
        mistake("unit of another kind", "1MiB", "1s", "1s", &["max_body_bytes", "KB, MB, GB"]),
        mistake("fraction", "10s", "0.5", "0.5", &["a whole number in the unit", "such as 2s"]),
        mistake("negative", "10s", "-5", "-5", &["a whole number in the unit"]),
        mistake("quoted number", "10s", "\"10\"", "\"10\"", &["\"10\"", "ms, s, m, h"]),
        mistake("zero", "10s", "0", "receive_timeout_ms: 0", &["more than zero"]),
        mistake("huge", "10s", "99999999999999999h", "99999", &["too large"]),
        mistake(
            "host name",
            "127.0.0.1:8080",
            "localhost:8080",
            "localhost",
            &["IP number and port"],
        ),
        mistake("no port", "127.0.0.1:8081", "127.0.0.1", "peer_address", &["IP number and port"]),
        mistake("port zero", "127.0.0.1:8080", "127.0.0.1:0", ":0 ", &["caller_address", "port"]),
        mistake(
            "any peer",
            "127.0.0.1:8081",
            "0.0.0.0:8081",
            "0.0.0.0",
            &["peer_address", "reach"],
        ),
        mistake(
            "duplicate address",
            "127.0.0.1:8081",
            "127.0.0.1:8080",
            "peer_address",
            &["duplicate address", "caller_address"],
        ),
        mistake(
            "duplicate by any address",
            "127.0.0.1:8080",
            "0.0.0.0:8081",
            "peer_address",
            &["duplicate address", "caller_address"],
        ),
        mistake(
            "small buffer",
            "max_buffered_bytes: 128MiB",
            "max_buffered_bytes: 1KiB",
            "max_buffered_bytes",
            &["max_body_bytes", "raise"],
        ),
        mistake("short key", "change-me-0123456789", "short", "short", &["seal_key", "16 bytes"]),
        mistake("long id", "dakar-1-1", LONG_ID, LONG_ID, &["instance", "64 characters"]),
        mistake("log level", "level: info", "level: loud", "loud", &["log_level", "debug"]),
        mistake(
            "empty deployment",
            "deployment: example",
            "deployment: \"\"",
            "deployment",
            &["name"],
        ),
        mistake("no threads", "threads: 2", "threads: 0", "threads: 0", &["1 to 64"]),
        mistake("bad id", "dakar-1-1", "dakar/1", "dakar/1", &["instance", "letters, digits"]),
        mistake("duplicate key", "log_level: info", "instance: a", "instance: a", &["duplicate"]),
    ];
    check_mistakes("settings", &table);
}

#[test]
fn invalid_configurations_are_refused() {
    let table = [
        mistake("unknown field", "idempotent", "idempotnet", "idempotnet", &["`idempotnet`"]),
        mistake("bad unit", "100ms", "100tokens", "100tokens", &["per_token_ms", "ms, s, m, h"]),
        mistake("zero target", "100ms", "0ms", "0ms", &["per_token_ms", "more than zero"]),
        mistake(
            "overlap",
            "from: \"20:00\"",
            "from: \"19:00\"",
            "night: {from",
            &["overlaps window \"day\" from 19:00 to 20:00", "move"],
        ),
        mistake(
            "missing window",
            "from: \"07:00\"",
            "from: \"08:00\"",
            "windows:",
            &["missing window from 07:00 to 08:00", "add one"],
        ),
        mistake(
            "missing end of day",
            "until: \"24:00\"",
            "until: \"23:00\"",
            "whole day",
            &["missing window from 23:00 to 24:00"],
        ),
        mistake("bad time", "from: \"07:00\"", "from: \"7am\"", "7am", &["HH:MM"]),
        mistake("time zone", "Africa/Dakar", "Africa/Daker", "Daker", &["time zone", "IANA"]),
        mistake("weight", "goodput_weight: 3.0", "goodput_weight: -1.0", "-1.0", &["zero or more"]),
        mistake(
            "unknown server",
            "[desk-1]",
            "[desk-9]",
            "[desk-9]",
            &["unknown server \"desk-9\""],
        ),
        mistake(
            "wrong role",
            "[desk-1]",
            "[decode-1]",
            "servers: [decode-1]",
            &["wrong role decode", "plain"],
        ),
        mistake(
            "plain server for a model",
            "[prefill-1, decode-1, decode-2]",
            "[prefill-1, desk-1]",
            "[prefill-1, desk-1]",
            &["wrong role plain", "prefill or decode"],
        ),
        mistake("unknown role", "role: prefill", "role: encode", "encode", &["encode", "decode"]),
        mistake("server twice", "[desk-1]", "[desk-1, desk-1]", "desk-1, desk-1", &["duplicate"]),
        mistake("duplicate address", ":9103", ":9102", "decode-2:", &["duplicate", "decode-1"]),
        mistake("server without port", ":9103", ":0", "decode-2:", &["can't be reached"]),
        mistake(
            "duplicate route",
            "method: POST\n    path: /slots/{slot}/bookings",
            "method: GET\n    path: /stock/{other}",
            "path: /stock/{board}",
            &["duplicate route", "book-slot"],
        ),
        mistake("method", "method: GET", "method: FETCH", "FETCH", &["unknown method", "GET"]),
        mistake("path without slash", "path: /stock", "path: stock", "path: stock", &["start it"]),
        mistake("open brace", "{board}", "{board", "path: /stock/{board", &["braces"]),
        mistake("empty segment", "/stock/{board}", "/stock//x", "/stock//x", &["segment is empty"]),
        mistake("reserved path", "/stock/{board}", "/v1/x", "/v1/x", &["serves this path itself"]),
        mistake(
            "default version",
            "default_version: v1",
            "default_version: v2",
            "v2",
            &["not served"],
        ),
        mistake("pieces", "piece: 16", "piece: 0", "piece: 0", &["at least 1"]),
        mistake(
            "link",
            "limits:",
            "links:\n  dakar-1.thies: {rate_bytes_per_second: 1GB/s}\nlimits:",
            "dakar-1.thies",
            &["data centres"],
        ),
        mistake("no mapping", "caller_kinds:", "caller_kinds: [", "caller_kinds: [", &["mapping"]),
    ];
    check_mistakes("configuration", &table);
}

#[test]
fn examples_are_valid() {
    for kind in ["settings", "configuration"] {
        let path = example(&format!("{kind}.yaml"));
        let run = turmericctl(&["check", &format!("--{kind}"), path.to_str().unwrap()]);
        assert_eq!(run.exit_code, 0, "{}", run.stderr);
        assert!(run.stdout.contains(&format!("good {kind}")));
    }
}
