//! Forwards calls byte for byte to backend servers that register themselves in the platform's
//! store.
//!
//! A request passes from the listener (`caller_listener`, `caller_connection`) to `dispatch`, which
//! finds its route, and on to `plain_call` or `model_call`. These ask the [`Forwarder`] of
//! `turmericrail-core` for a server and call it through `exchange` and `connection_pool`.
//! `store_sync` supplies the forwarder with the configuration and the servers.
//!
//! [`Forwarder`]: turmericrail_core::forward::Forwarder

mod answer_body;
mod answer_writer;
mod begun_version;
mod buffer_budget;
mod call_context;
mod call_failure;
mod call_guard;
mod caller_connection;
mod caller_listener;
mod caller_stream;
mod change_signal;
mod clock;
mod connection_pool;
mod control_call;
mod dispatch;
mod engine_attempt;
mod engine_calls;
mod engine_selection;
mod exchange;
mod follow_state;
mod held_kv;
mod loss_notices;
mod model_call;
mod operator_endpoints;
mod plain_call;
mod relay;
mod relay_limits;
mod relay_members;
mod relay_notices;
mod reload;
mod reservation;
mod role_orders;
mod sent_call;
mod server_calls;
mod server_connection;
mod server_ends;
mod server_notices;
pub mod settings;
mod shared;
mod shutdown;
mod store_client;
mod store_follow;
mod store_sync;
mod store_watch;
mod stream_versions;

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
    let listener = caller_listener::listen(&shared).await?;
    operator_endpoints::listen(&shared).await?;
    relay::listen(&shared).await?;
    store_sync::start(&shared);
    task::spawn(relay::run(Arc::clone(&shared)));
    task::spawn(store_follow::run(Arc::clone(&shared)));
    task::spawn(loss_notices::run(Arc::clone(&shared)));
    task::spawn(role_orders::run(Arc::clone(&shared)));
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
    shutdown::run(&shared, stop_signal, listener).await;
    spdlog::info!("event=ended instance={}", settings.instance);
    Ok(())
}
