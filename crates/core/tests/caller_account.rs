//! Who gives way when callers make a process hold too much.

use turmericrail_core::caller_account::{
    AccountLimits, CallerAccount, ConnectionPhase, Growth, Shortage,
};
use turmericrail_core::ids::ConnectionId;
use turmericrail_core::units::{Bytes, Millis};

const KIB: u64 = 1 << 10;
const LIMITS: AccountLimits = AccountLimits { max_bytes: Bytes(1_024 * KIB), max_connections: 10 };

/// Opens a connection that holds nothing, in a phase.
fn open(account: &mut CallerAccount, now_ms: u64, phase: ConnectionPhase) -> ConnectionId {
    let (id, evicted) = account.open(Millis(now_ms), Bytes(0)).unwrap();
    assert_eq!(evicted, []);
    account.set_phase(Millis(now_ms), id, phase);
    id
}

/// Memory that was granted, as these connections give way.
fn granted(evicted: &[ConnectionId]) -> Result<Growth, Shortage> {
    Ok(Growth { is_granted: true, evicted: evicted.to_vec() })
}

/// A connection that reads a request and holds so much of it.
fn reader(account: &mut CallerAccount, now_ms: u64, bytes: u64) -> ConnectionId {
    let id = open(account, now_ms, ConnectionPhase::Reading);
    assert_eq!(account.grow(Millis(now_ms), id, Bytes(bytes)), granted(&[]));
    id
}

#[test]
fn oldest_gives_way() {
    // Guards against callers at the last byte of their bodies that keep out an ordinary one.
    let mut account = CallerAccount::new(LIMITS);
    let old = reader(&mut account, 0, 512 * KIB);
    let young = reader(&mut account, 900, 240 * KIB);
    let small = (0..4).map(|_| reader(&mut account, 950, 64 * KIB)).count() as u64;
    let ordinary = open(&mut account, 1_000, ConnectionPhase::Reading);
    assert_eq!(account.grow(Millis(1_000), ordinary, Bytes(20 * KIB)), granted(&[old]));
    // A part of the room of the one that leaves is granted before it is free.
    assert_eq!(account.grow(Millis(1_001), ordinary, Bytes(40 * KIB)), granted(&[]));
    let waiting = Ok(Growth { is_granted: false, evicted: Vec::new() });
    assert_eq!(account.grow(Millis(1_001), young, Bytes(100 * KIB)), waiting);
    // Guards against room that a connection takes while it leaves.
    assert_eq!(account.grow(Millis(1_002), old, Bytes(1)), Err(Shortage::Memory));
    account.close(old);
    assert_eq!(account.held(), Bytes((300 + small * 64) * KIB));
}

#[test]
fn heaviest_is_refused() {
    // Guards against a newcomer that has others end for what it holds itself.
    let mut account = CallerAccount::new(LIMITS);
    let small = reader(&mut account, 0, 300 * KIB);
    let large = reader(&mut account, 0, 400 * KIB);
    assert_eq!(account.grow(Millis(100), large, Bytes(200 * KIB)), Err(Shortage::Memory));
    assert_eq!(account.held(), Bytes(700 * KIB));
    account.close(large);
    assert_eq!(account.grow(Millis(100), small, Bytes(200 * KIB)), granted(&[]));
}

#[test]
fn served_requests_stay() {
    // Guards against a request that is ended while it may run.
    let mut account = CallerAccount::new(LIMITS);
    let served = reader(&mut account, 0, 760 * KIB);
    account.set_phase(Millis(1), served, ConnectionPhase::Serving);
    let reading = open(&mut account, 10, ConnectionPhase::Reading);
    let growing = account.grow(Millis(20), reading, Bytes(100 * KIB));
    assert_eq!(growing, Err(Shortage::Memory), "nobody gives way");
    // The last quarter is kept for those that hold little.
    assert_eq!(account.grow(Millis(20), reading, Bytes(60 * KIB)), granted(&[]));
    account.set_phase(Millis(30), served, ConnectionPhase::Unread);
    let waiting = Ok(Growth { is_granted: false, evicted: vec![served] });
    assert_eq!(account.grow(Millis(40), reading, Bytes(100 * KIB)), waiting);
}

#[test]
fn late_arrival() {
    // Guards against a request that is served although its connection gives way: it would run, and
    // find no room for its answer.
    let mut account = CallerAccount::new(LIMITS);
    let evicted = reader(&mut account, 0, 740 * KIB);
    let newcomer = open(&mut account, 1_000, ConnectionPhase::Reading);
    assert_eq!(account.grow(Millis(1_000), newcomer, Bytes(100 * KIB)), granted(&[evicted]));
    assert_eq!(account.start_serving(Millis(1_001), evicted), Err(Shortage::Memory));
    assert_eq!(account.start_serving(Millis(1_001), newcomer), Ok(()));
}

#[test]
fn silent_before_idle() {
    // Guards against connections without a request that keep out new ones, and against the end of
    // one that is used.
    let mut account = CallerAccount::new(LIMITS);
    let serving = open(&mut account, 0, ConnectionPhase::Serving);
    let idle = open(&mut account, 0, ConnectionPhase::Idle);
    let silent: Vec<_> =
        (0..8).map(|number| open(&mut account, number, ConnectionPhase::Silent)).collect();
    for expected in silent {
        let (id, evicted) = account.open(Millis(1_000), Bytes(0)).unwrap();
        assert_eq!(evicted, [expected]);
        account.close(expected);
        account.set_phase(Millis(1_000), id, ConnectionPhase::Serving);
    }
    let (id, evicted) = account.open(Millis(1_000), Bytes(0)).unwrap();
    assert_eq!(evicted, [idle]);
    account.close(idle);
    account.set_phase(Millis(1_000), id, ConnectionPhase::Serving);
    assert_eq!(account.open(Millis(1_000), Bytes(0)), Err(Shortage::Connections));
    account.close(serving);
    assert!(account.open(Millis(1_000), Bytes(0)).is_ok());
}

#[test]
fn late_first_bytes() {
    // Guards against newcomers that end before their first bytes can arrive, beside a crowd that
    // connects again and again.
    let mut account = CallerAccount::new(AccountLimits { max_connections: 2, ..LIMITS });
    let held_back = reader(&mut account, 0, KIB);
    let newcomer = open(&mut account, 5_000, ConnectionPhase::Silent);
    let (_, evicted) = account.open(Millis(5_010), Bytes(0)).unwrap();
    assert_eq!(evicted, [held_back]);
    account.close(held_back);
    // It has had its time.
    let (_, evicted) = account.open(Millis(6_000), Bytes(0)).unwrap();
    assert_eq!(evicted, [newcomer]);
}

#[test]
fn oldest_newcomer() {
    // Guards against an order of new connections that depends on which of them was read first.
    let mut account = CallerAccount::new(AccountLimits { max_connections: 2, ..LIMITS });
    let first = open(&mut account, 0, ConnectionPhase::Silent);
    let second = open(&mut account, 0, ConnectionPhase::Silent);
    assert_eq!(account.grow(Millis(1), second, Bytes(16 * KIB)), granted(&[]));
    let (_, evicted) = account.open(Millis(2), Bytes(0)).unwrap();
    assert_eq!(evicted, [first]);
}

#[test]
fn slow_leavers() {
    // Guards against connections without bound while those that give way aren't closed yet.
    let mut account = CallerAccount::new(LIMITS);
    let opened = (0..1_000).filter(|_| account.open(Millis(1), Bytes(KIB)).is_ok()).count();
    assert_eq!(opened as u64, account.connections());
    assert!(account.connections() <= LIMITS.max_connections + 64);
    assert!(account.held() <= LIMITS.max_bytes);
}

#[test]
fn lowered_limits() {
    // Guards against limits that count only once everything held before is gone.
    let mut account = CallerAccount::new(LIMITS);
    let first = reader(&mut account, 0, 500 * KIB);
    let second = reader(&mut account, 1, 100 * KIB);
    account.set_limits(AccountLimits { max_bytes: Bytes(512 * KIB), max_connections: 2 });
    let waiting = Ok(Growth { is_granted: false, evicted: vec![first] });
    assert_eq!(account.grow(Millis(10), second, Bytes(KIB)), waiting);
    let (_, evicted) = account.open(Millis(11), Bytes(0)).unwrap();
    assert_eq!(evicted, []);
    let (_, evicted) = account.open(Millis(11), Bytes(0)).unwrap();
    assert_eq!(evicted.len(), 1);
}

#[test]
fn unreleased_memory() {
    // Guards against a process that exceeds its memory while connections that give way still hold
    // theirs.
    let mut account = CallerAccount::new(LIMITS);
    let old = reader(&mut account, 0, 700 * KIB);
    let young = open(&mut account, 1_000, ConnectionPhase::Reading);
    account.set_limits(AccountLimits { max_bytes: Bytes(512 * KIB), ..LIMITS });
    let waiting = Ok(Growth { is_granted: false, evicted: vec![old] });
    assert_eq!(account.grow(Millis(1_000), young, Bytes(40 * KIB)), waiting);
    let waiting = Ok(Growth { is_granted: false, evicted: Vec::new() });
    assert_eq!(account.grow(Millis(1_001), young, Bytes(40 * KIB)), waiting);
    account.close(old);
    assert_eq!(account.grow(Millis(1_002), young, Bytes(40 * KIB)), granted(&[]));
}

#[test]
fn refused_newcomer() {
    // Guards against a connection that counts as leaving for a newcomer that isn't taken: nobody tells
    // it, so that it never leaves.
    let limits = AccountLimits { max_bytes: Bytes(64 * KIB), max_connections: 2 };
    let mut account = CallerAccount::new(limits);
    let served = open(&mut account, 0, ConnectionPhase::Serving);
    let idle = open(&mut account, 0, ConnectionPhase::Idle);
    account.add(served, Bytes(128 * KIB));
    assert_eq!(account.open(Millis(10), Bytes(KIB)), Err(Shortage::Memory));
    account.shrink(served, Bytes(128 * KIB));
    let (_, evicted) = account.open(Millis(20), Bytes(KIB)).unwrap();
    assert_eq!(evicted, [idle]);
}
