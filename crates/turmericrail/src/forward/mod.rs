//! Forwards calls byte for byte to backend servers that register themselves in the platform's
//! store.
//!
//! A request passes from the listener (`callers`) to `callers::dispatch`, which
//! finds its route, and on to `calls::plain_call` or `calls::model_call`. These ask the [`Forwarder`] of
//! `turmericrail-core` for a server and call it through `servers`.
//! `store::store_sync` supplies the forwarder with the configuration and the servers.
//!
//! [`Forwarder`]: turmericrail_core::forward::Forwarder

mod callers;
mod calls;
mod clock;
mod handover;
mod once_signal;
mod operator_endpoints;
mod peers;
mod reload;
mod servers;
pub mod settings;
mod shared;
mod shutdown;
pub mod shutdown_times;
mod store;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use async_global_executor::GlobalExecutorConfig;
use async_std::task;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::error::StartError;
use crate::logs;
use crate::signals::SignalListener;
use settings::ForwardSettings;
use shared::Shared;

/// Longest wait at exit for buffered log lines to be written.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts the executor with one thread and runs the daemon until a stop signal.
pub fn start(path: PathBuf, settings: ForwardSettings) -> Result<(), StartError> {
    let executor = GlobalExecutorConfig::default()
        .with_min_threads(1)
        .with_max_threads(1)
        .with_thread_name_fn(|| "worker".to_owned());
    async_global_executor::init_with_config(executor);
    let log = logs::set_up_bounded(settings.log_level)?;
    let (result_sender, result_receiver) = async_channel::bounded(1);
    // The main thread only waits for the result, so that the sockets are polled by the worker
    // alone.
    task::spawn(async move {
        let _ = result_sender.send(run(path, settings).await).await;
    });
    let result = result_receiver.recv_blocking().unwrap_or(Ok(()));
    log.flush_within(LOG_FLUSH_TIMEOUT);
    result
}

async fn run(path: PathBuf, settings: ForwardSettings) -> Result<(), StartError> {
    let shared = Arc::new(Shared::new(settings));
    let stop_signal = SignalListener::register(&[SIGTERM, SIGINT])?;
    let reload_signal = SignalListener::register(&[SIGHUP])?;
    let listener = callers::caller_listener::listen(&shared).await?;
    let handover_listener = handover::listener::listen(&shared).await?;
    let _operator_listeners = operator_endpoints::listen(&shared).await?;
    peers::relay::listen(&shared).await?;
    store::store_sync::start(&shared);
    task::spawn(peers::relay_exchange::run(Arc::clone(&shared)));
    task::spawn(peers::run_search::run(Arc::clone(&shared)));
    task::spawn(store::store_follow::run(Arc::clone(&shared)));
    task::spawn(peers::loss_notices::run(Arc::clone(&shared)));
    task::spawn(servers::role_orders::run(Arc::clone(&shared)));
    task::spawn(shared::expire_periodically(Arc::clone(&shared)));
    task::spawn(reload::run(Arc::clone(&shared), path, reload_signal));
    let settings = shared.settings();
    spdlog::info!(
        "event=started instance={} data_centre={} caller_address={} store_address={}",
        settings.instance,
        settings.data_centre,
        settings.caller_address,
        settings.store_address
    );
    shutdown::run(&shared, stop_signal, listener, handover_listener).await;
    spdlog::info!("event=ended instance={}", settings.instance);
    Ok(())
}
