//! Ports handed to the instances of one test process are never handed out twice.

use std::collections::BTreeSet;

use turmericrail_fakes::ports::free_address;

/// Addresses asked for.
const COUNT: usize = 2_000;

#[test]
fn no_port_twice() {
    let addresses: BTreeSet<_> = (0..COUNT).map(|_| free_address().unwrap()).collect();
    assert_eq!(addresses.len(), COUNT);
}
