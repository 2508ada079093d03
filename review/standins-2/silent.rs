//! The open channels to the store go silent; a configuration follows that moves a route.

mod kit;

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use kit::{Place, Record, Store};

/// `contactMs` and `configApplyMs` of the small sites.
const CONTACT_MS: u64 = 3_000;
const CONFIG_APPLY_MS: u64 = 2_000;
/// Time after a first change of the configuration at which the channels go silent.
const SILENT_AFTER_MS: u64 = 430;
/// Time after that at which the route is moved.
const MOVED_AFTER_MS: u64 = 700;
/// Time between two requests to one machine.
const REQUEST_INTERVAL_MS: u64 = 20;

/// A request that a server has run: when its client sent it, its id, the machine and the service.
struct Run {
    sent_ms: u64,
    id: String,
    machine: String,
    service: &'static str,
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| kit::fail("no folder"));
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let mut late = 0;
    if kit::has_trouble() {
        record.note("FIRST: silent channels whose packets are dropped, so that nothing is acknowledged");
        late += play(&record, Some(Silence { is_acknowledged: false }));
        record.note("SECOND: silent channels whose packets are acknowledged, as at a proxy that forgot them");
        late += play(&record, Some(Silence { is_acknowledged: true }));
    } else {
        late += play(&record, None);
    }
    kit::end(if late == 0 { kit::HELD } else { kit::BROKEN });
}

struct Silence {
    is_acknowledged: bool,
}

/// Plays a deployment; returns how many requests were run by the old service after the bound.
fn play(record: &Record, silence: Option<Silence>) -> usize {
    let store = Store::start(record);
    let runs = Arc::new(Mutex::new(Vec::new()));
    for (id, service) in [("i-old", "old-shop"), ("i-new", "new-shop")] {
        start_server(id, service, &store, &runs);
    }
    store.put("op/config", &configuration(7, "old-shop", 800));
    let places: Vec<_> = (0..9)
        .map(|number| Place {
            name: format!("front-{}-{}", ["a", "b", "c"][number % 3], number / 3 + 1),
            zone: format!("zone-{}", ["a", "b", "c"][number % 3]),
            ip: format!("127.0.0.{}", 11 + number),
        })
        .collect();
    let instances = kit::start_instances(&places, store.address);
    kit::wait_until_ready(&instances);
    record.note("all instances are ready");
    let started_ms = record.now_ms();

    let has_ended = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for instance in &instances {
        let (address, name) = (instance.caller_address, instance.name.clone());
        let (record, has_ended) = (record.clone(), Arc::clone(&has_ended));
        clients.push(thread::spawn(move || send_requests(address, &name, &record, &has_ended)));
    }
    record.wait_until(started_ms + 9_000);
    let acked_ms = store.put("op/config", &configuration(9, "old-shop", 820));
    record.note("configuration 9 (another timeout): acknowledged by the store");
    record.wait_until(acked_ms + SILENT_AFTER_MS);
    if let Some(silence) = &silence {
        store.silence_open_connections(silence.is_acknowledged);
        record.note("the channels to the store that are open go silent");
    }
    let silent_ms = record.now_ms();
    record.wait_until(silent_ms + MOVED_AFTER_MS);
    let moved_ms = store.put("op/config", &configuration(12, "new-shop", 820));
    record.note("configuration 12 (the route goes to new-shop): acknowledged by the store");
    // Machines are in touch again from `contactMs` on, and the change is to be in force by then.
    let bound_ms = (moved_ms + CONFIG_APPLY_MS).max(silent_ms + CONTACT_MS);
    record.wait_until(bound_ms + 3_000);
    has_ended.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    kit::kill(|_| true);

    let runs = runs.lock().unwrap();
    if runs.iter().filter(|run| run.service == "new-shop").count() == 0 {
        kit::fail("no request was run by the new service; see record.txt");
    }
    let late: Vec<_> =
        runs.iter().filter(|run| run.service == "old-shop" && run.sent_ms > bound_ms).collect();
    record.note(format!(
        "requests sent later than {bound_ms} ms, which is {} ms after the channels went silent and {} ms \
         after the acknowledgement: {} were run by the old service",
        bound_ms - silent_ms,
        bound_ms - moved_ms,
        late.len()
    ));
    for run in &late {
        record.note(format!(
            "BROKEN: {} sent to {} at {} ms, {} ms after the acknowledgement, was run by old-shop",
            run.id,
            run.machine,
            run.sent_ms,
            run.sent_ms - moved_ms
        ));
    }
    late.len()
}

fn send_requests(address: SocketAddr, machine: &str, record: &Record, has_ended: &AtomicBool) {
    let mut number = 0;
    while !has_ended.load(Ordering::SeqCst) {
        number += 1;
        let sent_ms = record.now_ms();
        // The time of sending stands in the id, so that the server can note it.
        let id = format!("{machine}.{number}.{sent_ms}");
        let request = format!(
            "GET /catalogue/page HTTP/1.1\r\nHost: mods.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n"
        );
        let status = kit::exchange(address, &request, 2_000).map_or(0, |answer| answer.status());
        if status != 200 {
            record.note(format!("client gets {status} for {id}"));
        }
        kit::sleep_ms(REQUEST_INTERVAL_MS);
    }
    record.note(format!("clients sent {number} requests to {machine}"));
}

fn start_server(id: &'static str, service: &'static str, store: &Store, runs: &Arc<Mutex<Vec<Run>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| kit::fail("no server port"));
    let address = listener.local_addr().unwrap();
    let runs = Arc::clone(runs);
    kit::serve(listener, move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = kit::read_message(&mut reader) {
            if request.header("x-expect-instance").is_some_and(|expected| expected != id) {
                let _ = kit::write_answer(&stream, 421, &[("X-Instance-Id", id)], "");
                continue;
            }
            let request_id = request.header("x-request-id").unwrap_or("").to_owned();
            let parts: Vec<_> = request_id.split('.').collect();
            let sent_ms = parts.last().and_then(|text| text.parse().ok()).unwrap_or(0);
            let machine = parts[0].to_owned();
            runs.lock().unwrap().push(Run { sent_ms, id: request_id.clone(), machine, service });
            kit::sleep_ms(5);
            let fields = [("X-Request-Id", request_id.as_str()), ("X-Response-Signature", "s.1")];
            if kit::write_answer(&stream, 200, &fields, service).is_err() {
                return;
            }
        }
    });
    let entry = format!(
        r#"{{"service":"{service}","address":"{address}","zone":"zone-a","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1780000000000}}"#
    );
    store.put(&format!("servers/{id}"), &entry);
}

fn configuration(version: u64, service: &str, timeout_ms: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","host":"mods.example","pathPrefix":"/catalogue/","kind":"safe","timeoutMs":{timeout_ms},"latencyTargetMs":300,"priority":2,"service":"{service}","maxAttempts":2}}],"services":[{{"name":"old-shop","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}},{{"name":"new-shop","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}
