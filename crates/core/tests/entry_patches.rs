//! Patches that are applied to single entries of the configuration give the same result as decoding
//! the whole patched document, for random documents and patches.

use fastrand::Rng;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use serde_json::{Map, Value, json};
use turmericrail_core::config::entry_patch::apply_by_entry;
use turmericrail_core::config::{Change, ConfigHistory, parse_value};
use turmericrail_core::ids::ConfigVersion;

const DOCUMENT_COUNT: u64 = 400;
const PATCHES_PER_DOCUMENT: usize = 12;

/// Seed of a document and its patches.
#[derive(Clone, Debug)]
struct Seed(u64);

impl Arbitrary for Seed {
    fn arbitrary(generator: &mut Gen) -> Self {
        Self(u64::arbitrary(generator))
    }
}

fn pick<'a>(rng: &mut Rng, values: &[&'a str]) -> &'a str {
    values[rng.usize(..values.len())]
}

fn random_server_id(rng: &mut Rng) -> &'static str {
    pick(rng, &["a", "b", "c", "d", "e", "f", "g", "h"])
}

fn random_server(rng: &mut Rng) -> Value {
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

fn random_targets(rng: &mut Rng) -> Value {
    let window = json!({"from": "00:00", "until": pick(rng, &["24:00", "24:00", "24:00", "12:00"]),
        "first_token_ms": rng.u32(..900), "per_token_ms": 50});
    json!({"time_zone": pick(rng, &["Asia/Taipei", "Africa/Dakar", "Africa/Dakar", "Moon/Sea"]),
        "goodput_weight": 1.5, "wasted_prefill_weight": 2, "windows": {"day": window}})
}

fn random_servers(rng: &mut Rng) -> Vec<&'static str> {
    (0..rng.usize(..3)).map(|_| random_server_id(rng)).collect()
}

fn random_model(rng: &mut Rng) -> Value {
    let servers = random_servers(rng);
    let mut version = json!({"servers": servers, "weights_bytes": 7});
    if rng.bool() {
        let servers = if rng.u8(..6) == 0 { random_servers(rng) } else { servers };
        version["adapters"] = json!({"x": {"servers": servers, "weights_bytes": rng.u8(..3)}});
    }
    json!({"default_version": pick(rng, &["v1", "v2"]), "versions": {"v1": version}})
}

fn random_entry(rng: &mut Rng, section: &str) -> Value {
    match section {
        "servers" => random_server(rng),
        "caller_kinds" => random_targets(rng),
        "routes" => json!({"method": pick(rng, &["GET", "POST", "TAKE"]), "idempotent": true,
            "path": pick(rng, &["/stock/{board}", "/book", "/stock/{other}", "stock"]),
            "timeout_ms": "2s", "servers": random_servers(rng)}),
        "models" => random_model(rng),
        _ => json!({"rate_bytes_per_second": rng.u32(..9)}),
    }
}

fn random_key(rng: &mut Rng, section: &str) -> &'static str {
    match section {
        "links" => pick(rng, &["dc-a.dc-b", "dc-b.dc-a", "dc-a.dc-b", "dc-a.dc-c"]),
        _ => random_server_id(rng),
    }
}

/// A patch of some entries: a whole entry, a removal, single fields, or something that is not an
/// entry. Sometimes a patch of other parts of the document.
fn random_patch(rng: &mut Rng) -> Value {
    let mut patch = Map::new();
    for _ in 0..rng.usize(1..3) {
        let sections = ["servers", "servers", "caller_kinds", "routes", "models", "links"];
        let section = pick(rng, &sections);
        let key = random_key(rng, section);
        let entry = match rng.u8(..12) {
            0..=4 => random_entry(rng, section),
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

/// A valid document.
fn random_document(rng: &mut Rng) -> Value {
    let mut document = json!({"version": 1});
    for _ in 0..30 {
        let section = pick(rng, &["servers", "servers", "caller_kinds", "routes", "models"]);
        let entry = json!({section: {random_key(rng, section): random_entry(rng, section)}});
        let mut next = document.clone();
        json_patch::merge(&mut next, &entry);
        if parse_value(&next).is_ok() {
            document = next;
        }
    }
    document
}

fn random_changes(rng: &mut Rng) -> Vec<Change> {
    let change = |number| Change { version: ConfigVersion(number), patch: random_patch(rng) };
    (2..2 + PATCHES_PER_DOCUMENT as u64).map(change).collect()
}

fn check_property(property: fn(Seed) -> TestResult) {
    let mut check = QuickCheck::new();
    check = check.tests(DOCUMENT_COUNT).rng(Gen::from_size_and_seed(100, 6));
    check.quickcheck(property);
}

#[test]
fn matches_whole_document() {
    fn property(Seed(seed): Seed) -> TestResult {
        let mut rng = Rng::with_seed(seed);
        let mut patched = random_document(&mut rng);
        let mut history = ConfigHistory::default();
        history.take_document(ConfigVersion(1), patched.clone()).expect("a valid document");
        for change in random_changes(&mut rng) {
            json_patch::merge(&mut patched, &change.patch);
            if let Some(fields) = patched.as_object_mut() {
                fields.insert("version".to_owned(), json!(change.version));
            }
            let before = history.in_force().cloned();
            let result = history.take_changes(vec![change.clone()]);
            assert_eq!(*history.document(), patched, "seed {seed}");
            match parse_value(&patched) {
                Ok(decoded) => assert_eq!(history.in_force(), Some(&decoded), "seed {seed}"),
                Err(error) => {
                    assert_eq!(result, Err(error.clone()), "seed {seed}");
                    let rejected = Some((change.version, error.to_string()));
                    assert_eq!(history.rejected_version(), rejected.as_ref(), "seed {seed}");
                    assert_eq!(history.in_force(), before.as_ref(), "seed {seed}");
                }
            }
        }
        TestResult::passed()
    }
    check_property(property);
}

#[test]
fn patches_at_once() {
    fn property(Seed(seed): Seed) -> TestResult {
        let mut rng = Rng::with_seed(seed);
        let document = random_document(&mut rng);
        let changes = random_changes(&mut rng);
        let mut one_by_one = ConfigHistory::default();
        one_by_one.take_document(ConfigVersion(1), document.clone()).expect("a valid document");
        let mut last = Ok(false);
        for change in &changes {
            last = one_by_one.take_changes(vec![change.clone()]);
        }
        let mut at_once = ConfigHistory::default();
        at_once.take_document(ConfigVersion(1), document).expect("a valid document");
        assert_eq!(at_once.take_changes(changes), last, "seed {seed}");
        assert_eq!(at_once.in_force(), one_by_one.in_force(), "seed {seed}");
        assert_eq!(at_once.rejected_version(), one_by_one.rejected_version(), "seed {seed}");
        TestResult::passed()
    }
    check_property(property);
}

#[test]
fn invalid_patch_undone() {
    fn property(Seed(seed): Seed) -> TestResult {
        let mut rng = Rng::with_seed(seed);
        let document = random_document(&mut rng);
        let before = parse_value(&document).expect("a valid document");
        let patch = random_patch(&mut rng);
        let mut patched = document;
        json_patch::merge(&mut patched, &patch);
        let mut configuration = before.clone();
        let is_applied = apply_by_entry(&mut configuration, [&patch], &patched);
        match parse_value(&patched) {
            Ok(mut decoded) if is_applied => {
                decoded.version = before.version;
                assert_eq!(configuration, decoded, "seed {seed}");
            }
            Ok(_) => return TestResult::discard(),
            Err(_) => {
                assert!(!is_applied, "seed {seed}");
                assert_eq!(configuration, before, "seed {seed}");
            }
        }
        TestResult::passed()
    }
    check_property(property);
}

#[test]
fn simple_patches() {
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
        let mut configuration = parse_value(&document).expect("a valid document");
        assert!(apply_by_entry(&mut configuration, [&patch], &patched), "{patch}");
        assert_eq!(configuration, parse_value(&patched).expect("a valid document"), "{patch}");
    }
}
