//! Which members an instance follows instead of watching the platform's store.
//!
//! The members of a data centre form a tree, in the order of a rendezvous hash: the first of them
//! watch the store, and each of these and of the later ones has a few followers. What a member sends
//! at a change therefore doesn't grow with the data centre.

use std::net::SocketAddr;

/// Members of each data centre that watch the platform: enough that a few may be lost at once.
pub(super) const WATCHERS_PER_DATA_CENTRE: usize = 4;
/// Followers of each member, as long as all members know the same ones.
const FOLLOWERS_PER_MEMBER: usize = 8;

/// The place of an instance in the tree of its data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FollowPlan {
    /// Members between the store and this instance; 0 if it watches the store itself.
    pub level: u32,
    /// The members of the level above: first the one to follow, then those that take its place.
    pub parents: Vec<SocketAddr>,
}

impl FollowPlan {
    /// The plan of the member at a position of the order.
    pub(super) fn new(position: usize, address: impl Fn(usize) -> Option<SocketAddr>) -> Self {
        let (mut above, mut begin, mut width, mut level) = (0..0, 0, WATCHERS_PER_DATA_CENTRE, 0);
        while position >= begin + width {
            above = begin..begin + width;
            begin += width;
            width *= FOLLOWERS_PER_MEMBER;
            level += 1;
        }
        if above.is_empty() {
            return Self { level, parents: Vec::new() };
        }
        let first = (position - begin) % above.len();
        let (last_ones, first_ones) = (above.start..above.start + first, above.start + first);
        let parents = (first_ones..above.end).chain(last_ones);
        Self { level, parents: parents.filter_map(address).collect() }
    }
}
