//! Measures the bytes that a delivery takes on its connection in addition to the message.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use async_std::task;
use prost::Message;
use tonic::transport::{Endpoint, Server};
use tonic::{Request, Response, Status};
use turmericrail_fakes::ports::{free_address, free_listener};
use turmericrail_wire::peer::peer_client::PeerClient;
use turmericrail_wire::peer::peer_server::{Peer, PeerServer};
use turmericrail_wire::peer::{Delivered, Envelope, ForwardReply, ForwardRequest};

const DELIVERIES: u64 = 200;
/// Headers of one IPv4 packet with a TCP timestamp.
const PACKET_HEADER_BYTES: u64 = 52;
/// Two packets with data, and an acknowledgement of each.
const PACKETS_PER_DELIVERY: u64 = 4;

/// Bytes of a delivery in addition to the message: those of the stream and an estimate of the
/// packet headers.
pub const FRAMING_BYTES: u64 = 300;

struct EmptyPeer;

#[tonic::async_trait]
impl Peer for EmptyPeer {
    async fn deliver(&self, _: Request<Envelope>) -> Result<Response<Delivered>, Status> {
        Ok(Response::new(Delivered {}))
    }

    async fn forward(&self, _: Request<ForwardRequest>) -> Result<Response<ForwardReply>, Status> {
        Ok(Response::new(ForwardReply::default()))
    }
}

/// Runs the measurement and prints its table.
pub fn print() {
    let server = free_address().expect("loopback ports are free");
    task::spawn(Server::builder().add_service(PeerServer::new(EmptyPeer)).serve(server));
    thread::sleep(std::time::Duration::from_millis(200));
    let counted = Arc::new(AtomicU64::new(0));
    let address = start_counting_proxy(server, &counted);
    let envelope = Envelope { deployment: "test".to_owned(), ..Envelope::default() };
    let size = envelope.encoded_len() as u64;
    let endpoint = Endpoint::from_shared(format!("http://{address}")).expect("a valid address");
    let mut client = PeerClient::new(endpoint.connect_lazy());
    let deliveries = async {
        client.deliver(envelope.clone()).await.expect("the sink answers");
        counted.store(0, Ordering::SeqCst);
        for _ in 0..DELIVERIES {
            client.deliver(envelope.clone()).await.expect("the sink answers");
        }
    };
    task::block_on(deliveries);
    let bytes_per_delivery = counted.load(Ordering::SeqCst) / DELIVERIES - size;
    println!("framing  stream_bytes  packet_bytes_estimate  used_bytes");
    println!(
        "         {bytes_per_delivery:>12}  {:>21}  {FRAMING_BYTES:>10}\n",
        PACKETS_PER_DELIVERY * PACKET_HEADER_BYTES
    );
}

/// Starts a proxy to `server` that counts the bytes of both directions; returns its address.
fn start_counting_proxy(server: SocketAddr, counted: &Arc<AtomicU64>) -> SocketAddr {
    let listener = free_listener().expect("loopback ports are free");
    let address = listener.local_addr().expect("a bound address");
    let counted = Arc::clone(counted);
    thread::spawn(move || {
        for client_side in listener.incoming().flatten() {
            let Ok(server_side) = TcpStream::connect(server) else {
                continue;
            };
            let _ = (client_side.set_nodelay(true), server_side.set_nodelay(true));
            copy(&client_side, &server_side, &counted);
            copy(&server_side, &client_side, &counted);
        }
    });
    address
}

fn copy(from: &TcpStream, to: &TcpStream, counted: &Arc<AtomicU64>) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let counted = Arc::clone(counted);
    thread::spawn(move || {
        let mut buffer = [0; 16 * 1024];
        while let Ok(count) = from.read(&mut buffer) {
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                break;
            }
            counted.fetch_add(count as u64, Ordering::SeqCst);
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}
