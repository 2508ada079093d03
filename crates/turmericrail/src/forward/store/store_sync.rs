//! Passes what the platform publishes in its store on to the forwarder.

use std::sync::Arc;

use async_std::task;
use turmericrail_core::forward::{PublishedItem, ServerRun, TenantTable};
use turmericrail_platform::{configuration, server_entry, store};

use super::store_watch::{self, StoreEvent};
use crate::forward::clock;
use crate::forward::peers::stream_versions;
use crate::forward::servers::server_ends;
use crate::forward::shared::Shared;

/// The key prefixes that are read and watched.
pub const PREFIXES: [&str; 2] = [configuration::KEY, server_entry::PREFIX];

/// Starts to read and watch the configuration and the servers.
pub fn start(shared: &Arc<Shared>) {
    for prefix in PREFIXES {
        let watch_shared = Arc::clone(shared);
        let handle = move |event| handle_event(&watch_shared, prefix, event);
        task::spawn(store_watch::run(Arc::clone(shared), prefix, handle));
    }
}

fn handle_event(shared: &Arc<Shared>, prefix: &str, event: StoreEvent) {
    let new_items = match event {
        StoreEvent::Lost => {
            shared.set_store_lost(prefix, true);
            stream_versions::tell_recent(shared);
            return;
        }
        StoreEvent::Regained => {
            shared.set_store_lost(prefix, false);
            if prefix == server_entry::PREFIX {
                shared.forwarder().record_registry_reconnection(clock::now_ms());
            }
            return;
        }
        StoreEvent::Listed(revision, items) => {
            notice_restore(shared, prefix, revision);
            let item_count = items.len();
            let new_items =
                shared.relay.with_set(prefix, |set| set.apply_snapshot(revision, items));
            spdlog::info!(
                "event=store_listed prefix={prefix} revision={revision} items={item_count}"
            );
            new_items
        }
        StoreEvent::Changed(revision, items) => {
            shared.relay.with_set(prefix, |set| set.apply(revision, items))
        }
    };
    shared.relay.change.notify();
    apply_items(shared, prefix, new_items.unwrap_or_default(), "store");
}

/// Records that the store was restored from a copy if a revision is of a later era than the known
/// ones: entries may be missing until their servers write them again, and servers that have left
/// may be registered until their entries expire.
fn notice_restore(shared: &Arc<Shared>, prefix: &str, revision: u64) {
    let known = shared.relay.with_set(prefix, |set| set.revision()).unwrap_or_default();
    let is_restored = known > 0 && store::era_of(revision) > store::era_of(known);
    if !is_restored {
        return;
    }
    spdlog::info!("event=era_changed prefix={prefix} revision={known} new_revision={revision}");
    if prefix == server_entry::PREFIX {
        shared.forwarder().record_registry_restore(clock::now_ms());
    }
    // The watch of another prefix may go on from a lost revision without a sign.
    let first_of_era = store::revision(store::era_of(revision), 0);
    for other in PREFIXES.into_iter().filter(|other| *other != prefix) {
        shared.relay.queue_announced_revision(other, first_of_era);
    }
}

/// Records whether the instance that this one follows can read the store.
pub fn record_store_access(shared: &Arc<Shared>, is_lost: bool) {
    let was_lost = shared.is_store_lost();
    if is_lost == was_lost {
        return;
    }
    spdlog::info!("event=followed_store is_lost={is_lost}");
    let event = || if is_lost { StoreEvent::Lost } else { StoreEvent::Regained };
    PREFIXES.into_iter().for_each(|prefix| handle_event(shared, prefix, event()));
}

/// Applies items that another instance has read.
pub fn apply_relayed(shared: &Arc<Shared>, prefix: &str, revision: u64, items: Vec<PublishedItem>) {
    notice_restore(shared, prefix, revision);
    let new_items = shared.relay.with_set(prefix, |set| set.apply(revision, items));
    let new_items = new_items.unwrap_or_default();
    if let Some(last_change) = new_items.iter().map(|item| item.revision).max() {
        shared.relay.queue_announced_revision(prefix, last_change);
        shared.relay.change.notify();
    }
    apply_items(shared, prefix, new_items, "peer");
}

fn apply_items(shared: &Arc<Shared>, prefix: &str, new_items: Vec<PublishedItem>, source: &str) {
    for item in &new_items {
        if prefix == configuration::KEY {
            apply_configuration(shared, item, source);
        } else {
            apply_server_entry(shared, item, source);
        }
    }
}

fn apply_configuration(shared: &Arc<Shared>, item: &PublishedItem, source: &str) {
    if item.key != configuration::KEY {
        return;
    }
    let revision = item.revision;
    let Some(value) = &item.value else {
        spdlog::warn!("event=config_removed revision={revision} source={source}");
        return;
    };
    let table = match configuration::decode(value) {
        Ok(table) => table,
        Err(error) => {
            let error = error.to_string();
            spdlog::error!("event=config_refused revision={revision} error={error:?}");
            return;
        }
    };
    let (version, routes) = (table.version(), table.route_count());
    let tenants = table.tenants().map_or(0, TenantTable::count);
    let is_newer = shared.forwarder().apply_table(table);
    let outcome = if is_newer { "in_force" } else { "not_newer" };
    if is_newer {
        shared.metrics.config_version.set(version.0 as i64);
    }
    spdlog::info!(
        "event=config version={version} revision={revision} routes={routes} source={source} \
         outcome={outcome} tenants={tenants}"
    );
}

fn apply_server_entry(shared: &Arc<Shared>, item: &PublishedItem, source: &str) {
    let Some((update, error)) = server_entry::decode_item(item) else {
        spdlog::warn!("event=server_key_unusable key={:?}", item.key);
        return;
    };
    if let Some(error) = error {
        let error = error.to_string();
        spdlog::warn!("event=server_entry_unusable server={} error={error:?}", update.server);
    }
    let registered = update.entry.as_ref().map(|entry| {
        let server = update.server.clone();
        (ServerRun { server, started_ms: entry.started_ms }, entry.address)
    });
    let state = update.entry.as_ref().map(|entry| format!("{:?}", entry.state));
    let state = state.unwrap_or_else(|| "Gone".to_owned()).to_lowercase();
    let (server, revision) = (update.server.clone(), update.revision);
    let is_new = shared.forwarder().apply_server_update(clock::now_ms(), update);
    spdlog::info!(
        "event=server_changed server={server} revision={revision} state={state} source={source} \
         is_new={is_new}"
    );
    if let Some((run, address)) = registered.filter(|_| is_new) {
        server_ends::record_registration(shared, &run, address);
    }
}
