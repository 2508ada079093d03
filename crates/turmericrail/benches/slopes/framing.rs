//! Bytes that a delivery takes on its connection beside the message itself.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use async_std::task;
use prost::Message;
use tonic::transport::{Endpoint, Server};
use tonic::{Request, Response, Status};
use turmericrail_fakes::ports::free_address;
use turmericrail_wire::peer::peer_client::PeerClient;
use turmericrail_wire::peer::peer_server::{Peer, PeerServer};
use turmericrail_wire::peer::{Delivered, Envelope, ForwardReply, ForwardRequest};

/// Deliveries counted.
const DELIVERIES: u64 = 200;
/// Bytes of the headers of one IP version 4 packet with a TCP timestamp.
const PACKET_BYTES: u64 = 52;
/// Packets of one delivery: two with data and an acknowledgement for each.
const PACKETS: u64 = 4;

/// Bytes of a delivery beside the message, as measured and with an estimate for packet headers.
pub const FRAMING_BYTES: u64 = 300;

struct Sink;

#[tonic::async_trait]
impl Peer for Sink {
    async fn deliver(&self, _: Request<Envelope>) -> Result<Response<Delivered>, Status> {
        Ok(Response::new(Delivered {}))
    }

    async fn forward(&self, _: Request<ForwardRequest>) -> Result<Response<ForwardReply>, Status> {
        Ok(Response::new(ForwardReply::default()))
    }
}

/// Prints the bytes of a delivery.
pub fn print() {
    let server = free_address().expect("loopback ports are free");
    task::spawn(Server::builder().add_service(PeerServer::new(Sink)).serve(server));
    thread::sleep(std::time::Duration::from_millis(200));
    let counted = Arc::new(AtomicU64::new(0));
    let address = count_between(server, &counted);
    let envelope = Envelope { deployment: "test".to_owned(), ..Envelope::default() };
    let size = envelope.encoded_len() as u64;
    let endpoint = Endpoint::from_shared(format!("http://{address}")).expect("a valid address");
    let mut client = PeerClient::new(endpoint.connect_lazy());
    let deliver_all = async {
        client.deliver(envelope.clone()).await.expect("the sink answers");
        counted.store(0, Ordering::SeqCst);
        for _ in 0..DELIVERIES {
            client.deliver(envelope.clone()).await.expect("the sink answers");
        }
    };
    task::block_on(deliver_all);
    let measured = counted.load(Ordering::SeqCst) / DELIVERIES - size;
    println!("framing  stream_bytes  packet_bytes_estimate  used_bytes");
    println!("         {measured:>12}  {:>21}  {FRAMING_BYTES:>10}\n", PACKETS * PACKET_BYTES);
}

/// Forwards connections and counts the bytes of both directions.
fn count_between(server: SocketAddr, counted: &Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback ports are free");
    let address = listener.local_addr().expect("a bound address");
    let counted = Arc::clone(counted);
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(server) else {
                continue;
            };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            copy(&near, &far, &counted);
            copy(&far, &near, &counted);
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
