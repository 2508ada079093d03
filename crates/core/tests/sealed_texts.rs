//! Tickets and cursors that were altered are refused.

use quickcheck::{Gen, QuickCheck, Testable};
use turmericrail_core::at_most_once::{SealKey, Ticket};
use turmericrail_core::ids::Incarnation;
use turmericrail_core::report::Holder;
use turmericrail_core::request::{Cursor, RequestBinding};
use turmericrail_core::units::Millis;

const KEY: &str = "0123456789abcdef";

fn check(seed: u64, property: impl Testable) {
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

/// A cursor; an even fingerprint stands for one of an earlier release.
fn cursor(next_index: u64, fingerprint: u64) -> Cursor {
    let binding = RequestBinding { version: "v1".parse().unwrap(), fingerprint };
    Cursor {
        server: "dc-a-decode-1".parse().unwrap(),
        stream: "s-1".parse().unwrap(),
        next_index,
        binding: Some(binding).filter(|_| !fingerprint.is_multiple_of(2)),
    }
}

/// `text` with one byte changed to another printable one.
fn altered(text: &str, place: usize, by: u8) -> String {
    let mut bytes = text.as_bytes().to_vec();
    let place = place % bytes.len();
    let printable = b'!' + (bytes[place] - b'!' + 1 + by % 92) % 94;
    bytes[place] = printable;
    String::from_utf8(bytes).unwrap()
}

#[test]
fn ticket_bytes() {
    fn property(serial: u64, incarnation: u64, issued_ms: u64, place: usize, by: u8) -> bool {
        let (seal, ticket) = (SealKey::new(KEY), ticket(serial, incarnation, issued_ms));
        let text = ticket.seal(&seal);
        let is_same = Ticket::unseal(&text, &seal).as_ref() == Some(&ticket);
        is_same && Ticket::unseal(&altered(&text, place, by), &seal).is_none()
    }
    check(21, property as fn(u64, u64, u64, usize, u8) -> bool);
}

#[test]
fn cursor_bytes() {
    fn property(next_index: u64, fingerprint: u64, place: usize, by: u8) -> bool {
        let (seal, cursor) = (SealKey::new(KEY), cursor(next_index, fingerprint));
        let text = cursor.seal(&seal);
        let is_same = Cursor::unseal(&text, &seal).as_ref() == Some(&cursor);
        is_same && Cursor::unseal(&altered(&text, place, by), &seal).is_none()
    }
    check(22, property as fn(u64, u64, usize, u8) -> bool);
}

#[test]
fn earlier_cursor() {
    let seal = SealKey::new(KEY);
    let text = seal.seal("cursor", "dc-a-decode-1/s-1/7");
    assert_eq!(Cursor::unseal(&text, &seal), Some(cursor(7, 0)));
}

#[test]
fn junk_texts() {
    fn property(text: String, body: String) -> bool {
        let seal = SealKey::new(KEY);
        let sealed = seal.seal("ticket", &body);
        let is_opened = seal.unseal("ticket", &sealed) == Some(body.as_str());
        let is_refused = |text: &str| {
            Ticket::unseal(text, &seal).is_none() && Cursor::unseal(text, &seal).is_none()
        };
        is_opened && is_refused(&text) && is_refused(&sealed)
    }
    check(23, property as fn(String, String) -> bool);
}

#[test]
fn other_purpose() {
    let seal = SealKey::new(KEY);
    let sealed_ticket = ticket(1, 2, 3).seal(&seal);
    let sealed_cursor = cursor(1, 1).seal(&seal);
    assert!(Ticket::unseal(&sealed_cursor, &seal).is_none());
    assert!(Cursor::unseal(&sealed_ticket, &seal).is_none());
    assert!(Ticket::unseal(&sealed_ticket, &SealKey::new("another key of 16")).is_none());
}
