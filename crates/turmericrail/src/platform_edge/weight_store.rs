//! Reads the transfer rate of the weight store.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use turmericrail_core::event::Event;
use turmericrail_wire::client::Call;
use turmericrail_wire::platform::WeightStoreAnswer;

use crate::daemon::Shared;

const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_000);
const READ_INTERVAL: Duration = Duration::from_secs(10);

/// Reads the rate periodically; failed reads are not reported.
pub async fn read_rate(shared: Arc<Shared>) {
    loop {
        let call = Call::get(shared.settings.platform_address, "/weight-store", ANSWER_TIMEOUT);
        if let Ok(answer) = call.send_json::<WeightStoreAnswer>().await {
            shared.send_event(Event::WeightRate(answer.rate_bytes_per_second));
        }
        task::sleep(READ_INTERVAL).await;
    }
}
