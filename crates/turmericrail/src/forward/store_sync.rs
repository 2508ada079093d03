//! What the platform publishes, handed to the forwarder.

use std::sync::Arc;

use async_std::task;
use turmericrail_core::forward::PublishedItem;
use turmericrail_platform::{configuration, server_entry};

use super::clock;
use super::shared::Shared;
use super::store_watch::{self, Told};

/// The sets of items that are read and handed on.
pub const PREFIXES: [&str; 2] = [configuration::KEY, server_entry::PREFIX];

/// Starts to read and watch the configuration and the servers.
pub fn start(shared: &Arc<Shared>) {
    for prefix in PREFIXES {
        let taking = Arc::clone(shared);
        let take = move |told| take(&taking, prefix, told);
        task::spawn(store_watch::run(Arc::clone(shared), prefix, take));
    }
}

fn take(shared: &Shared, prefix: &str, told: Told) {
    let fresh = match told {
        Told::Lost => {
            shared.set_store_lost(prefix, true);
            return;
        }
        Told::Returned => {
            shared.set_store_lost(prefix, false);
            if prefix == server_entry::PREFIX {
                shared.forwarder().record_registry_reconnection(clock::now_ms());
            }
            return;
        }
        Told::All(revision, items) => {
            let listed = items.len();
            let fresh = shared.relay.with_set(prefix, |set| set.apply_snapshot(revision, items));
            spdlog::info!("event=store_listed prefix={prefix} revision={revision} items={listed}");
            fresh
        }
        Told::Changed(revision, items) => {
            shared.relay.with_set(prefix, |set| set.apply(revision, items))
        }
    };
    apply(shared, prefix, fresh.unwrap_or_default(), "store");
}

/// Takes what another instance has read.
pub fn take_relayed(shared: &Shared, prefix: &str, revision: u64, items: Vec<PublishedItem>) {
    let fresh = shared.relay.with_set(prefix, |set| set.apply(revision, items));
    let fresh = fresh.unwrap_or_default();
    if !fresh.is_empty() {
        shared.relay.note_told(prefix, revision);
    }
    apply(shared, prefix, fresh, "peer");
}

fn apply(shared: &Shared, prefix: &str, fresh: Vec<PublishedItem>, source: &str) {
    for item in &fresh {
        if prefix == configuration::KEY {
            take_configuration(shared, item, source);
        } else {
            take_server(shared, item, source);
        }
    }
}

fn take_configuration(shared: &Shared, item: &PublishedItem, source: &str) {
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
    let is_newer = shared.forwarder().apply_table(table);
    let outcome = if is_newer { "in_force" } else { "not_newer" };
    if is_newer {
        shared.metrics.config_version.set(version.0 as i64);
    }
    spdlog::info!(
        "event=config version={version} revision={revision} routes={routes} source={source} \
         outcome={outcome}"
    );
}

fn take_server(shared: &Shared, item: &PublishedItem, source: &str) {
    let Some((news, error)) = server_entry::read(item) else {
        spdlog::warn!("event=server_key_unusable key={:?}", item.key);
        return;
    };
    if let Some(error) = error {
        let error = error.to_string();
        spdlog::warn!("event=server_entry_unusable server={} error={error:?}", news.server);
    }
    let state = news.entry.as_ref().map(|entry| format!("{:?}", entry.state));
    let state = state.unwrap_or_else(|| "Gone".to_owned()).to_lowercase();
    let (server, revision) = (news.server.clone(), news.revision);
    let is_new = shared.forwarder().apply_server_update(clock::now_ms(), news);
    spdlog::info!(
        "event=server_changed server={server} revision={revision} state={state} source={source} \
         is_new={is_new}"
    );
}
