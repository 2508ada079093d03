//! A loopback link that passes bytes on between those who dial it and one receiver, and fails on
//! demand.
//!
//! A fault holds for the connections that a closure picks by the first bytes that the dialler
//! sent, such as the path of a call. A connection on which bytes vanished stays silent for good,
//! also after the fault is over; new ones then work.

use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_std::io::prelude::*;
use async_std::net::{TcpListener, TcpStream};
use async_std::stream::StreamExt;
use async_std::task;
use futures_lite::future;

use crate::serve::FREE_PORT;

/// Time between looks at the faults of a connection without traffic.
const LOOK_STEP: Duration = Duration::from_millis(20);
/// First bytes of the dialler that are kept to tell connections apart.
const HEAD_BYTES: usize = 4_096;
/// Most bytes passed on at a time.
const CHUNK_BYTES: usize = 64 << 10;

/// What a link does to a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Closes it in both directions.
    Close,
    /// Lets bytes vanish without an error.
    DropAll,
    /// Lets bytes from the dialler vanish; those to it pass.
    DropFromClient,
    /// Passes bytes on later.
    Delay(Duration),
}

/// Connections that a fault holds for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultScope {
    /// Those open now; new ones work.
    Existing,
    /// Those open now and new ones.
    All,
}

/// Picks connections by the first bytes of the dialler.
type Picks = Arc<dyn Fn(&[u8]) -> bool + Send + Sync>;

struct Rule {
    fault: Fault,
    below: u64,
    picks: Picks,
}

#[derive(Default)]
struct LinkState {
    connections: u64,
    rules: Vec<Rule>,
}

/// A link before one receiver.
#[derive(Clone)]
pub struct FaultProxy {
    /// Where it is dialled.
    pub address: SocketAddr,
    state: Arc<Mutex<LinkState>>,
}

/// One connection through the link.
#[derive(Clone)]
struct Connection {
    number: u64,
    head: Arc<Mutex<Vec<u8>>>,
    is_lost: Arc<Mutex<bool>>,
    link: FaultProxy,
}

impl FaultProxy {
    /// Starts a link to a receiver.
    pub async fn start(receiver: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(FREE_PORT).await?;
        let link = Self { address: listener.local_addr()?, state: Arc::default() };
        let accepting = link.clone();
        task::spawn(async move {
            while let Some(stream) = listener.incoming().next().await {
                if let Ok(dialler) = stream {
                    task::spawn(carry(accepting.open(), dialler, receiver));
                }
            }
        });
        Ok(link)
    }

    /// Adds a fault for the connections that the closure picks by their first bytes.
    pub fn add_fault(
        &self,
        fault: Fault,
        reach: FaultScope,
        picks: impl Fn(&[u8]) -> bool + Send + Sync + 'static,
    ) {
        let mut state = self.state();
        let below = if reach == FaultScope::Existing { state.connections } else { u64::MAX };
        state.rules.push(Rule { fault, below, picks: Arc::new(picks) });
    }

    /// Ends all faults.
    pub fn clear_faults(&self) {
        self.state().rules.clear();
    }

    fn state(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn open(&self) -> Connection {
        let number = self.state().connections;
        self.state().connections += 1;
        let link = self.clone();
        Connection { number, head: Arc::default(), is_lost: Arc::default(), link }
    }
}

impl Connection {
    fn fault(&self) -> Option<Fault> {
        let head = self.head.lock().expect("no holder of the lock panics");
        let state = self.link.state();
        let holds = |rule: &&Rule| self.number < rule.below && (rule.picks)(&head);
        let fault = state.rules.iter().find(holds).map(|rule| rule.fault);
        let is_lost = *self.is_lost.lock().expect("no holder of the lock panics");
        if is_lost && fault != Some(Fault::Close) { Some(Fault::DropAll) } else { fault }
    }

    /// Notes that bytes vanished.
    fn lose(&self) {
        *self.is_lost.lock().expect("no holder of the lock panics") = true;
    }

    fn note_sent(&self, bytes: &[u8]) {
        let mut head = self.head.lock().expect("no holder of the lock panics");
        let room = HEAD_BYTES - head.len();
        head.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }
}

async fn carry(connection: Connection, dialler: TcpStream, receiver: SocketAddr) {
    let Ok(receiver) = TcpStream::connect(receiver).await else {
        return;
    };
    let _ = (dialler.set_nodelay(true), receiver.set_nodelay(true));
    let forth = pump(&connection, dialler.clone(), receiver.clone(), true);
    let back = pump(&connection, receiver.clone(), dialler.clone(), false);
    future::zip(forth, back).await;
}

/// Passes bytes on in one direction until its end.
async fn pump(connection: &Connection, mut from: TcpStream, mut to: TcpStream, is_forth: bool) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let reading = async_std::future::timeout(LOOK_STEP, from.read(&mut chunk)).await;
        let count = reading.ok().map(|result| result.unwrap_or_default());
        if is_forth {
            connection.note_sent(&chunk[..count.unwrap_or_default()]);
        }
        match (connection.fault(), count) {
            (Some(Fault::Close), _) => break,
            (Some(Fault::DropAll), Some(0)) => task::sleep(LOOK_STEP).await,
            (Some(Fault::DropAll), Some(_)) => connection.lose(),
            (_, None) => {}
            (Some(Fault::DropFromClient), Some(count)) if is_forth && count > 0 => {
                connection.lose()
            }
            (_, Some(0)) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            (fault, Some(count)) => {
                if let Some(Fault::Delay(delay)) = fault {
                    task::sleep(delay).await;
                }
                if to.write_all(&chunk[..count]).await.is_err() {
                    break;
                }
            }
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
