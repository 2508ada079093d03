//! The rate of the weight store.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use turmericrail_core::event::Event;
use turmericrail_wire::client::Call;
use turmericrail_wire::platform::WeightStoreAnswer;

use crate::daemon::Shared;

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time between readings.
const PAUSE: Duration = Duration::from_secs(10);

/// Reads the rate again and again.
pub async fn read_rate(shared: Arc<Shared>) {
    loop {
        let call = Call::get(shared.settings.platform_address, "/weight-store", TIMEOUT);
        if let Ok(answer) = call.send_json::<WeightStoreAnswer>().await {
            shared.tell(Event::WeightRate(answer.rate_bytes_per_second));
        }
        task::sleep(PAUSE).await;
    }
}
