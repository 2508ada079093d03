//! No text makes a parser of settings, configurations or patches panic.

mod common;

use common::example;
use quickcheck::{Arbitrary, Gen};
use serde_json::Value;
use turmericrail::settings::Settings;
use turmericrail_core::config::error::decode_text;
use turmericrail_core::config::{PatchFile, parse_document, parse_value};

/// Texts tried for each parser.
const CASES: u64 = 1_500;
/// Size of generated values.
const SIZE: usize = 24;
/// Texts that have a meaning of their own in YAML.
const PIECES: [&str; 22] = [
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

/// A good text with some damage done to it.
fn damage(good: &str, random: &mut Gen) -> String {
    let mut text: Vec<char> = good.chars().collect();
    for _ in 0..1 + u8::arbitrary(random) % 4 {
        let at = usize::arbitrary(random) % (text.len() + 1);
        let end = (at + usize::arbitrary(random) % 12).min(text.len());
        match u8::arbitrary(random) % 4 {
            0 => drop(text.drain(at..end)),
            1 => drop(text.splice(at..end, String::arbitrary(random).chars().collect::<Vec<_>>())),
            2 => {
                let piece = random.choose(&PIECES).unwrap();
                drop(text.splice(at..at, piece.chars()));
            }
            _ => {
                let copied = text[at..end].to_vec();
                drop(text.splice(at..at, copied));
            }
        }
    }
    text.into_iter().collect()
}

fn try_damaged(good: &str, parse: impl Fn(&str) -> Option<String>) {
    for seed in 0..CASES {
        let mut random = Gen::from_size_and_seed(SIZE, seed);
        let text = damage(good, &mut random);
        if let Some(error) = parse(&text) {
            assert!(!error.is_empty() && !error.contains('\n'), "seed {seed}: {error:?}");
        }
        let text = String::arbitrary(&mut random);
        let _ = parse(&text);
    }
}

#[test]
fn damaged_settings() {
    let good = std::fs::read_to_string(example("settings.yaml")).unwrap();
    try_damaged(&good, |text| Settings::parse(text).err().map(|error| error.to_string()));
}

#[test]
fn damaged_configuration() {
    let good = std::fs::read_to_string(example("configuration.yaml")).unwrap();
    try_damaged(&good, |text| parse_document(text).err().map(|error| error.to_string()));
}

#[test]
fn damaged_patch() {
    let base = std::fs::read_to_string(example("configuration.yaml")).unwrap();
    let document: Value = decode_text(&base).unwrap();
    let good = "base_version: 1\npatch:\n  routes:\n    read-stock: {timeout_ms: 3s, path: /a/{b}}\n  models: null\n";
    try_damaged(good, |text| {
        let patched = PatchFile::parse(text).map_err(|error| error.to_string());
        let patched =
            patched.and_then(|patch| patch.apply_to(&document).map_err(|error| error.to_string()));
        patched.err()
    });
}

#[test]
fn random_documents() {
    for seed in 0..CASES {
        let mut random = Gen::from_size_and_seed(SIZE, seed);
        let _ = parse_value(&value(&mut random, 4));
    }
}

/// A document whose keys are often those of a configuration.
fn value(random: &mut Gen, depth: u64) -> Value {
    let keys = ["version", "routes", "models", "servers", "limits", "windows", "a", "path"];
    match u8::arbitrary(random) % 7 {
        0 => Value::Null,
        1 => Value::from(i64::arbitrary(random)),
        2 => Value::from(f64::arbitrary(random)),
        3 => Value::from(String::arbitrary(random)),
        4 if depth > 0 => (0..3).map(|_| value(random, depth - 1)).collect(),
        _ if depth > 0 => {
            let mut fields = serde_json::Map::new();
            for _ in 0..3 {
                let key = random.choose(&keys).unwrap().to_string();
                fields.insert(key, value(random, depth - 1));
            }
            Value::Object(fields)
        }
        _ => Value::from(bool::arbitrary(random)),
    }
}
