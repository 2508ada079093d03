//! Tickets and cursors that were altered, or that were never sealed, are refused.

use quickcheck::{Gen, QuickCheck, Testable};
use turmericrail_core::at_most_once::{SealKey, Ticket};
use turmericrail_core::ids::Incarnation;
use turmericrail_core::report::Holder;
use turmericrail_core::request::{Cursor, RequestBinding};
use turmericrail_core::units::Millis;

const KEY: &str = "0123456789abcdef";

fn check_property(seed: u64, property: impl Testable) {
    let generator = Gen::from_size_and_seed(200, seed);
    QuickCheck::new().rng(generator).tests(5_000).quickcheck(property);
}

fn ticket(serial: u64, incarnation: u64, issued_ms: u64) -> Ticket {
    Ticket {
        home: Holder { instance: "dc-a-1".parse().unwrap(), incarnation: Incarnation(incarnation) },
        data_centre: "dc-a".parse().unwrap(),
        run_nonce: incarnation ^ serial,
        serial,
        issued_ms: Millis(issued_ms),
    }
}

/// A cursor; one with an even fingerprint has no binding, like those that earlier
/// versions of the program issued.
fn cursor(next_index: u64, fingerprint: u64) -> Cursor {
    let binding = RequestBinding { version: "v1".parse().unwrap(), fingerprint };
    Cursor {
        server: "dc-a-decode-1".parse().unwrap(),
        stream: "s-1".parse().unwrap(),
        next_index,
        binding: Some(binding).filter(|_| !fingerprint.is_multiple_of(2)),
    }
}

/// `text` with the byte at `index`, modulo its length, replaced by another printable one.
fn altered(text: &str, index: usize, offset: u8) -> String {
    let mut bytes = text.as_bytes().to_vec();
    let index = index % bytes.len();
    let replacement = b'!' + (bytes[index] - b'!' + 1 + offset % 92) % 94;
    bytes[index] = replacement;
    String::from_utf8(bytes).unwrap()
}

#[test]
fn altered_ticket() {
    fn property(serial: u64, incarnation: u64, issued_ms: u64, index: usize, offset: u8) -> bool {
        let (seal_key, ticket) = (SealKey::new(KEY), ticket(serial, incarnation, issued_ms));
        let text = ticket.seal(&seal_key);
        let is_unsealed_equal = Ticket::unseal(&text, &seal_key).as_ref() == Some(&ticket);
        is_unsealed_equal && Ticket::unseal(&altered(&text, index, offset), &seal_key).is_none()
    }
    check_property(21, property as fn(u64, u64, u64, usize, u8) -> bool);
}

#[test]
fn altered_cursor() {
    fn property(next_index: u64, fingerprint: u64, index: usize, offset: u8) -> bool {
        let (seal_key, cursor) = (SealKey::new(KEY), cursor(next_index, fingerprint));
        let text = cursor.seal(&seal_key);
        let is_unsealed_equal = Cursor::unseal(&text, &seal_key).as_ref() == Some(&cursor);
        is_unsealed_equal && Cursor::unseal(&altered(&text, index, offset), &seal_key).is_none()
    }
    check_property(22, property as fn(u64, u64, usize, u8) -> bool);
}

#[test]
fn unbound_cursor() {
    let seal_key = SealKey::new(KEY);
    let text = seal_key.seal("cursor", "dc-a-decode-1/s-1/7");
    assert_eq!(Cursor::unseal(&text, &seal_key), Some(cursor(7, 0)));
}

#[test]
fn arbitrary_texts() {
    fn property(text: String, body: String) -> bool {
        let seal_key = SealKey::new(KEY);
        let sealed = seal_key.seal("ticket", &body);
        let is_unsealed = seal_key.unseal("ticket", &sealed) == Some(body.as_str());
        let is_refused = |text: &str| {
            Ticket::unseal(text, &seal_key).is_none() && Cursor::unseal(text, &seal_key).is_none()
        };
        is_unsealed && is_refused(&text) && is_refused(&sealed)
    }
    check_property(23, property as fn(String, String) -> bool);
}

#[test]
fn other_purpose() {
    let seal_key = SealKey::new(KEY);
    let sealed_ticket = ticket(1, 2, 3).seal(&seal_key);
    let sealed_cursor = cursor(1, 1).seal(&seal_key);
    assert!(Ticket::unseal(&sealed_cursor, &seal_key).is_none());
    assert!(Cursor::unseal(&sealed_ticket, &seal_key).is_none());
    assert!(Ticket::unseal(&sealed_ticket, &SealKey::new("another key of 16")).is_none());
}
