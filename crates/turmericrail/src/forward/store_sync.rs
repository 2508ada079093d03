//! What the platform publishes, handed to the forwarder.

use std::sync::Arc;

use async_std::task;
use turmericrail_platform::store::StoreItem;
use turmericrail_platform::{configuration, server_entry};

use super::clock;
use super::shared::Shared;
use super::store_watch::{self, Told};

/// Starts to read and watch the configuration and the servers.
pub fn start(shared: &Arc<Shared>) {
    let config = Arc::clone(shared);
    let taking = Arc::clone(shared);
    task::spawn(store_watch::run(config, configuration::KEY, move |told| {
        take_configuration(&taking, told);
    }));
    let servers = Arc::clone(shared);
    let taking = Arc::clone(shared);
    task::spawn(store_watch::run(servers, server_entry::PREFIX, move |told| {
        take_servers(&taking, told);
    }));
}

fn take_configuration(shared: &Shared, told: Told) {
    let (Told::All(_, items) | Told::Changed(items)) = told else {
        return;
    };
    for item in items.iter().filter(|item| item.key == configuration::KEY) {
        let Some(value) = &item.value else {
            spdlog::warn!("event=config_removed revision={}", item.revision);
            continue;
        };
        let table = match configuration::decode(value) {
            Ok(table) => table,
            Err(error) => {
                let error = error.to_string();
                spdlog::error!("event=config_refused revision={} error={error:?}", item.revision);
                continue;
            }
        };
        let (version, routes) = (table.version(), table.route_count());
        let is_newer = shared.forwarder().take_table(table);
        let outcome = if is_newer { "in_force" } else { "not_newer" };
        shared.metrics.config_version.set(version.0 as i64);
        spdlog::info!(
            "event=config version={version} revision={} routes={routes} outcome={outcome}",
            item.revision
        );
    }
}

fn take_servers(shared: &Shared, told: Told) {
    let now_ms = clock::now_ms();
    match told {
        Told::Returned => shared.forwarder().note_registry_return(now_ms),
        Told::All(revision, items) => {
            let list = items.iter().filter_map(read).collect();
            let changed = shared.forwarder().take_list(now_ms, revision, list);
            spdlog::info!(
                "event=servers_listed revision={revision} listed={} changed={}",
                items.len(),
                changed.len()
            );
        }
        Told::Changed(items) => {
            for news in items.iter().filter_map(read) {
                let state = news.entry.as_ref().map(|entry| format!("{:?}", entry.state));
                let state = state.unwrap_or_else(|| "Gone".to_owned()).to_lowercase();
                let (server, revision) = (news.server.clone(), news.revision);
                let is_new = shared.forwarder().take_news(now_ms, news);
                spdlog::info!(
                    "event=server_changed server={server} revision={revision} state={state} \
                     is_new={is_new}"
                );
            }
        }
    }
}

fn read(item: &StoreItem) -> Option<turmericrail_core::forward::ServerNews> {
    let (news, error) = server_entry::read(item)?;
    if let Some(error) = error {
        let error = error.to_string();
        spdlog::warn!("event=server_entry_unusable server={} error={error:?}", news.server);
    }
    Some(news)
}
