//! `free_address` never returns the same port twice. Two instances of a test would otherwise try
//! to listen on the same port.

use std::collections::BTreeSet;

use turmericrail_fakes::ports::free_address;

const ADDRESS_COUNT: usize = 2_000;

#[test]
fn free_addresses_are_unique() {
    let addresses: BTreeSet<_> = (0..ADDRESS_COUNT).map(|_| free_address().unwrap()).collect();
    assert_eq!(addresses.len(), ADDRESS_COUNT);
}
