//! Daemon process: starts the edges and runs the coordinator until shutdown.

pub mod callers;
pub mod decisions;
pub mod driver;
pub mod shared;

use std::sync::Arc;

use async_global_executor::GlobalExecutorConfig;
use async_std::task;
use signal_hook::consts::{SIGINT, SIGTERM};
use turmericrail_core::event::Event;

use crate::error::StartError;
use crate::settings::Settings;
use crate::signals::SignalListener;
use crate::{caller_edge, logs, peer_edge, platform_edge};

pub use shared::Shared;

/// Starts the async executor with the configured number of threads and runs the daemon on it.
pub fn start(settings: Settings) -> Result<(), StartError> {
    let executor = GlobalExecutorConfig::default()
        .with_min_threads(settings.worker_threads)
        .with_max_threads(settings.worker_threads)
        .with_thread_name_fn(|| "worker".to_owned());
    async_global_executor::init_with_config(executor);
    task::block_on(run(settings))
}

/// Runs the daemon until it has received a shutdown signal and finished its requests.
pub async fn run(settings: Settings) -> Result<(), StartError> {
    logs::set_up(settings.log_level)?;
    let (shared, events) = Shared::new(settings);
    let shared = Arc::new(shared);
    watch_signals(&shared)?;
    let accept_loop = caller_edge::listen(&shared).await?;
    peer_edge::server::listen(&shared).await?;
    platform_edge::start(&shared);
    spdlog::info!(
        "event=started instance={} incarnation={} caller_address={} peer_address={}",
        shared.settings.instance,
        shared.incarnation,
        shared.settings.caller_address,
        shared.settings.peer_address
    );
    let (exit_sender, exit_receiver) = async_channel::bounded(1);
    task::spawn(driver::run(Arc::clone(&shared), events, exit_sender));
    let _ = exit_receiver.recv().await;
    accept_loop.stop().await;
    caller_edge::drain(&shared).await;
    spdlog::info!("event=ended instance={}", shared.settings.instance);
    Ok(())
}

fn watch_signals(shared: &Arc<Shared>) -> Result<(), StartError> {
    let mut shutdown_signal = SignalListener::register(&[SIGTERM, SIGINT])?;
    let shared = Arc::clone(shared);
    task::spawn(async move {
        if shutdown_signal.wait().await {
            shared.send_event(Event::Shutdown);
        }
    });
    Ok(())
}
