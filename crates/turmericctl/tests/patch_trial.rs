//! `patch` shows the next version and the changes that a patch would make, or why it is refused.

mod common;

use common::{RunOutput, TempFolder, example, turmericctl};
use serde_json::{Value, json};
use turmericrail_core::ids::ConfigVersion;
use turmericrail_fakes::FakePlatform;

fn try_patch(name: &str, text: &str, extra: &[&str]) -> RunOutput {
    let folder = TempFolder::new(name);
    let patch = folder.write("patch.yaml", text);
    let base = example("configuration.yaml");
    let arguments = ["patch", &patch, "--configuration", base.to_str().unwrap()];
    turmericctl(&[&arguments[..], extra].concat())
}

#[test]
fn valid_patch_shows_changes() {
    let text = "base_version: 1\npatch:\n  routes:\n    read-stock: {timeout_ms: 3000}\n    book-slot: null\n  limits: {retry_percent: 10}\n";
    let run = try_patch("accepted", text, &[]);
    assert_eq!(run.exit_code, 0, "{}", run.stderr);
    assert!(run.stdout.contains("it would become version 2"));
    assert!(run.stdout.contains("~ limits.retry_percent: 20 -> 10"));
    assert!(run.stdout.contains("~ routes.read-stock.timeout_ms: \"2s\" -> 3000"));
    assert!(run.stdout.contains("- routes.book-slot: "));
    let run = try_patch("accepted", text, &["--json"]);
    let shown: Value = serde_json::from_str(&run.stdout).unwrap();
    assert_eq!(shown["next_version"], 2);
    assert_eq!(shown["changes"].as_array().unwrap().len(), 3);
}

#[test]
fn patch_of_another_version_is_refused() {
    let text = "base_version: 4\npatch: {limits: {retry_percent: 10}}\n";
    let run = try_patch("other-version", text, &[]);
    assert_eq!(run.exit_code, 1);
    assert!(run.stderr.contains("made against version 4, but version 1 is the newest"));
}

#[test]
fn invalid_patches_are_refused() {
    let table = [
        ("base_version: 1\npatch: {}\n", "changes nothing"),
        ("base_version: 1\npatch: []\n", "line 2: patch: must hold"),
        ("base_version: 1\nptach: {}\n", "line 2: ptach: unknown field"),
        ("base_version: one\npatch: {}\n", "line 1: base_version: "),
        ("base_version: 1\npatch:\n  version: 7\n", "line 3: patch.version: "),
        (
            "base_version: 1\npatch:\n  routes:\n    read-stock:\n      servers: [nobody]\n",
            "line 5: routes.read-stock.servers.0: unknown server \"nobody\"",
        ),
        (
            "base_version: 1\npatch:\n  servers:\n    desk-1: null\n",
            "routes.book-slot.servers.0: unknown server \"desk-1\"",
        ),
        (
            "base_version: 1\npatch:\n  models:\n    quote: {bogus: 1}\n",
            "line 4: models.quote.bogus: unknown field `bogus`",
        ),
    ];
    for (text, expected) in table {
        let run = try_patch("wrong", text, &[]);
        assert_eq!(run.exit_code, 1, "{text}");
        assert!(run.stderr.contains(expected), "{text}: {}", run.stderr);
    }
}

#[async_std::test]
async fn patch_is_tried_against_platform() {
    let document = json!({"version": 1, "limits": {"retry_percent": 20}});
    let platform = FakePlatform::start(document).await.unwrap();
    platform.accept(json!({"limits": {"retry_percent": 30}}));
    let folder = TempFolder::new("platform");
    let patch =
        folder.write("patch.yaml", "base_version: 2\npatch: {limits: {retry_percent: 5}}\n");
    let address = platform.address.to_string();
    let run = async_std::task::spawn_blocking(move || {
        turmericctl(&["patch", &patch, "--platform", &address])
    });
    let run = run.await;
    assert_eq!(run.exit_code, 0, "{}", run.stderr);
    assert!(run.stdout.contains("version 3\n  ~ limits.retry_percent: 30 -> 5"), "{}", run.stdout);
    assert_eq!(platform.state().version, 2);
}

/// Two operators try and submit patches against the same version. The platform accepts one of them;
/// after that, a dry run of either is refused because of its old base version.
#[async_std::test]
async fn dry_run_against_replaced_version_is_refused() {
    let document = json!({"version": 1, "limits": {"retry_percent": 20}});
    let platform = FakePlatform::start(document).await.unwrap();
    let folder = TempFolder::new("racing");
    let try_all = async |exit_code: i32| {
        let mut runs = Vec::new();
        for percent in [5, 10] {
            let text =
                format!("base_version: 1\npatch: {{limits: {{retry_percent: {percent}}}}}\n");
            let patch = folder.write(&format!("{percent}.yaml"), &text);
            let address = platform.address.to_string();
            runs.push(async_std::task::spawn_blocking(move || {
                turmericctl(&["patch", &patch, "--platform", &address])
            }));
        }
        let mut errors = Vec::new();
        for run in runs {
            let run = run.await;
            assert_eq!(run.exit_code, exit_code, "{}", run.stderr);
            errors.push(run.stderr);
        }
        errors
    };
    try_all(0).await;
    let operators = [5, 10].map(|percent| {
        let platform = platform.clone();
        let patch = json!({"limits": {"retry_percent": percent}});
        std::thread::spawn(move || platform.submit(ConfigVersion(1), patch))
    });
    let accepted = operators.into_iter().filter_map(|operator| operator.join().unwrap()).count();
    assert_eq!((accepted, platform.state().version), (1, 2));
    for error in try_all(1).await {
        assert!(error.contains("made against version 1, but version 2 is the newest"), "{error}");
    }
}
