//! Items that the platform published and instances pass on to each other, and the known members.

use turmericrail_core::forward::{Member, Members, PublishedItem, PublishedSet};
use turmericrail_core::units::Millis;

fn item(key: &str, revision: u64, value: Option<&str>) -> PublishedItem {
    let value = value.map(|text| text.as_bytes().to_vec());
    PublishedItem { key: key.to_owned(), revision, value }
}

#[test]
fn catch_up() {
    let mut source = PublishedSet::default();
    source.apply_snapshot(5, vec![item("a", 2, Some("1")), item("b", 4, Some("1"))]);
    let mut receiver = PublishedSet::default();
    receiver.apply(source.revision(), source.changes_since(receiver.revision()));
    source.apply(7, vec![item("a", 6, Some("2")), item("b", 7, None)]);
    let missing = source.changes_since(receiver.revision());
    assert_eq!(missing.len(), 2);
    let changed = receiver.apply(source.revision(), missing.clone());
    assert_eq!(changed, missing);
    assert!(receiver.apply(7, missing).is_empty());
    assert!(source.changes_since(receiver.revision()).is_empty());
}

#[test]
fn last_change() {
    // Other keys of the platform raise the revision of a set, but are no change of its items.
    let mut set = PublishedSet::default();
    set.apply_snapshot(9, vec![item("a", 2, Some("1")), item("b", 4, Some("1"))]);
    assert_eq!((set.revision(), set.last_change()), (9, 4));
}

#[test]
fn missing_in_snapshot() {
    let mut set = PublishedSet::default();
    set.apply_snapshot(5, vec![item("a", 2, Some("1")), item("b", 4, Some("1"))]);
    // "c" changed after the first page of the snapshot was read, so its absence is no removal.
    set.apply(9, vec![item("c", 9, Some("1"))]);
    let changed = set.apply_snapshot(8, vec![item("a", 2, Some("1"))]);
    assert_eq!(changed, vec![item("b", 8, None)]);
}

#[test]
fn outdated_item() {
    let mut set = PublishedSet::default();
    set.apply(6, vec![item("a", 6, None)]);
    assert!(set.apply(3, vec![item("a", 3, Some("old"))]).is_empty());
    assert_eq!(set.revision(), 6);
}

#[test]
fn silent_member_expires() {
    let member = |name: &str, age_ms| Member {
        instance: name.parse().unwrap(),
        data_centre: "dc-a".parse().unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        age_ms: Millis(age_ms),
    };
    let mut members = Members::new("own".parse().unwrap());
    members.merge(Millis(1_000), &member("own", 0));
    members.merge(Millis(1_000), &member("one", 0));
    members.merge(Millis(1_000), &member("two", 0));
    assert_eq!(members.count(), 3);
    members.merge(Millis(40_000), &member("one", 100));
    // Information that was already old when it arrived does not keep a member.
    members.merge(Millis(50_000), &member("two", 49_000));
    members.expire(Millis(50_000));
    assert_eq!(members.count(), 2);
    assert_eq!(members.pick_random(&[], 12).map(|address| address.port()), Some(1));
}
