//! Stand-ins that are gone are called by their instance alone.

mod forward_support;

use std::time::Duration;

use forward_support::ForwardInstance;
use turmericrail_fakes::registered::{RawAnswer, RawServer};

/// Stand-ins that start while the instance calls the one that is gone.
const LATER_STAND_INS: usize = 200;
/// Time in which the instance calls its store a few times.
const CALL_TIME: Duration = Duration::from_secs(1);

#[test]
fn crashed_store() {
    // Guards against calls that count at the stand-in of another test; each stand-in fails the test
    // for a call that was meant for another one.
    let instance = ForwardInstance::start("crashed-store");
    instance.store.crash();
    let start = |_| RawServer::start(|_, _| RawAnswer::NoAnswer).unwrap();
    let later: Vec<_> = (0..LATER_STAND_INS).map(start).collect();
    std::thread::sleep(CALL_TIME);
    assert!(later.iter().all(|server| server.address != instance.store.address()));
}

#[test]
#[should_panic(expected = "got requests for another stand-in")]
fn misdirected_call() {
    // Guards against a call to a wrong stand-in that goes unseen.
    let server = RawServer::start(|_, _| RawAnswer::NoAnswer).unwrap();
    let instance = ForwardInstance::start("misdirected-call");
    assert!(instance.get_page(server.address, "/kv-range?pathPrefix=servers/").is_none());
}
