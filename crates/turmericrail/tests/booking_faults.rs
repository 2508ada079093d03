//! Guards against bookings that run twice, and against the outcome `not_run` for a booking that may
//! have run, when copies of a call meet failures of its home (the instance that issued its ticket),
//! of a server or of the caller.

mod plain_support;

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::prelude::*;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use plain_support::{
    apply_config_patch, book, closed_port, execution_count, request_ticket, start_fleet, wait_for,
};
use serde_json::json;
use turmericrail_fakes::ports::free_listener;

#[async_std::test]
async fn concurrent_copies() {
    let fleet = start_fleet("same-moment").await;
    fleet.plain.values().for_each(|plain| plain.state().delay_ms = 200);
    let addresses: Vec<_> =
        fleet.instances.iter().map(|instance| instance.caller_address).collect();
    for round in 0..5 {
        let member = format!("member {round}");
        let ticket = request_ticket(addresses[round % addresses.len()]).await;
        let copies = addresses.iter().map(|address| {
            let (address, ticket, member) = (*address, ticket.clone(), member.clone());
            task::spawn(async move { book(address, &ticket, &member).await })
        });
        let copies: Vec<_> = copies.collect();
        for copy in copies {
            assert_eq!(copy.await.status, 200);
        }
        assert_eq!(execution_count(&fleet, &member), 1);
    }
}

#[async_std::test]
async fn home_restarted() {
    let mut fleet = start_fleet("home-replaced").await;
    let (home, other) = (fleet.instances[0].caller_address, fleet.instances[1].caller_address);
    let (spent, unspent) = (request_ticket(home).await, request_ticket(home).await);
    assert_eq!(book(other, &spent, "member 1").await.status, 200);
    fleet.instances[0].kill();
    let answer_while_down = book(other, &spent, "member 1").await;
    assert_eq!(answer_while_down.outcome(), "unknown");
    fleet.start_instance(0).unwrap();
    fleet.wait_ready().await;
    for address in [home, other] {
        for ticket in [&spent, &unspent] {
            let answer = book(address, ticket, "member 1").await;
            assert_eq!(answer.field("error"), "home_unreachable");
            assert_eq!(answer.outcome(), "unknown");
        }
    }
    assert_eq!(execution_count(&fleet, "member 1"), 1);
}

#[async_std::test]
async fn home_killed() {
    let mut fleet = start_fleet("home-killed").await;
    fleet.plain.values().for_each(|plain| plain.state().delay_ms = 60_000);
    let (home, other) = (fleet.instances[0].caller_address, fleet.instances[1].caller_address);
    let ticket = request_ticket(home).await;
    let copy = {
        let ticket = ticket.clone();
        task::spawn(async move { book(other, &ticket, "member 1").await })
    };
    wait_for("the execution of the call", || execution_count(&fleet, "member 1") == 1).await;
    fleet.instances[0].kill();
    assert_eq!(copy.await.outcome(), "unknown");
    assert_eq!(book(other, &ticket, "member 1").await.outcome(), "unknown");
    assert_eq!(execution_count(&fleet, "member 1"), 1);
}

#[async_std::test]
async fn home_frozen() {
    let fleet = start_fleet("home-frozen").await;
    let (home, other) = (fleet.instances[0].caller_address, fleet.instances[1].caller_address);
    let ticket = request_ticket(home).await;
    fleet.instances[0].signal("STOP");
    let answer_while_frozen = book(other, &ticket, "member 1").await;
    assert_eq!(answer_while_frozen.outcome(), "unknown");
    fleet.instances[0].signal("CONT");
    for address in [home, other, home] {
        let answer = book(address, &ticket, "member 1").await;
        assert_ne!(answer.outcome(), "not_run");
    }
    assert_eq!(execution_count(&fleet, "member 1"), 1);
}

#[async_std::test]
async fn answer_lost() {
    let fleet = start_fleet("server-dies").await;
    let (home, other) = (fleet.instances[0].caller_address, fleet.instances[1].caller_address);
    fleet.plain.values().for_each(|plain| plain.state().is_answer_cut = true);
    let cut_ticket = request_ticket(home).await;
    for address in [home, other] {
        let answer = book(address, &cut_ticket, "member 1").await;
        assert_eq!((answer.field("error"), answer.outcome()), unknown_outcome("server_lost"));
    }
    fleet.plain.values().for_each(|plain| plain.state().is_silent = true);
    let silent_ticket = request_ticket(home).await;
    let answer = book(other, &silent_ticket, "member 2").await;
    assert_eq!(answer.outcome(), "unknown");
    assert_eq!((execution_count(&fleet, "member 1"), execution_count(&fleet, "member 2")), (1, 1));
}

/// Expected error kind and outcome.
fn unknown_outcome(kind: &str) -> (String, String) {
    (kind.to_owned(), "unknown".to_owned())
}

/// Starts a server that closes each connection after its first byte.
async fn start_closing_server() -> SocketAddr {
    let listener = TcpListener::from(free_listener().unwrap());
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read_exact(&mut [0]).await;
        }
    });
    address
}

/// Starts a server that answers each call with these bytes.
async fn start_raw_server(answer: &'static str) -> String {
    let listener = TcpListener::from(free_listener().unwrap());
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address.to_string()
}

#[async_std::test]
async fn malformed_answers() {
    let fleet = start_fleet("malformed-answers").await;
    let home = fleet.instances[0].caller_address;
    let answers = [
        "HTTP/1.1 200 OK\r\nx: \u{e9}\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx: \u{e9}\r\n\r\n",
        "HTTP/1.1 299 Odd\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nended by the close",
        "rubbish\r\n\r\n",
    ];
    for answer in answers {
        let first = json!({"address": start_raw_server(answer).await});
        let second = json!({"address": start_raw_server(answer).await});
        apply_config_patch(&fleet, json!({"servers": {"plain-1": first, "plain-2": second}})).await;
        let booking = book(home, &request_ticket(home).await, "member 1").await;
        assert_eq!(
            (booking.field("error"), booking.outcome()),
            unknown_outcome("server_lost"),
            "{answer:?}"
        );
    }
}

#[async_std::test]
async fn connection_closed_early() {
    let fleet = start_fleet("first-byte").await;
    let (home, other) = (fleet.instances[0].caller_address, fleet.instances[1].caller_address);
    let first = json!({"address": start_closing_server().await.to_string()});
    let second = json!({"address": start_closing_server().await.to_string()});
    apply_config_patch(&fleet, json!({"servers": {"plain-1": first, "plain-2": second}})).await;
    let ticket = request_ticket(home).await;
    for address in [home, other] {
        let answer = book(address, &ticket, "member 1").await;
        assert_eq!((answer.field("error"), answer.outcome()), unknown_outcome("server_lost"));
    }
}

#[async_std::test]
async fn not_run_repeated() {
    let fleet = start_fleet("not-run").await;
    let (home, other) = (fleet.instances[0].caller_address, fleet.instances[1].caller_address);
    let addresses: Vec<_> = fleet.plain.values().map(|plain| plain.address).collect();
    let ((_first, first), (_second, second)) = (closed_port(), closed_port());
    let (first, second) = (json!({"address": first}), json!({"address": second}));
    apply_config_patch(&fleet, json!({"servers": {"plain-1": first, "plain-2": second}})).await;
    let ticket = request_ticket(home).await;
    let answer = book(other, &ticket, "member 1").await;
    assert_eq!(
        (answer.field("error").as_str(), answer.outcome().as_str()),
        ("no_server", "not_run")
    );
    let original_entry = |index: usize| json!({"address": addresses[index].to_string()});
    apply_config_patch(
        &fleet,
        json!({"servers": {"plain-1": original_entry(0), "plain-2": original_entry(1)}}),
    )
    .await;
    assert_eq!(book(home, &ticket, "member 1").await.outcome(), "not_run");
    assert_eq!(execution_count(&fleet, "member 1"), 0);
    let next = request_ticket(home).await;
    assert_eq!(book(other, &next, "member 1").await.status, 200);
    assert_eq!(execution_count(&fleet, "member 1"), 1);
}

#[async_std::test]
async fn route_removed() {
    let fleet = start_fleet("route-removed").await;
    let (home, other) = (fleet.instances[0].caller_address, fleet.instances[1].caller_address);
    let ticket = request_ticket(home).await;
    let first = book(home, &ticket, "member 1").await;
    assert_eq!(first.status, 200);
    apply_config_patch(&fleet, json!({"routes": {"book-slot": null}})).await;
    assert_eq!(book(other, &ticket, "member 1").await, first);
    assert_eq!(execution_count(&fleet, "member 1"), 1);
}

#[async_std::test]
async fn changed_body() {
    let fleet = start_fleet("other-body").await;
    let (home, other) = (fleet.instances[0].caller_address, fleet.instances[1].caller_address);
    let ticket = request_ticket(home).await;
    assert_eq!(book(home, &ticket, "member 1").await.status, 200);
    let answer = book(other, &ticket, "member 2").await;
    assert_eq!((answer.field("error"), answer.outcome()), unknown_outcome("ticket_mismatch"));
    assert_eq!(execution_count(&fleet, "member 2"), 0);
}

#[async_std::test]
async fn caller_disconnects() {
    let fleet = start_fleet("caller-leaves").await;
    fleet.plain.values().for_each(|plain| plain.state().delay_ms = 300);
    let (home, other) = (fleet.instances[0].caller_address, fleet.instances[1].caller_address);
    let ticket = request_ticket(home).await;
    for address in [home, other] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = format!(
            "POST /slots/7/bookings HTTP/1.1\r\nhost: h\r\nidempotency-key: {ticket}\r\n\
             content-length: 8\r\n\r\nmember 1"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        task::sleep(Duration::from_millis(100)).await;
        drop(stream);
    }
    let answer = book(other, &ticket, "member 1").await;
    assert_eq!(answer.status, 200);
    assert_eq!(execution_count(&fleet, "member 1"), 1);
}

#[async_std::test]
async fn home_shutdown() {
    let mut fleet = start_fleet("home-leaves").await;
    fleet.plain.values().for_each(|plain| plain.state().delay_ms = 500);
    let (home, other) = (fleet.instances[0].caller_address, fleet.instances[1].caller_address);
    let (spent, unspent) = (request_ticket(home).await, request_ticket(home).await);
    let copies: Vec<_> = [home, other]
        .into_iter()
        .map(|address| {
            let ticket = spent.clone();
            task::spawn(async move { book(address, &ticket, "member 1").await })
        })
        .collect();
    wait_for("the execution of the call", || execution_count(&fleet, "member 1") == 1).await;
    fleet.instances[0].signal("TERM");
    for copy in copies {
        assert_eq!(copy.await.status, 200);
    }
    let mut process = fleet.instances[0].process.take().unwrap();
    task::spawn_blocking(move || process.wait()).await.unwrap();
    let answer = book(other, &unspent, "member 2").await;
    assert_eq!(answer.outcome(), "unknown");
    assert_eq!((execution_count(&fleet, "member 1"), execution_count(&fleet, "member 2")), (1, 0));
}

#[async_std::test]
async fn large_answer() {
    let fleet = start_fleet("large-answer").await;
    let (home, other) = (fleet.instances[0].caller_address, fleet.instances[1].caller_address);
    fleet.plain.values().for_each(|plain| plain.state().padding_bytes = 8 << 20);
    let ticket = request_ticket(home).await;
    let answer = book(other, &ticket, "member 1").await;
    assert_eq!((answer.status, answer.body.len() > 8 << 20), (200, true));
    assert_eq!(book(home, &ticket, "member 1").await, answer);
    assert_eq!(execution_count(&fleet, "member 1"), 1);
}

#[async_std::test]
async fn frozen_server() {
    let fleet = start_fleet("frozen-booking").await;
    let home = fleet.instances[0].caller_address;
    fleet.plain["plain-2"].state().is_silent = true;
    let mut unknown_count = 0;
    let mut completed_in_a_row = 0;
    let mut number = 0;
    while completed_in_a_row < 10 {
        let member = format!("member {number}");
        number += 1;
        let answer = book(home, &request_ticket(home).await, &member).await;
        assert_ne!(answer.outcome(), "not_run");
        assert_eq!(execution_count(&fleet, &member), 1);
        if answer.status == 200 {
            completed_in_a_row += 1;
        } else {
            completed_in_a_row = 0;
            unknown_count += 1;
        }
        assert!(
            unknown_count <= 1,
            "the frozen server still gets bookings after {unknown_count} failures"
        );
    }
}
