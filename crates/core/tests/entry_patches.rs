//! Patches applied by entry against decoding the whole patched document.

use fastrand::Rng;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use serde_json::{Map, Value, json};
use turmericrail_core::config::entry_patch::apply_by_entry;
use turmericrail_core::config::{Change, ConfigHistory, parse_value};
use turmericrail_core::ids::ConfigVersion;

/// Documents and patches tried.
const CASES: u64 = 400;
/// Patches of one document.
const PATCHES: usize = 12;

/// Seed of a document and its patches.
#[derive(Clone, Debug)]
struct Seed(u64);

impl Arbitrary for Seed {
    fn arbitrary(gen_: &mut Gen) -> Self {
        Self(u64::arbitrary(gen_))
    }
}

fn pick<'a>(rng: &mut Rng, values: &[&'a str]) -> &'a str {
    values[rng.usize(..values.len())]
}

fn server_id(rng: &mut Rng) -> &'static str {
    pick(rng, &["a", "b", "c", "d", "e", "f", "g", "h"])
}

fn server(rng: &mut Rng) -> Value {
    let mut server = json!({
        "data_centre": pick(rng, &["dc-a", "dc-b"]),
        "address": format!("10.0.0.{}:{}", rng.u8(1..40), u16::from(rng.u8(..30) > 0) * 80),
        "role": pick(rng, &["prefill", "decode", "plain"]),
    });
    if rng.u8(..6) == 0 {
        let windows = json!({"noon": {"from": "11:00", "until": "13:00", "role": "decode"}});
        server["role_schedule"] = json!({"time_zone": "Africa/Dakar", "windows": windows});
        server["checks_fencing"] = json!(rng.bool());
    }
    if rng.u8(..4) == 0 {
        server["kv_pieces"] = json!(rng.u32(..9_000));
    }
    if rng.u8(..4) == 0 {
        server["weights_memory_bytes"] = json!(rng.u32(6..10));
    }
    server
}

fn targets(rng: &mut Rng) -> Value {
    let window = json!({"from": "00:00", "until": pick(rng, &["24:00", "24:00", "24:00", "12:00"]),
        "first_token_ms": rng.u32(..900), "per_token_ms": 50});
    json!({"time_zone": pick(rng, &["Asia/Taipei", "Africa/Dakar", "Africa/Dakar", "Moon/Sea"]),
        "goodput_weight": 1.5, "wasted_prefill_weight": 2, "windows": {"day": window}})
}

fn some_servers(rng: &mut Rng) -> Vec<&'static str> {
    (0..rng.usize(..3)).map(|_| server_id(rng)).collect()
}

fn model(rng: &mut Rng) -> Value {
    let servers = some_servers(rng);
    let mut version = json!({"servers": servers, "weights_bytes": 7});
    if rng.bool() {
        let servers = if rng.u8(..6) == 0 { some_servers(rng) } else { servers };
        version["adapters"] = json!({"x": {"servers": servers, "weights_bytes": rng.u8(..3)}});
    }
    json!({"default_version": pick(rng, &["v1", "v2"]), "versions": {"v1": version}})
}

fn entry(rng: &mut Rng, section: &str) -> Value {
    match section {
        "servers" => server(rng),
        "caller_kinds" => targets(rng),
        "routes" => json!({"method": pick(rng, &["GET", "POST", "TAKE"]), "idempotent": true,
            "path": pick(rng, &["/stock/{board}", "/book", "/stock/{other}", "stock"]),
            "timeout_ms": "2s", "servers": some_servers(rng)}),
        "models" => model(rng),
        _ => json!({"rate_bytes_per_second": rng.u32(..9)}),
    }
}

fn key(rng: &mut Rng, section: &str) -> &'static str {
    match section {
        "links" => pick(rng, &["dc-a.dc-b", "dc-b.dc-a", "dc-a.dc-b", "dc-a.dc-c"]),
        _ => server_id(rng),
    }
}

/// A patch of some entries: whole, removed, of one field, or no entry at all.
fn patch(rng: &mut Rng) -> Value {
    let mut patch = Map::new();
    for _ in 0..rng.usize(1..3) {
        let sections = ["servers", "servers", "caller_kinds", "routes", "models", "links"];
        let section = pick(rng, &sections);
        let key = key(rng, section);
        let entry = match rng.u8(..12) {
            0..=4 => entry(rng, section),
            5..=7 => Value::Null,
            8 => json!({"role": pick(rng, &["prefill", "plain"])}),
            9 => json!({"kv_pieces": rng.u32(..9_000), "weights_memory_bytes": rng.u32(6..10)}),
            10 => json!({"unknown": 1}),
            _ => json!("text"),
        };
        let entries = match rng.u8(..40) {
            0 => Value::Null,
            1 => json!([entry]),
            2 => json!({"a bad key": entry}),
            _ => json!({key: entry}),
        };
        patch.insert(section.to_owned(), entries);
    }
    match rng.u8(..40) {
        0 => json!("text"),
        1 => json!({"unknown": {}}),
        2..=5 => json!({"limits": {"tokens_per_piece": rng.u8(..3)}}),
        6 => json!({"limits": null, "version": 7}),
        _ => Value::Object(patch),
    }
}

/// A document that passes the checks.
fn document(rng: &mut Rng) -> Value {
    let mut document = json!({"version": 1});
    for _ in 0..30 {
        let section = pick(rng, &["servers", "servers", "caller_kinds", "routes", "models"]);
        let entry = json!({section: {key(rng, section): entry(rng, section)}});
        let mut next = document.clone();
        json_patch::merge(&mut next, &entry);
        if parse_value(&next).is_ok() {
            document = next;
        }
    }
    document
}

fn changes(rng: &mut Rng) -> Vec<Change> {
    let change = |number| Change { version: ConfigVersion(number), patch: patch(rng) };
    (2..2 + PATCHES as u64).map(change).collect()
}

fn run(property: fn(Seed) -> TestResult) {
    let mut check = QuickCheck::new();
    check = check.tests(CASES).rng(Gen::from_size_and_seed(100, 6));
    check.quickcheck(property);
}

#[test]
fn same_as_whole() {
    fn property(Seed(seed): Seed) -> TestResult {
        let mut rng = Rng::with_seed(seed);
        let mut patched = document(&mut rng);
        let mut history = ConfigHistory::default();
        history.take_document(ConfigVersion(1), patched.clone()).expect("a good document");
        for change in changes(&mut rng) {
            json_patch::merge(&mut patched, &change.patch);
            if let Some(fields) = patched.as_object_mut() {
                fields.insert("version".to_owned(), json!(change.version));
            }
            let before = history.in_force().cloned();
            let result = history.take_changes(vec![change.clone()]);
            assert_eq!(*history.document(), patched, "seed {seed}");
            match parse_value(&patched) {
                Ok(whole) => assert_eq!(history.in_force(), Some(&whole), "seed {seed}"),
                Err(error) => {
                    assert_eq!(result, Err(error.clone()), "seed {seed}");
                    let rejected = Some((change.version, error.to_string()));
                    assert_eq!(history.rejected(), rejected.as_ref(), "seed {seed}");
                    assert_eq!(history.in_force(), before.as_ref(), "seed {seed}");
                }
            }
        }
        TestResult::passed()
    }
    run(property);
}

#[test]
fn run_of_patches() {
    fn property(Seed(seed): Seed) -> TestResult {
        let mut rng = Rng::with_seed(seed);
        let document = document(&mut rng);
        let changes = changes(&mut rng);
        let mut one_by_one = ConfigHistory::default();
        one_by_one.take_document(ConfigVersion(1), document.clone()).expect("a good document");
        let mut last = Ok(false);
        for change in &changes {
            last = one_by_one.take_changes(vec![change.clone()]);
        }
        let mut at_once = ConfigHistory::default();
        at_once.take_document(ConfigVersion(1), document).expect("a good document");
        assert_eq!(at_once.take_changes(changes), last, "seed {seed}");
        assert_eq!(at_once.in_force(), one_by_one.in_force(), "seed {seed}");
        assert_eq!(at_once.rejected(), one_by_one.rejected(), "seed {seed}");
        TestResult::passed()
    }
    run(property);
}

#[test]
fn wrong_patch_undone() {
    fn property(Seed(seed): Seed) -> TestResult {
        let mut rng = Rng::with_seed(seed);
        let document = document(&mut rng);
        let before = parse_value(&document).expect("a good document");
        let patch = patch(&mut rng);
        let mut patched = document;
        json_patch::merge(&mut patched, &patch);
        let mut configuration = before.clone();
        let is_applied = apply_by_entry(&mut configuration, [&patch], &patched);
        match parse_value(&patched) {
            Ok(mut whole) if is_applied => {
                whole.version = before.version;
                assert_eq!(configuration, whole, "seed {seed}");
            }
            Ok(_) => return TestResult::discard(),
            Err(_) => {
                assert!(!is_applied, "seed {seed}");
                assert_eq!(configuration, before, "seed {seed}");
            }
        }
        TestResult::passed()
    }
    run(property);
}

#[test]
fn plain_patches_by_entry() {
    let document = json!({"version": 1, "servers": {
        "a": {"data_centre": "dc-a", "address": "10.0.0.1:80", "role": "decode"}}});
    let patches = [
        json!({"limits": {"retry_percent": 3}}),
        json!({"servers": {"a": {"kv_pieces": 7}}}),
        json!({"servers": {"a": null}}),
        json!({"servers": {"b": {"data_centre": "dc-a", "address": "10.0.0.2:80", "role": "plain"}}}),
        json!({"models": {"m": {"default_version": "v", "versions": {"v": {"servers": ["a"]}}}}}),
    ];
    for patch in patches {
        let mut patched = document.clone();
        json_patch::merge(&mut patched, &patch);
        let mut configuration = parse_value(&document).expect("a good document");
        assert!(apply_by_entry(&mut configuration, [&patch], &patched), "{patch}");
        assert_eq!(configuration, parse_value(&patched).expect("a good document"), "{patch}");
    }
}
