//! `free_address` never returns the same port twice. Two instances of a test would otherwise try
//! to listen on the same port.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use turmericrail_fakes::ports::free_address;

const ADDRESS_COUNT: usize = 2_000;
const SPAWNING_THREADS: usize = 4;

#[test]
fn free_addresses_are_unique() {
    let addresses: BTreeSet<_> = (0..ADDRESS_COUNT).map(|_| free_address().unwrap()).collect();
    assert_eq!(addresses.len(), ADDRESS_COUNT);
}

#[test]
fn free_while_spawning() {
    // Guards against ports that a process started meanwhile still holds for a moment: an instance
    // could not listen there.
    let is_done = AtomicBool::new(false);
    let spawn = || {
        while !is_done.load(Ordering::Relaxed) {
            Command::new("true").status().unwrap();
        }
    };
    let taken_count = thread::scope(|scope| {
        for _ in 0..SPAWNING_THREADS {
            scope.spawn(spawn);
        }
        let is_taken = |_: &usize| TcpListener::bind(free_address().unwrap()).is_err();
        let taken_count = (0..ADDRESS_COUNT).filter(is_taken).count();
        is_done.store(true, Ordering::Relaxed);
        taken_count
    });
    assert_eq!(taken_count, 0);
}
