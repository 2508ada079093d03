//! The parsers of settings, configurations and patches never panic on damaged or random input, and
//! the error for a damaged text is a single line.

mod common;

use common::example;
use quickcheck::{Arbitrary, Gen};
use serde_json::Value;
use turmericrail::settings::Settings;
use turmericrail_core::config::error::decode_text;
use turmericrail_core::config::{PatchFile, parse_document, parse_value};

/// Number of seeds for each parser.
const SEED_COUNT: u64 = 1_500;
/// Size bound of values that quickcheck generates.
const VALUE_SIZE: usize = 24;
/// Fragments with a special meaning in YAML.
const YAML_FRAGMENTS: [&str; 22] = [
    "&a ",
    "*a",
    "<<: *a",
    "!!binary ",
    "!x ",
    "- ",
    "? ",
    ": ",
    "{",
    "}",
    "[",
    "]",
    "|\n",
    ">\n",
    "---\n",
    "...\n",
    "\"",
    "'",
    "\t",
    "99999999999999999999",
    ".nan",
    "\u{0}",
];

/// Makes one to four random edits to a valid text.
fn damage(valid: &str, random: &mut Gen) -> String {
    let mut text: Vec<char> = valid.chars().collect();
    for _ in 0..1 + u8::arbitrary(random) % 4 {
        let at = usize::arbitrary(random) % (text.len() + 1);
        let end = (at + usize::arbitrary(random) % 12).min(text.len());
        match u8::arbitrary(random) % 4 {
            0 => drop(text.drain(at..end)),
            1 => drop(text.splice(at..end, String::arbitrary(random).chars().collect::<Vec<_>>())),
            2 => {
                let fragment = random.choose(&YAML_FRAGMENTS).unwrap();
                drop(text.splice(at..at, fragment.chars()));
            }
            _ => {
                let copied = text[at..end].to_vec();
                drop(text.splice(at..at, copied));
            }
        }
    }
    text.into_iter().collect()
}

fn parse_damaged(valid: &str, parse: impl Fn(&str) -> Option<String>) {
    for seed in 0..SEED_COUNT {
        let mut random = Gen::from_size_and_seed(VALUE_SIZE, seed);
        let text = damage(valid, &mut random);
        if let Some(error) = parse(&text) {
            assert!(!error.is_empty() && !error.contains('\n'), "seed {seed}: {error:?}");
        }
        let text = String::arbitrary(&mut random);
        let _ = parse(&text);
    }
}

#[test]
fn damaged_settings_does_not_panic() {
    let valid = std::fs::read_to_string(example("settings.yaml")).unwrap();
    parse_damaged(&valid, |text| Settings::parse(text).err().map(|error| error.to_string()));
}

#[test]
fn damaged_configuration_does_not_panic() {
    let valid = std::fs::read_to_string(example("configuration.yaml")).unwrap();
    parse_damaged(&valid, |text| parse_document(text).err().map(|error| error.to_string()));
}

#[test]
fn damaged_patch_does_not_panic() {
    let base = std::fs::read_to_string(example("configuration.yaml")).unwrap();
    let document: Value = decode_text(&base).unwrap();
    let valid = "base_version: 1\npatch:\n  routes:\n    read-stock: {timeout_ms: 3s, path: /a/{b}}\n  models: null\n";
    parse_damaged(valid, |text| {
        let patched = PatchFile::parse(text).map_err(|error| error.to_string());
        let patched =
            patched.and_then(|patch| patch.apply_to(&document).map_err(|error| error.to_string()));
        patched.err()
    });
}

#[test]
fn random_documents_do_not_panic() {
    for seed in 0..SEED_COUNT {
        let mut random = Gen::from_size_and_seed(VALUE_SIZE, seed);
        let _ = parse_value(&random_document(&mut random, 4));
    }
}

/// Generates a document that uses some keys of a configuration.
fn random_document(random: &mut Gen, depth: u64) -> Value {
    let keys = ["version", "routes", "models", "servers", "limits", "windows", "a", "path"];
    match u8::arbitrary(random) % 7 {
        0 => Value::Null,
        1 => Value::from(i64::arbitrary(random)),
        2 => Value::from(f64::arbitrary(random)),
        3 => Value::from(String::arbitrary(random)),
        4 if depth > 0 => (0..3).map(|_| random_document(random, depth - 1)).collect(),
        _ if depth > 0 => {
            let mut fields = serde_json::Map::new();
            for _ in 0..3 {
                let key = random.choose(&keys).unwrap().to_string();
                fields.insert(key, random_document(random, depth - 1));
            }
            Value::Object(fields)
        }
        _ => Value::from(bool::arbitrary(random)),
    }
}
