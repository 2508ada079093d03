//! Accepts connections until it is stopped, without losing any whose handshake is complete.
//!
//! The kernel completes handshakes on its own and resets the connections that are still queued when
//! a listener closes. A stopped loop therefore first refuses new handshakes, accepts what is queued,
//! and only then closes.

use std::io;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures_lite::FutureExt;
use socket2::{SockFilter, SockRef};

/// Pause after a failed accept, so that file descriptors can become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time between two lines about failed accepts.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time in which handshakes that have begun are completed, on links whose queues are full.
const HANDSHAKE_GRACE: Duration = Duration::from_millis(100);

/// A running accept loop.
pub struct AcceptLoop {
    stop_sender: Sender<()>,
    task: JoinHandle<()>,
}

impl AcceptLoop {
    /// Refuses new handshakes, accepts the connections whose handshake is complete, and closes the
    /// listener.
    pub async fn stop(self) {
        let _ = self.stop_sender.try_send(());
        self.task.await;
    }
}

/// Starts a task that passes each accepted connection to `serve`.
pub fn start(
    listener: TcpListener,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) -> AcceptLoop {
    let (stop_sender, stop_receiver) = async_channel::bounded(1);
    let task = task::spawn(async move {
        let stopped = async {
            let _ = stop_receiver.recv().await;
        };
        accept_all(&listener, &serve).or(stopped).await;
        if let Err(error) = refuse_handshakes(&listener) {
            spdlog::warn!("event=handshakes_not_refused error={:?}", error.to_string());
        }
        let _ = async_std::future::timeout(HANDSHAKE_GRACE, accept_all(&listener, &serve)).await;
    });
    AcceptLoop { stop_sender, task }
}

async fn accept_all(listener: &TcpListener, serve: &impl Fn(TcpStream)) {
    let mut logged_at: Option<Instant> = None;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                serve(stream);
                // Connections that give way to this one leave before the next one comes.
                task::yield_now().await;
            }
            Err(error) => {
                if logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
                    logged_at = Some(Instant::now());
                    spdlog::warn!("event=accept_failed error={:?}", error.to_string());
                }
                task::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Has the kernel drop requests for new connections, which are packets with SYN alone of the flags
/// SYN and ACK. Their senders try again and are refused once the listener is closed.
fn refuse_handshakes(listener: &TcpListener) -> io::Result<()> {
    let load_tcp_flags = SockFilter::new(0x30, 0, 0, 13);
    let keep_syn_and_ack = SockFilter::new(0x54, 0, 0, 0x12);
    let skip_next_unless_syn = SockFilter::new(0x15, 0, 1, 0x02);
    let drop_packet = SockFilter::new(0x06, 0, 0, 0);
    let accept_packet = SockFilter::new(0x06, 0, 0, u32::MAX);
    SockRef::from(listener).attach_filter(&[
        load_tcp_flags,
        keep_syn_and_ack,
        skip_next_unless_syn,
        drop_packet,
        accept_packet,
    ])
}
