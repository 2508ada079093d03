//! The members that an instance knows, in as many bytes for a large fleet as for a small one.
//!
//! A Bloom filter with one hash function. Its salt differs between messages, so that a member that
//! one filter hides by chance is told in a later exchange.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::forward::MemberList;

/// At 320 members a seventh of the unknown ones are hidden by one filter, at 1,000 two fifths.
const FILTER_BYTES: usize = 256;

/// A filter of members.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberFilter {
    salt: u64,
    bits: Vec<u8>,
}

impl MemberFilter {
    /// The filter of a list.
    pub fn new(list: &MemberList, salt: u64) -> Self {
        let mut filter = Self { salt, bits: vec![0; FILTER_BYTES] };
        for identity in list.identities() {
            let (index, mask) = filter.position(*identity);
            filter.bits[index] |= mask;
        }
        filter
    }

    /// A filter from a message; `None` if it has no bits or too many.
    pub fn from_parts(salt: u64, bits: Vec<u8>) -> Option<Self> {
        (1..=FILTER_BYTES).contains(&bits.len()).then_some(Self { salt, bits })
    }

    /// What makes filters differ that hold the same members.
    pub fn salt(&self) -> u64 {
        self.salt
    }

    /// The bits, for a message.
    pub fn bits(&self) -> &[u8] {
        &self.bits
    }

    /// Whether the filter may hold the member of an identity; one that it holds is always found.
    pub fn may_contain(&self, identity: u64) -> bool {
        let (index, mask) = self.position(identity);
        self.bits[index] & mask != 0
    }

    /// Byte and bit of a member.
    fn position(&self, identity: u64) -> (usize, u8) {
        let hash = xxh3_64_with_seed(&identity.to_le_bytes(), self.salt);
        let bit = (hash % (self.bits.len() as u64 * 8)) as usize;
        (bit / 8, 1 << (bit % 8))
    }
}
