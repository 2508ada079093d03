//! Forwarding of calls, byte for byte, to backend servers that register themselves.
//!
//! A request passes from the caller edge (`caller_connection`, `caller_edge`) through `dispatch`,
//! which finds its route, to `plain_call` or `model_call`, which ask the [`Forwarder`] of
//! `turmericrail-core` where it goes, and to the backend edge (`exchange`, `connection_pool`).
//! `store_sync` feeds the forwarder with what the platform publishes.
//!
//! [`Forwarder`]: turmericrail_core::forward::Forwarder

mod answer_leg;
mod answer_writer;
mod call_context;
mod call_guard;
mod caller_connection;
mod caller_edge;
mod clock;
mod connection_pool;
mod dispatch;
mod engine_calls;
mod engine_place;
mod event_relay;
mod exchange;
mod failure;
mod held_kv;
mod model_call;
mod operator_edge;
mod plain_call;
mod relay;
mod reload;
mod reservation;
mod role_orders;
mod server_calls;
mod server_connection;
pub mod settings;
mod shared;
mod shutdown;
mod side_call;
mod store_client;
mod store_sync;
mod store_watch;

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

/// Longest wait for the log's reader at the end.
const LAST_LINES_LIMIT: Duration = Duration::from_millis(300);

/// Starts the executor with one thread and runs the daemon until it was told to end.
pub fn start(path: PathBuf, settings: ForwardSettings) -> Result<(), StartError> {
    let executor = GlobalExecutorConfig::default()
        .with_min_threads(1)
        .with_max_threads(1)
        .with_thread_name_fn(|| "worker".to_owned());
    async_global_executor::init_with_config(executor);
    let log = logs::set_up_bounded(settings.log_level)?;
    let (ended, end) = async_channel::bounded(1);
    // The main thread only waits for the end, so that the worker alone polls the sockets.
    task::spawn(async move {
        let _ = ended.send(run(path, settings).await).await;
    });
    let result = end.recv_blocking().unwrap_or(Ok(()));
    log.flush_within(LAST_LINES_LIMIT);
    result
}

async fn run(path: PathBuf, settings: ForwardSettings) -> Result<(), StartError> {
    let shared = Arc::new(Shared::new(settings));
    let ordered_to_end = SignalListener::register(&[SIGTERM, SIGINT])?;
    let hangup = SignalListener::register(&[SIGHUP])?;
    let listening = caller_edge::listen(&shared).await?;
    operator_edge::listen(&shared).await?;
    relay::listen(&shared).await?;
    store_sync::start(&shared);
    task::spawn(relay::run(Arc::clone(&shared)));
    task::spawn(role_orders::run(Arc::clone(&shared)));
    task::spawn(shared::expire(Arc::clone(&shared)));
    task::spawn(reload::run(Arc::clone(&shared), path, hangup));
    let settings = shared.settings();
    spdlog::info!(
        "event=started instance={} data_centre={} caller_address={} store_address={}",
        settings.instance,
        settings.data_centre,
        settings.caller_address,
        settings.store_address
    );
    shutdown::run(&shared, ordered_to_end, listening).await;
    spdlog::info!("event=ended instance={}", settings.instance);
    Ok(())
}
