//! Guards against new calls to a backend server that the platform lists as leaving.

mod common;

use std::time::Duration;

use common::{complete, completion, start_fleet};

/// Time after which a leaving server may get no new calls.
const LEAVING_TIME_LIMIT: Duration = Duration::from_secs(5);

#[async_std::test]
async fn no_new_work() {
    let fleet = start_fleet("leaving-server").await;
    let leaving = "dc-a-decode-1";
    fleet.platform.state().instance_list.leaving_servers = vec![leaving.parse().unwrap()];
    async_std::task::sleep(LEAVING_TIME_LIMIT).await;
    let readers_before = fleet.decode[leaving].state().reader_count;
    for number in 0..24 {
        let address = fleet.instances[number % 3].caller_address;
        let (answer, _) = complete(address, &completion("a label", 4, false)).await.unwrap();
        assert!(answer.status().is_success());
    }
    assert_eq!(fleet.decode[leaving].state().reader_count, readers_before);
}
