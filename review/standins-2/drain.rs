//! A decode runner says that it leaves while a request that has a place there waits for its prefill.

mod engines;
mod kit;

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;

use engines::{Arrivals, Engine};
use kit::{Place, Record, Store};

/// `drainMs` of the small sites.
const DRAIN_MS: u64 = 2_000;
/// Time after `drainMs` at which the runner exits.
const LINGER_MS: u64 = 500;
/// Time after the start of the instances at which the requests are sent. They are in touch from 3 s on.
const SEND_MS: u64 = 4_500;
/// Prompt tokens of a request; the sites go up to 11,000.
const PROMPT_TOKENS: u64 = 9_000;

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| kit::fail("no folder"));
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let store = Store::start(&record);
    let arrivals = Arrivals::default();
    let engine = |id: &str, zone: &str, stage, slowdown| {
        let engine = Engine::start(id, "llm", zone, stage, slowdown, &arrivals, &record);
        engine.register(&store, "ready");
        engine
    };
    // The prefill runner is slow: 8 times the usual time, as the disturbance 'runners turn slow'.
    let slowdown = 8.0;
    let _prefill = engine("i-prefill", "zone-a", "prefill", slowdown);
    let decode: BTreeMap<_, _> = ["i-decode-1", "i-decode-2", "i-decode-3"]
        .into_iter()
        .map(|id| (id.to_owned(), engine(id, "zone-a", "decode", 1.0)))
        .collect();
    store.put("op/config", &configuration());
    let place = |number: usize| Place {
        name: format!("front-{number}"),
        zone: format!("zone-{}", ["a", "b", "c"][number - 1]),
        ip: format!("127.0.0.{}", 10 + number),
    };
    let instances = kit::start_instances(&[place(1), place(2), place(3)], store.address);
    kit::wait_until_ready(&instances);
    record.note("all instances are ready");
    let started_ms = record.now_ms();
    record.wait_until(started_ms + SEND_MS);

    let answers = Arc::new(Mutex::new(BTreeMap::new()));
    let mut clients = Vec::new();
    for id in ["request-1", "request-2"] {
        let (address, record) = (instances[0].caller_address, record.clone());
        let answers = Arc::clone(&answers);
        clients.push(thread::spawn(move || {
            record.note(format!("client sends {id} to front-1"));
            let request = format!(
                "POST /review/x HTTP/1.1\r\nHost: mods.example\r\nX-Request-Id: {id}\r\n\
                 X-Model: m\r\nX-Token-Usage: {PROMPT_TOKENS},67\r\n\
                 X-Prefix-Hash: 0a:200,{id_hex}:{}\r\nX-Deadline-Ms: 14000\r\n\
                 Content-Length: 4\r\n\r\ntext",
                PROMPT_TOKENS - 200,
                id_hex = if id == "request-1" { "b1" } else { "b2" },
            );
            let answer = kit::exchange(address, &request, 15_000);
            let status = answer.as_ref().map_or(0, kit::Message::status);
            match &answer {
                Some(_) => record.note(format!("client gets {status} and the whole answer for {id}")),
                None => record.note(format!("client gets no whole answer for {id}")),
            }
            answers.lock().unwrap().insert(id, status);
        }));
        kit::sleep_ms(100);
    }
    // The runner that has granted the last place, which is that of request-2.
    let last_hold = || {
        let arrivals = arrivals.lock().unwrap();
        arrivals.iter().rev().find(|it| it.kind == "hold-take").map(|it| it.runner.clone())
    };
    kit::sleep_ms(100);
    let leaving = last_hold().unwrap_or_else(|| kit::fail("no place was taken at a runner"));
    let mut left_ms = None;
    if kit::has_trouble() {
        let acked_ms = decode[&leaving].register(&store, "draining");
        left_ms = Some(acked_ms);
        record.wait_until(acked_ms + DRAIN_MS + LINGER_MS);
        decode[&leaving].exit();
    }
    clients.into_iter().for_each(|client| client.join().unwrap());
    if !kit::has_trouble() && answers.lock().unwrap().values().any(|status| *status != 200) {
        kit::fail("a request was not answered; see record.txt");
    }
    let late: Vec<_> = arrivals
        .lock()
        .unwrap()
        .iter()
        .filter(|it| it.kind == "run" && it.runner == leaving)
        .filter(|it| left_ms.is_some_and(|left_ms| it.at_ms > left_ms + DRAIN_MS))
        .cloned()
        .collect();
    for arrival in &late {
        record.note(format!(
            "BROKEN: {} reached {} {} ms after its leaving was acknowledged (bound {DRAIN_MS} ms)",
            arrival.request_id,
            arrival.runner,
            arrival.at_ms - left_ms.unwrap_or_default()
        ));
    }
    kit::end(if late.is_empty() { kit::HELD } else { kit::BROKEN });
}

fn configuration() -> String {
    r#"{"version":7,"routes":[{"name":"r-1","host":"mods.example","pathPrefix":"/review/","kind":"streaming","timeoutMs":14000,"latencyTargetMs":900,"priority":1,"service":"llm","maxAttempts":1,"sessionAffinity":true,"resumable":false,"gapAimMs":300}],"services":[{"name":"llm","healthPath":"/health","maxConnections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":58379,"tokenKvBytes":35136,"linkMbps":740000.0,"moves":true,"backups":true,"stride":8,"most":12,"handleTtlS":0.5,"switchS":6.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#
        .to_owned()
}
