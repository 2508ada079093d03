//! Exchanges members and published items with other instances.
//!
//! Each instance calls one other instance at a time: seldom while it can read the platform's store
//! itself, and often while it can't, since then it learns the items from others. Instances that
//! don't watch the store follow one that does (`store_follow`).
//!
//! Where two instances know different members, the reply names a few that the calling one lacks. It
//! goes on with others of these, so that after a start of many instances each calls the seeds once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::task;
use tonic::{Request, Status};
use turmericrail_core::forward::{ExchangePace, MemberFilter, MemberList};
use turmericrail_wire::relay::{self as wire, ExchangeReply, ExchangeRequest};
use turmericrail_wire::relayed_item;

use super::{loss_notices, relay, relay_leaving, relay_limits, relay_members, relay_speeds, usage};
use crate::forward::shared::Shared;
use crate::forward::store::store_sync;

/// Longest wait for a reply. An instance that many others call after their start replies late, and
/// calls that are given up early would only add to its work.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Exchanges with other instances in an endless loop.
pub async fn run(shared: Arc<Shared>) {
    loop {
        let wait_ms = shared.relay.pace().wait_ms(shared.is_store_lost(), fastrand::f64());
        task::sleep(Duration::from_millis(wait_ms.0)).await;
        let Some(address) = choose_peer(&shared) else {
            continue;
        };
        let exchanging = async_std::future::timeout(EXCHANGE_TIMEOUT, exchange(&shared, address));
        let problem = match exchanging.await {
            Ok(Ok(new_members)) => {
                let relay = &shared.relay;
                let is_behind = relay.told_member_count() > relay.members().count();
                relay.pace().record_exchange(new_members, is_behind);
                continue;
            }
            Ok(Err(status)) => status.message().to_owned(),
            Err(_) => "timeout".to_owned(),
        };
        shared.relay.pace().record_failure();
        spdlog::debug!("event=exchange_failed peer={address} problem={problem:?}");
    }
}

/// Chooses a random member, or sometimes a seed.
fn choose_peer(shared: &Shared) -> Option<SocketAddr> {
    let settings = shared.settings();
    let relay = &shared.relay;
    let own_address = settings.peer_address;
    let is_seed = settings.seeds.contains(&own_address);
    let seeds: Vec<_> = settings.seeds.iter().copied().filter(|it| *it != own_address).collect();
    let seed_share = ExchangePace::seed_share(is_seed, seeds.len(), relay.instance_count());
    let member = relay.members().pick_random(&seeds, fastrand::u64(..));
    let index = relay.pace().seed_index(relay.own_number, fastrand::usize(..), seeds.len());
    let seed = seeds.get(index).copied();
    if fastrand::f64() < seed_share { seed.or(member) } else { member.or(seed) }
}

/// Exchanges with an instance; returns the number of members that were new.
async fn exchange(shared: &Arc<Shared>, address: SocketAddr) -> Result<usize, Status> {
    let mut client = relay::connect(address).await?;
    let own = relay_members::list_members(shared);
    // The ages are as long as the list, so they go only where they are likely to be of use.
    let ages_ms = match shared.relay.is_settled.load(Ordering::Relaxed) {
        true => relay_members::ages_to_wire(&own),
        false => Vec::new(),
    };
    let request = ExchangeRequest {
        ages_ms,
        bucket_hashes: own.bucket_hashes(),
        ..exchange_request(shared, &own)
    };
    let reply = client.exchange(Request::new(request)).await?.into_inner();
    let members = relay_members::select_for_reply(shared, &own, &reply);
    let peer_notices_hash = reply.notices_hash;
    let new_members = apply_reply(shared, address, &own, reply);
    let are_notices_told = loss_notices::hash(shared) == peer_notices_hash;
    if are_notices_told && members.is_empty() {
        return Ok(new_members);
    }
    let notices = if are_notices_told { None } else { loss_notices::list_after(shared, 0) };
    let request = ExchangeRequest { members, notices, ..exchange_request(shared, &own) };
    let reply = client.exchange(Request::new(request)).await?.into_inner();
    merge_other_state(shared, address, reply);
    Ok(new_members)
}

/// A request without the ages of the members.
fn exchange_request(shared: &Shared, own: &MemberList) -> ExchangeRequest {
    let filter = MemberFilter::new(own, fastrand::u64(..));
    ExchangeRequest {
        known_members: filter.bits().to_vec(),
        filter_salt: filter.salt(),
        sender: Some(relay_members::own_to_wire(shared)),
        known: shared.relay.known_sets(),
        leaving: relay_leaving::list_leaving(shared),
        limits: relay_limits::list_limits(shared),
        members_hash: own.identity_hash(),
        notices_hash: loss_notices::hash(shared),
        is_reading_store: shared.relay.is_reading_store(),
        accepts_deflated: true,
        speeds: relay_speeds::list_speeds(shared),
        ..ExchangeRequest::default()
    }
}

/// Applies a reply; returns the number of members that were new.
fn apply_reply(
    shared: &Arc<Shared>,
    address: SocketAddr,
    own: &MemberList,
    reply: ExchangeReply,
) -> usize {
    let is_same = !reply.ages_ms.is_empty() && reply.equal_buckets == 0;
    shared.relay.is_settled.store(is_same, Ordering::Relaxed);
    shared.relay.record_told_member_count(reply.member_count);
    let new_members = relay_members::merge_members(shared, reply.members.iter());
    if is_same {
        relay_members::merge_ages(shared, own, &reply.ages_ms);
    } else if reply.equal_buckets != 0 {
        relay_members::merge_ages(shared, &own.part(reply.equal_buckets), &reply.ages_ms);
    }
    merge_other_state(shared, address, reply);
    new_members
}

/// Applies what a reply says of other things than members.
fn merge_other_state(shared: &Arc<Shared>, address: SocketAddr, reply: ExchangeReply) {
    relay_leaving::merge_leaving(shared, &reply.leaving);
    relay_limits::merge_limits(shared, &reply.limits);
    loss_notices::merge_exchanged(shared, reply.notices);
    relay_speeds::merge_speeds(shared, reply.speeds.as_ref());
    usage::record_exchange(shared, address);
    apply_newer(shared, address, reply.newer);
}

/// Applies the sets of which another instance knew a newer revision.
pub fn apply_newer(shared: &Arc<Shared>, address: SocketAddr, newer: Vec<wire::ItemSet>) {
    for set in newer {
        let items: Result<Vec<_>, _> =
            set.items.into_iter().map(relayed_item::decode_item).collect();
        // Without all of its items the revision of the set isn't known.
        let items = match items {
            Ok(items) => items,
            Err(error) => {
                let error = error.to_string();
                spdlog::warn!("event=relayed_set_unusable peer={address} error={error:?}");
                continue;
            }
        };
        spdlog::info!(
            "event=relayed peer={address} prefix={} revision={} items={}",
            set.prefix,
            set.revision,
            items.len()
        );
        store_sync::apply_relayed(shared, &set.prefix, set.revision, items);
    }
}
