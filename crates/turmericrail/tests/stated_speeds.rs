//! Servers that state their momentary speed in the fourth number of `X-Instance-Load`.

mod forward_support;

use async_std::task;
use forward_support::ForwardInstance;
use turmericrail_wire::relay::relay_client::RelayClient;
use turmericrail_wire::relay::{ExchangeReply, ExchangeRequest, LastingSpeeds};

fn exchange(instance: &ForwardInstance, request: ExchangeRequest) -> ExchangeReply {
    task::block_on(async {
        let mut client =
            RelayClient::connect(format!("http://{}", instance.peer_address)).await.unwrap();
        client.exchange(request).await.unwrap().into_inner()
    })
}

/// Guards against a kind of answer whose figure is not read.
#[test]
fn all_answers() {
    let instance = ForwardInstance::start_using_speeds("stated-speeds");
    let plain = instance.start_plain_server("s1");
    plain.set_notices("X-Instance-Load: 1,0,6,250\r\n");
    assert_eq!(instance.send_request("read", "r1").status(), 200);
    instance.wait_for_log("event=server_speed server=s1 work_time=250");

    let prefill = instance.start_engine("p1", "prefill");
    let decode = instance.start_engine("d1", "decode");
    prefill.set_notices("X-Instance-Load: 1,0,6,80\r\n");
    decode.set_notices("X-Instance-Load: 1,0,6,120\r\n");
    // The engine answers reservations only.
    decode.set_full(true);
    assert_eq!(instance.send_request("stream", "r2").status(), 503);
    instance.wait_for_log("event=server_speed server=d1 work_time=120");
    decode.set_full(false);
    assert_eq!(instance.send_request("stream", "r3").status(), 200);
    instance.wait_for_log("event=server_speed server=p1 work_time=80");
    instance.wait_for_log("momentary_slowdown=");
}

/// Guards against a malformed figure that fails a call or passes unseen.
#[test]
fn malformed_figure() {
    let instance = ForwardInstance::start_using_speeds("malformed-speed");
    let plain = instance.start_plain_server("s1");
    plain.set_notices("X-Instance-Load: 1,0,6,fast\r\n");
    assert_eq!(instance.send_request("read", "r1").status(), 200);
    instance.wait_for_log("event=header_malformed server=s1 header=X-Instance-Load");
    let metrics = instance.get_page(instance.operator_address, "/metrics").unwrap().body;
    assert!(!metrics.contains("turmericrail_malformed_headers_total 0"), "{metrics}");
}

/// Guards against instances that do not tell the speeds that they know, and against malformed ones
/// that stop an exchange.
#[test]
fn told_speeds() {
    let instance = ForwardInstance::start_using_speeds("told-speeds");
    let plain = instance.start_plain_server("s1");
    let request = |speeds| ExchangeRequest { speeds, ..Default::default() };
    assert_eq!(exchange(&instance, request(None)).speeds, None);
    plain.set_notices("X-Instance-Load: 1,0,6,100\r\n");
    assert_eq!(instance.send_request("read", "r1").status(), 200);
    let told = exchange(&instance, request(None)).speeds.unwrap();
    assert_eq!((told.runs.len(), told.slowdowns.len(), &told.samples), (1, 1, &vec![1]));
    let slow = LastingSpeeds { slowdowns: vec![160], samples: vec![10], ..told.clone() };
    exchange(&instance, request(Some(slow)));
    let merged = exchange(&instance, request(None)).speeds.unwrap();
    assert!(merged.slowdowns[0] > told.slowdowns[0], "{merged:?}");
    assert_eq!(merged.samples, [10]);
    let malformed = LastingSpeeds { slowdowns: vec![1, 2], ..merged.clone() };
    assert_eq!(exchange(&instance, request(Some(malformed))).speeds, Some(merged));
}
