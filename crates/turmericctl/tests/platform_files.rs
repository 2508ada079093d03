//! `check --platform` and `diff`: findings, differences, exit codes, and keys that stay hidden.

mod common;

use common::{RunOutput, TempFolder, turmericctl};
use serde_json::{Value, json};

/// Text of every key in these tests.
const KEY: &str = "sesame";

fn clean() -> Value {
    json!({
        "version": 3,
        "routes": [{"name": "r", "host": "a.example", "pathPrefix": "/r/", "kind": "safe",
            "timeoutMs": 900, "latencyTargetMs": 300, "gapAimMs": 299, "service": "s",
            "priority": 9}],
        "services": [{"name": "s"}],
        "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 65536, "headerTimeoutMs": 500,
            "idleTimeoutMs": 5000},
        "tenants": [{"name": "shops", "apiKeys": ["sesame-1"], "unit": "token_count",
            "plainTokens": 200, "ratePerS": 1000, "burst": 200}],
    })
}

fn changed(change: impl Fn(&mut Value)) -> Value {
    let mut document = clean();
    change(&mut document);
    document
}

fn second_route(document: &mut Value, name: &str, path_prefix: &str) {
    let mut route = document["routes"][0].clone();
    route["name"] = json!(name);
    route["pathPrefix"] = json!(path_prefix);
    document["routes"].as_array_mut().unwrap().push(route);
}

/// Runs the command; no output may show a key.
fn run(arguments: &[&str]) -> RunOutput {
    let run = turmericctl(arguments);
    let output = format!("{}{}", run.stdout, run.stderr);
    assert!(!output.contains(KEY), "{output}");
    run
}

fn check(name: &str, text: &str) -> RunOutput {
    let folder = TempFolder::new(name);
    run(&["check", "--platform", &folder.write("c.json", text)])
}

fn diff(name: &str, new: &Value, format: &[&str]) -> RunOutput {
    let folder = TempFolder::new(name);
    let old = folder.write("old.json", &clean().to_string());
    let new = folder.write("new.json", &new.to_string());
    run(&[&["diff", &old, &new], format].concat())
}

/// Guards against false findings in a configuration whose values are at their bounds.
#[test]
fn clean_configuration() {
    let run = check("clean", &clean().to_string());
    assert_eq!(run.exit_code, 0, "{}", run.stdout);
    let nested = changed(|it| second_route(it, "longer", "/r/x/"));
    assert_eq!(check("nested", &nested.to_string()).exit_code, 0);
}

/// Guards against mistakes that are overlooked.
#[test]
fn each_finding() {
    let table: [(Value, &str); 12] = [
        (changed(|it| second_route(it, "b", "/r/")), "route b: never matches: route r before it"),
        (changed(|it| second_route(it, "r", "/x/")), "route r: another route has this name"),
        (changed(|it| it["routes"][0]["pathPrefix"] = json!("r/")), "doesn't begin with a slash"),
        (
            changed(|it| it["routes"][0]["backends"] = json!([{"service": "s", "weight": 0}])),
            "route r: service s has weight 0",
        ),
        (
            changed(|it| it["routes"][0]["timeoutMs"] = json!(299)),
            "route r: timeout of 299ms is below the target of 300ms",
        ),
        (changed(|it| it["routes"][0]["gapAimMs"] = json!(901)), "below the gap target of 901ms"),
        (changed(|it| it["routes"][0]["priority"] = json!(10)), "route r: priority 10"),
        (changed(|it| it["tenants"][0]["priority"] = json!(10)), "tenant shops: priority 10"),
        (changed(|it| it["tenants"][0]["burst"] = json!(199)), "tenant shops: cap allows 199"),
        (changed(|it| it["tenants"][0]["apiKeys"] = json!([])), "tenant shops: has no key"),
        (changed(|it| it["routes"][0]["service"] = json!("none")), "route r: no service none"),
        (
            changed(|it| {
                let mut tenant = it["tenants"][0].clone();
                tenant["name"] = json!("other");
                it["tenants"].as_array_mut().unwrap().push(tenant);
            }),
            "hold the same API key",
        ),
    ];
    for (document, expected) in table {
        let run = check("findings", &document.to_string());
        assert_eq!(run.exit_code, 1, "{expected}: {}{}", run.stdout, run.stderr);
        assert!(run.stdout.contains(expected), "{expected}: {}", run.stdout);
        assert_eq!(run.stdout.lines().count(), 1, "{}", run.stdout);
    }
}

/// Guards against keys in the error of a configuration that has them in the wrong place.
#[test]
fn misplaced_keys() {
    for tenants in [
        json!(KEY),
        json!([KEY]),
        json!({KEY: 1}),
        json!([{"apiKeys": KEY}]),
        json!([{"name": "a", "priority": KEY}]),
    ] {
        let run = check("misplaced", &changed(|it| it["tenants"] = tenants.clone()).to_string());
        assert_eq!(run.exit_code, 1, "{}", run.stderr);
    }
}

/// Guards against unreadable files that count as findings, or as clean.
#[test]
fn unreadable_files() {
    assert_eq!(check("cut", &clean().to_string()[..90]).exit_code, 2);
    assert_eq!(check("empty", "").exit_code, 2);
    assert_eq!(run(&["check", "--platform", "no-such-file.json"]).exit_code, 2);
    assert_eq!(run(&["diff", "no-such-file.json", "no-such-file.json"]).exit_code, 2);
    assert_eq!(diff("invalid", &json!({"version": 4}), &[]).exit_code, 2);
    let both = ["check", "--platform", "a.json", "--forward", "b.yaml"];
    assert!(run(&both).stderr.contains("--platform is checked alone"));
}

/// Guards against differences that are overlooked, and against a new version that counts as one.
#[test]
fn each_difference() {
    let same = diff("same", &changed(|it| it["version"] = json!(4)), &[]);
    assert_eq!((same.exit_code, same.stdout.as_str()), (0, "no differences\n"));
    let table: [(Value, &str); 8] = [
        (changed(|it| second_route(it, "b", "/b/")), "+ routes.a.example/b/: "),
        (
            changed(|it| it["routes"][0]["timeoutMs"] = json!(800)),
            "~ routes.a.example/r/.timeout_ms: 900 -> 800",
        ),
        (changed(|it| it["services"][0]["maxConnections"] = json!(5)), "services.s.max_conn"),
        (
            changed(|it| it["limits"]["maxBodyBytes"] = json!(9)),
            "~ limits.max_body_bytes: 65536 -> 9",
        ),
        (changed(|it| it["tenants"] = json!(null)), "~ tenants: "),
        (
            changed(|it| it["tenants"][0]["burst"] = json!(300)),
            "~ tenants.shops.cap.burst: 200.0 -> 300.0",
        ),
        (
            changed(|it| it["tenants"][0]["apiKeys"] = json!([])),
            "~ tenants.shops.key_count: 1 -> 0",
        ),
        (
            changed(|it| it["tenants"][0]["apiKeys"] = json!(["sesame-2"])),
            "+ tenants.shops.new_key_count: 1",
        ),
    ];
    for (document, expected) in table {
        let run = diff("differences", &document, &[]);
        assert_eq!(run.exit_code, 1, "{expected}: {}{}", run.stdout, run.stderr);
        assert!(run.stdout.contains(expected), "{expected}: {}", run.stdout);
        assert_eq!(run.stdout.lines().count(), 1, "{}", run.stdout);
    }
}

/// Guards against JSON output that scripts can't parse.
#[test]
fn json_output() {
    let folder = TempFolder::new("json");
    let document = changed(|it| it["routes"][0]["priority"] = json!(10));
    let file = folder.write("c.json", &document.to_string());
    let checked = run(&["check", "--platform", &file, "--json"]);
    let output: Value = serde_json::from_str(&checked.stdout).unwrap();
    assert_eq!((checked.exit_code, &output["ok"]), (1, &json!(false)));
    assert_eq!(output["findings"][0]["entry"], json!("route r"));
    let compared = diff("json-diff", &document, &["--json"]);
    let output: Value = serde_json::from_str(&compared.stdout).unwrap();
    assert_eq!(output["differences"][0]["after"], json!(10));
    let missing = run(&["check", "--platform", "no-such-file.json", "--json"]);
    let output: Value = serde_json::from_str(&missing.stdout).unwrap();
    assert_eq!(output["exit_code"], json!(2));
}
