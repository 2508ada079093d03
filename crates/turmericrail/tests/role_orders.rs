//! Role orders to engines: only the first seed gives them, and only when decode memory runs out.

mod forward_support;

use std::time::Duration;

use forward_support::{ForwardInstance, wait_for};

#[test]
fn full_decode_engines() {
    let instance = ForwardInstance::start_giving_orders("role-orders");
    let prefill = ["p1", "p2", "p3", "p4"].map(|id| instance.start_engine(id, "prefill"));
    let decode = instance.start_engine("d1", "decode");
    instance.wait_for_log("event=role_load ");
    let order_count = || prefill.iter().map(|engine| engine.orders().len()).sum::<usize>();
    assert_eq!(order_count(), 0, "decode memory is left");
    decode.set_full(true);
    wait_for("an order", || order_count() > 0);
    let ordered_engine = prefill.iter().find(|engine| !engine.orders().is_empty()).unwrap();
    let order = &ordered_engine.orders()[0];
    assert_eq!((&order["op"], &order["stage"]), (&"stage".into(), &"decode".into()));
    assert_eq!(order["holder"], "role-orders");
    assert!(order["fence"].as_u64().unwrap() > 0);
    ordered_engine.register(&instance.store, "ready");
    std::thread::sleep(Duration::from_millis(2_500));
    assert_eq!(ordered_engine.orders().len(), 1, "an engine is ordered once");
    assert!(order_count() <= 3, "a fifth of the engines stays with prefill");
}

#[test]
fn orders_disabled() {
    // Without the setting `gives_orders` no engine is asked for its load or gets an order.
    let instance = ForwardInstance::start("no-orders");
    let prefill = ["p1", "p2", "p3", "p4"].map(|id| instance.start_engine(id, "prefill"));
    instance.start_engine("d1", "decode").set_full(true);
    std::thread::sleep(Duration::from_millis(10_500));
    assert!(!instance.read_log().contains("event=role_"));
    assert!(prefill.iter().all(|engine| engine.orders().is_empty()));
}
