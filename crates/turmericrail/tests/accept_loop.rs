//! Guards against connections that are lost when a listener closes: each one whose handshake is
//! complete is served, and later ones are refused.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use async_std::io::prelude::*;
use async_std::net::TcpListener;
use async_std::task;
use turmericrail::accept_loop;
use turmericrail_fakes::ports::free_listener;

const CLIENT_THREADS: usize = 8;
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Connects again and again until connections are refused; returns how many were answered.
fn connect_until_refused(address: SocketAddr) -> usize {
    let mut answer_count = 0;
    while let Ok(mut stream) = TcpStream::connect(address) {
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let mut answer = [0];
        let exchange = stream.write_all(b"?").and_then(|()| stream.read_exact(&mut answer));
        exchange.unwrap_or_else(|error| panic!("no answer after {answer_count}: {error}"));
        answer_count += 1;
    }
    answer_count
}

#[async_std::test]
async fn stop_under_load() {
    for _ in 0..5 {
        let listener = TcpListener::from(free_listener().unwrap());
        let address = listener.local_addr().unwrap();
        let accept_loop = accept_loop::start(listener, |stream| {
            task::spawn(async move {
                let mut question = [0];
                let mut stream = stream;
                if stream.read_exact(&mut question).await.is_ok() {
                    let _ = stream.write_all(b"!").await;
                }
            });
        });
        let clients: Vec<_> = (0..CLIENT_THREADS)
            .map(|_| thread::spawn(move || connect_until_refused(address)))
            .collect();
        task::sleep(Duration::from_millis(20)).await;
        accept_loop.stop().await;
        for client in clients {
            client.join().expect("every accepted connection is answered");
        }
    }
}
