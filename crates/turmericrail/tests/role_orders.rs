//! Orders to engines: given by the first seed alone, while decode memory runs out.

mod forward_support;

use std::time::Duration;

use forward_support::{World, wait_for};

#[test]
fn full_decode_engines() {
    let world = World::start_ordering("role-orders");
    let prefill = ["p1", "p2", "p3", "p4"].map(|id| world.engine(id, "prefill"));
    let decode = world.engine("d1", "decode");
    world.wait_for_log("event=role_load ");
    let orders = || prefill.iter().map(|engine| engine.orders().len()).sum::<usize>();
    assert_eq!(orders(), 0, "there is memory left");
    decode.set_full(true);
    wait_for("an order", || orders() > 0);
    let ordered = prefill.iter().find(|engine| !engine.orders().is_empty()).unwrap();
    let order = &ordered.orders()[0];
    assert_eq!((&order["op"], &order["stage"]), (&"stage".into(), &"decode".into()));
    assert_eq!(order["holder"], "role-orders");
    assert!(order["fence"].as_u64().unwrap() > 0);
    ordered.register(&world.store, "ready");
    std::thread::sleep(Duration::from_millis(2_500));
    assert_eq!(ordered.orders().len(), 1, "an engine is ordered once");
    assert!(orders() <= 3, "a fifth of the engines reads prompts");
}

#[test]
fn other_instances() {
    // Without the setting no engine is asked or ordered.
    let world = World::start("no-orders");
    let prefill = ["p1", "p2", "p3", "p4"].map(|id| world.engine(id, "prefill"));
    world.engine("d1", "decode").set_full(true);
    std::thread::sleep(Duration::from_millis(10_500));
    assert!(!world.log().contains("event=role_"));
    assert!(prefill.iter().all(|engine| engine.orders().is_empty()));
}
