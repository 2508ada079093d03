//! The members as instances tell them to each other in exchanges.

use std::net::SocketAddr;

use turmericrail_core::forward::{Member, MemberFilter, MemberList, Watcher};
use turmericrail_core::ids::DataCentreId;
use turmericrail_core::units::Millis;
use turmericrail_wire::relay as wire;

use crate::forward::clock;
use crate::forward::settings::ForwardSettings;
use crate::forward::shared::Shared;

/// Data centre of members that don't state theirs.
const UNKNOWN_DATA_CENTRE: &str = "unknown";

/// Whether this instance is the first of those that watch the store for its data centre.
pub fn is_first_watcher(shared: &Shared) -> bool {
    let own = &shared.settings().data_centre;
    shared.relay.members().watchers(own, true).first() == Some(&Watcher::Own)
}

/// Addresses of the other instances that watch the store: those of this data centre as a ring,
/// beginning after this instance, and those of the other ones.
pub fn watching_instances(shared: &Shared) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let own = &shared.settings().data_centre;
    let members = shared.relay.members();
    let address = |watcher: Watcher| match watcher {
        Watcher::Own => None,
        Watcher::Other(address) => Some(address),
    };
    let mut ring = members.watchers(own, true);
    let position = ring.iter().position(|watcher| *watcher == Watcher::Own);
    ring.rotate_left(position.unwrap_or_default());
    let local = ring.into_iter().filter_map(address).collect();
    let others = members.data_centres().into_iter().filter(|other| *other != own);
    let remote = others.flat_map(|other| members.watchers(other, false)).filter_map(address);
    (local, remote.collect())
}

/// The instance with these settings as a member.
pub fn own_member(settings: &ForwardSettings) -> Member {
    Member {
        instance: settings.instance.clone(),
        data_centre: settings.data_centre.clone(),
        address: settings.peer_address,
        age_ms: Millis::ZERO,
    }
}

/// This instance as a member, for a message.
pub fn own_to_wire(shared: &Shared) -> wire::Member {
    member_to_wire(&own_member(&shared.settings()))
}

/// Every member with the time since it was heard from, this instance included.
pub fn list_members(shared: &Shared) -> MemberList {
    let mut members = shared.relay.members().list(clock::now_ms());
    members.push(own_member(&shared.settings()));
    MemberList::new(members)
}

/// A member, for a message.
pub fn member_to_wire(member: &Member) -> wire::Member {
    wire::Member {
        instance: member.instance.to_string(),
        peer_address: member.address.to_string(),
        data_centre: member.data_centre.to_string(),
        age_ms: member.age_ms.0,
    }
}

/// The part of a reply that tells the members, or what the calling instance needs to know of them.
pub fn reply_members(
    shared: &Shared,
    own: &MemberList,
    request: &wire::ExchangeRequest,
    is_same: bool,
) -> wire::ExchangeReply {
    let reply = wire::ExchangeReply {
        member_count: own.members().len() as u32,
        ..wire::ExchangeReply::default()
    };
    if is_same {
        return wire::ExchangeReply { ages_ms: ages_to_wire(own), ..reply };
    }
    let equal_buckets = own.equal_buckets(&request.bucket_hashes);
    let ages_ms = ages_to_wire(&own.part(equal_buckets));
    let reply = wire::ExchangeReply { ages_ms, equal_buckets, ..reply };
    let is_told = request.members_hash > 0 && !request.members.is_empty();
    if is_told {
        return reply;
    }
    let is_free = shared.relay.told_members().is_free(clock::now_ms());
    let has_use = is_free && !request.known_members.is_empty();
    let filter = has_use.then(|| MemberFilter::new(own, fastrand::u64(..)));
    wire::ExchangeReply {
        members: select_for_request(shared, own, request),
        filter_salt: filter.as_ref().map_or(0, MemberFilter::salt),
        known_members: filter.map_or_else(Vec::new, |filter| filter.bits().to_vec()),
        ..reply
    }
}

/// Some of the members, for an instance that knows others.
fn select_for_request(
    shared: &Shared,
    list: &MemberList,
    request: &wire::ExchangeRequest,
) -> Vec<wire::Member> {
    let filter = MemberFilter::from_parts(request.filter_salt, request.known_members.clone());
    let data_centre = request.sender.as_ref().map_or("", |sender| &sender.data_centre);
    select(shared, list, filter.as_ref(), data_centre)
}

/// Some of the members, for an instance whose reply shows that it doesn't know them.
pub fn select_for_reply(
    shared: &Shared,
    list: &MemberList,
    reply: &wire::ExchangeReply,
) -> Vec<wire::Member> {
    let filter = MemberFilter::from_parts(reply.filter_salt, reply.known_members.clone());
    filter.map_or_else(Vec::new, |filter| select(shared, list, Some(&filter), ""))
}

fn select(
    shared: &Shared,
    list: &MemberList,
    filter: Option<&MemberFilter>,
    data_centre: &str,
) -> Vec<wire::Member> {
    let (now_ms, random) = (clock::now_ms(), fastrand::u64(..));
    let mut told = shared.relay.told_members();
    let data_centre = to_data_centre(data_centre);
    let members = list.select_unknown(filter, &data_centre, random, told.allowed(now_ms));
    told.record(now_ms, members.len());
    members.iter().map(member_to_wire).collect()
}

fn to_data_centre(text: &str) -> DataCentreId {
    let unknown = || UNKNOWN_DATA_CENTRE.parse().expect("the name is a valid id");
    text.parse().unwrap_or_else(|_| unknown())
}

/// The ages alone, for a message to an instance that knows the same members.
pub fn ages_to_wire(list: &MemberList) -> Vec<u32> {
    list.ages_ms().map(|age_ms| u32::try_from(age_ms.0).unwrap_or(u32::MAX)).collect()
}

/// Merges the ages that an instance with the same members knows.
pub fn merge_ages(shared: &Shared, list: &MemberList, ages_ms: &[u32]) {
    let ages_ms: Vec<_> = ages_ms.iter().map(|age_ms| Millis(u64::from(*age_ms))).collect();
    match list.with_ages(&ages_ms) {
        Some(members) => {
            merge_known_members(shared, members.into_iter());
        }
        None => spdlog::warn!("event=member_ages_malformed ages={}", ages_ms.len()),
    }
}

/// A member of a message; `None` if it can't be used.
pub fn member_from_wire(member: &wire::Member) -> Option<Member> {
    Some(Member {
        instance: member.instance.parse().ok()?,
        address: member.peer_address.parse().ok()?,
        data_centre: to_data_centre(&member.data_centre),
        age_ms: Millis(member.age_ms),
    })
}

/// Merges members from a message; returns the number of new ones.
pub fn merge_members<'a>(
    shared: &Shared,
    members: impl Iterator<Item = &'a wire::Member>,
) -> usize {
    let mut decoded = Vec::new();
    for member in members {
        match member_from_wire(member) {
            Some(member) => decoded.push(member),
            None => spdlog::warn!("event=member_malformed instance={:?}", member.instance),
        }
    }
    merge_known_members(shared, decoded.into_iter())
}

fn merge_known_members(shared: &Shared, members: impl Iterator<Item = Member>) -> usize {
    let now_ms = clock::now_ms();
    let mut known = shared.relay.members();
    let before = known.count();
    members.for_each(|member| known.merge(now_ms, &member));
    let new_members = known.count() - before;
    known.expire(now_ms);
    let count = known.count();
    drop(known);
    if count != before {
        spdlog::info!("event=members_changed count={count} before={before}");
    }
    new_members
}
