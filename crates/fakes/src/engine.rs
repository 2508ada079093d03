//! Prefill and decode engines.
//!
//! A prefill engine computes one prompt at a time and keeps the result for a short while; a decode
//! engine fetches the result from it and generates tokens at a fixed rate.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::task;
use serde::Deserialize;
use tide::{Body, Request, Response, Server, StatusCode};
use turmericrail_core::ids::{Incarnation, InstanceId, StreamId};
use turmericrail_core::placement::EngineOrder;
use turmericrail_core::report::{HeldStream, Holder, LoadReport};
use turmericrail_core::units::{KvPieces, Streams, Tokens};
use turmericrail_wire::body::channel_body;
use turmericrail_wire::client::Call;
use turmericrail_wire::engine::{
    CancelBody, ExportAnswer, ExportBody, ImportBody, PrefillAnswer, PrefillBody, TokenLine,
};

use crate::orders::OrderState;
use crate::serve::serve;
use crate::text;

/// Time between looks for new tokens or cancellations.
const STEP: Duration = Duration::from_millis(2);
/// Longest time between looks of a reader that waits for a token.
const READ_STEP: Duration = Duration::from_millis(10);
/// Time for which an ended stream can still be read.
const ENDED_LIFE: Duration = Duration::from_secs(10);

/// Speed and size of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Prompt tokens computed a second.
    pub prefill_tokens_per_second: u64,
    /// Time between tokens.
    pub token_ms: u64,
    /// Time of a KV transfer.
    pub transfer_ms: u64,
    /// Time for which a prefill result survives.
    pub result_life_ms: u64,
    /// Most streams at a time.
    pub stream_limit_streams: u64,
    /// KV pieces in all.
    pub kv_total_pieces: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            prefill_tokens_per_second: 20_000,
            token_ms: 10,
            transfer_ms: 5,
            result_life_ms: 900,
            stream_limit_streams: 20,
            kv_total_pieces: 2_000,
        }
    }
}

/// Wakes the reader of a stream when a token is there.
#[derive(Clone, Debug)]
pub struct Progress {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Progress {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }
}

/// One stream on the engine.
#[derive(Clone, Debug)]
pub struct EngineStream {
    /// Who holds it.
    pub holder: Holder,
    /// Its memory.
    pub kv_pieces: KvPieces,
    /// The prompt.
    pub prompt: String,
    /// Whether its prefill is done.
    pub is_computed: bool,
    /// Tokens generated so far.
    pub generated: u64,
    /// Tokens of the whole answer.
    pub max_tokens: u64,
    /// Wakes the reader when a token is there.
    pub progress: Progress,
}

/// State and switches of an engine.
#[derive(Debug, Default)]
pub struct EngineState {
    /// Streams whose memory is held.
    pub streams: BTreeMap<StreamId, EngineStream>,
    /// Streams that came to their end and can still be read.
    pub ended: BTreeMap<StreamId, EngineStream>,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens computed and discarded before use.
    pub wasted_tokens: u64,
    /// Prompt tokens waiting.
    pub queued_tokens: u64,
    /// What orders did.
    pub orders: OrderState,
    /// Whether the engine does nothing and answers nothing.
    pub is_frozen: bool,
    /// Whether the process is gone: every call fails.
    pub is_down: bool,
    /// Whether KV transfers to this engine never finish.
    pub is_stalled: bool,
    /// Where set, every report tells this.
    pub stale_report: Option<LoadReport>,
    /// Token readings opened so far.
    pub readers: u64,
    /// Readers numbered below this hear nothing more while generation goes on.
    pub mute_below: u64,
    /// Readers numbered below this lose their connections.
    pub cut_below: u64,
}

impl EngineState {
    /// Silences the present token readers; new ones are heard.
    pub fn mute_readers(&mut self) {
        self.mute_below = self.readers + 1;
    }

    /// Cuts the connections of the present token readers.
    pub fn cut_readers(&mut self) {
        self.cut_below = self.readers + 1;
    }

    /// Ends the engine as a crash does: all memory is lost and calls fail.
    pub fn crash(&mut self) {
        self.is_down = true;
        self.streams.clear();
        self.ended.clear();
    }

    fn find(&self, stream: &StreamId) -> Option<&EngineStream> {
        self.streams.get(stream).or_else(|| self.ended.get(stream))
    }

    fn waste(&mut self, stream: &StreamId) {
        let Some(dropped) = self.streams.remove(stream) else {
            return;
        };
        if dropped.is_computed {
            self.wasted_tokens += text::prompt_tokens(&dropped.prompt);
        }
    }
}

/// The stand-in for an engine; it takes both roles.
#[derive(Clone)]
pub struct FakeEngine {
    /// Where it listens.
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

struct Inner {
    settings: EngineSettings,
    state: Mutex<EngineState>,
    compute: async_std::sync::Mutex<()>,
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    async fn thaw(&self) {
        while self.state().is_frozen {
            task::sleep(STEP).await;
        }
    }
}

type Shared = Arc<Inner>;

impl FakeEngine {
    /// Starts an engine.
    pub async fn start(settings: EngineSettings) -> std::io::Result<Self> {
        let inner = Inner { settings, state: Mutex::default(), compute: Default::default() };
        let inner = Arc::new(inner);
        let mut app = Server::with_state(Arc::clone(&inner));
        app.at("/prefill").post(prefill);
        app.at("/export").post(export);
        app.at("/import").post(import);
        app.at("/tokens").get(tokens);
        app.at("/cancel").post(cancel);
        app.at("/report").get(report);
        app.at("/orders").post(take_order);
        let address = serve(app).await?;
        Ok(Self { address, inner })
    }

    /// State and switches.
    pub fn state(&self) -> MutexGuard<'_, EngineState> {
        self.inner.state()
    }
}

fn json(value: &impl serde::Serialize) -> tide::Result {
    Ok(Response::builder(200).body(Body::from_json(value)?).build())
}

fn admit(inner: &Inner) -> tide::Result<()> {
    if inner.state().is_down {
        return Err(tide::Error::from_str(StatusCode::ServiceUnavailable, "down"));
    }
    Ok(())
}

fn gone() -> tide::Result {
    Ok(Response::new(StatusCode::Gone))
}

async fn prefill(mut request: Request<Shared>) -> tide::Result {
    let body: PrefillBody = request.body_json().await?;
    let inner = Arc::clone(request.state());
    inner.thaw().await;
    admit(&inner)?;
    if !inner.state().orders.serves(&body.model, &body.version) {
        return Ok(Response::new(StatusCode::Conflict));
    }
    let prompt_tokens = text::prompt_tokens(&body.prompt);
    let kv_pieces = KvPieces(prompt_tokens.div_ceil(16));
    let stream = EngineStream {
        holder: body.holder,
        kv_pieces,
        prompt: body.prompt,
        is_computed: false,
        generated: 0,
        max_tokens: 0,
        progress: Progress::default(),
    };
    {
        let mut state = inner.state();
        state.streams.insert(body.stream.clone(), stream);
        state.queued_tokens += prompt_tokens;
    }
    let is_done = compute(&inner, &body.stream, prompt_tokens).await;
    inner.state().queued_tokens -= prompt_tokens;
    if !is_done {
        return gone();
    }
    let life = Duration::from_millis(inner.settings.result_life_ms);
    task::spawn(async move {
        task::sleep(life).await;
        inner.state().waste(&body.stream);
    });
    json(&PrefillAnswer { cached_tokens: Tokens::ZERO, kv_pieces })
}

async fn compute(inner: &Inner, stream: &StreamId, prompt_tokens: u64) -> bool {
    let _turn = inner.compute.lock().await;
    let mut left_ms = prompt_tokens * 1_000 / inner.settings.prefill_tokens_per_second.max(1);
    while left_ms > 0 {
        let step_ms = left_ms.min(10);
        task::sleep(Duration::from_millis(step_ms)).await;
        inner.thaw().await;
        left_ms -= step_ms;
        if !inner.state().streams.contains_key(stream) {
            return false;
        }
    }
    let mut state = inner.state();
    state.prefill_tokens += prompt_tokens;
    let Some(stream) = state.streams.get_mut(stream) else {
        return false;
    };
    stream.is_computed = true;
    true
}

async fn export(mut request: Request<Shared>) -> tide::Result {
    let body: ExportBody = request.body_json().await?;
    let inner = Arc::clone(request.state());
    inner.thaw().await;
    admit(&inner)?;
    let exported = inner.state().streams.remove(&body.stream);
    let Some(exported) = exported.filter(|stream| stream.is_computed) else {
        return gone();
    };
    json(&ExportAnswer { prompt: exported.prompt })
}

async fn import(mut request: Request<Shared>) -> tide::Result {
    let body: ImportBody = request.body_json().await?;
    let inner = Arc::clone(request.state());
    inner.thaw().await;
    admit(&inner)?;
    if !has_room(&inner, body.kv_pieces) {
        return Ok(Response::new(StatusCode::TooManyRequests));
    }
    let placeholder = EngineStream {
        holder: body.holder.clone(),
        kv_pieces: body.kv_pieces,
        prompt: String::new(),
        is_computed: false,
        generated: 0,
        max_tokens: body.max_tokens.0,
        progress: Progress::default(),
    };
    inner.state().streams.insert(body.stream.clone(), placeholder);
    let exporting = ExportBody { stream: body.stream.clone() };
    let call = Call::post(body.source, "/export", &exporting, Duration::from_secs(2));
    let Ok(exported) = call.send_json::<ExportAnswer>().await else {
        inner.state().streams.remove(&body.stream);
        return gone();
    };
    task::sleep(Duration::from_millis(inner.settings.transfer_ms)).await;
    inner.thaw().await;
    while inner.state().is_stalled {
        task::sleep(STEP).await;
    }
    match inner.state().streams.get_mut(&body.stream) {
        Some(stream) => stream.prompt = exported.prompt,
        None => return gone(),
    }
    task::spawn(generate(inner, body.stream));
    Ok(Response::new(StatusCode::Ok))
}

fn has_room(inner: &Inner, kv_pieces: KvPieces) -> bool {
    let state = inner.state();
    let used: u64 = state.streams.values().map(|stream| stream.kv_pieces.0).sum();
    let has_seat = (state.streams.len() as u64) < inner.settings.stream_limit_streams;
    has_seat && used + kv_pieces.0 <= inner.settings.kv_total_pieces
}

async fn generate(inner: Shared, stream: StreamId) {
    loop {
        task::sleep(Duration::from_millis(inner.settings.token_ms)).await;
        inner.thaw().await;
        let mut state = inner.state();
        let Some(generating) = state.streams.get_mut(&stream) else {
            return;
        };
        generating.generated += 1;
        let _ = generating.progress.sender.try_send(());
        if generating.generated < generating.max_tokens {
            continue;
        }
        if let Some(ended) = state.streams.remove(&stream) {
            state.ended.insert(stream.clone(), ended);
        }
        break;
    }
    task::sleep(ENDED_LIFE).await;
    inner.state().ended.remove(&stream);
}

#[derive(Deserialize)]
struct TokensQuery {
    stream: StreamId,
    from: u64,
    instance: InstanceId,
    incarnation: Incarnation,
    takes_over: bool,
}

/// Makes the reader the holder where it may be; returns the status where it may not.
fn admit_reader(state: &mut EngineState, query: &TokensQuery) -> Result<u64, StatusCode> {
    let reader = Holder { instance: query.instance.clone(), incarnation: query.incarnation };
    let found = match state.streams.get_mut(&query.stream) {
        Some(stream) => stream,
        None => state.ended.get_mut(&query.stream).ok_or(StatusCode::Gone)?,
    };
    if found.holder != reader && !query.takes_over {
        return Err(StatusCode::Conflict);
    }
    found.holder = reader;
    state.readers += 1;
    Ok(state.readers)
}

async fn tokens(request: Request<Shared>) -> tide::Result {
    let query: TokensQuery = request.query()?;
    let inner = Arc::clone(request.state());
    inner.thaw().await;
    admit(&inner)?;
    let admitted = admit_reader(&mut inner.state(), &query);
    let reader = match admitted {
        Ok(reader) => reader,
        Err(status) => return Ok(Response::new(status)),
    };
    let (sender, receiver) = async_channel::bounded(16);
    task::spawn(async move {
        let mut index = query.from;
        while let Some(line) = next_line(&inner, &query.stream, index, reader).await {
            let mut piece = serde_json::to_vec(&line).expect("token lines serialise");
            piece.push(b'\n');
            let is_end = matches!(line, TokenLine::End { .. });
            if sender.send(Ok(piece)).await.is_err() || is_end {
                return;
            }
            index += 1;
        }
        let cut = std::io::Error::other("stream cancelled");
        let _ = sender.send(Err(cut)).await;
    });
    Ok(Response::builder(200).body(channel_body(receiver)).build())
}

async fn next_line(inner: &Inner, stream: &StreamId, index: u64, reader: u64) -> Option<TokenLine> {
    loop {
        let progress = {
            let state = inner.state();
            let found = state.find(stream)?;
            if reader < state.cut_below {
                return None;
            }
            let is_told = reader >= state.mute_below && !state.is_frozen;
            if is_told && index < found.generated {
                return Some(TokenLine::Token { index, text: text::token(&found.prompt, index) });
            }
            if is_told && found.generated >= found.max_tokens {
                return Some(TokenLine::End { count: found.max_tokens });
            }
            found.progress.receiver.clone()
        };
        let _ = async_std::future::timeout(READ_STEP, progress.recv()).await;
    }
}

async fn cancel(mut request: Request<Shared>) -> tide::Result {
    let body: CancelBody = request.body_json().await?;
    let inner = Arc::clone(request.state());
    inner.thaw().await;
    admit(&inner)?;
    let mut state = inner.state();
    let is_holder =
        state.streams.get(&body.stream).is_some_and(|stream| stream.holder == body.holder);
    if is_holder {
        state.waste(&body.stream);
    }
    Ok(Response::new(StatusCode::Ok))
}

async fn take_order(mut request: Request<Shared>) -> tide::Result {
    let order: EngineOrder = request.body_json().await?;
    let inner = Arc::clone(request.state());
    inner.thaw().await;
    admit(&inner)?;
    let is_obeyed = inner.state().orders.obey(order);
    Ok(Response::new(if is_obeyed { StatusCode::Ok } else { StatusCode::Conflict }))
}

async fn report(request: Request<Shared>) -> tide::Result {
    let inner = Arc::clone(request.state());
    inner.thaw().await;
    admit(&inner)?;
    let state = inner.state();
    if let Some(report) = &state.stale_report {
        return json(report);
    }
    let held = state.streams.iter().map(|(id, stream)| {
        let held = HeldStream { holder: stream.holder.clone(), kv_pieces: stream.kv_pieces };
        (id.clone(), held)
    });
    let held: BTreeMap<_, _> = held.collect();
    let used: u64 = held.values().map(|stream| stream.kv_pieces.0).sum();
    json(&LoadReport {
        held,
        stream_limit_streams: Streams(inner.settings.stream_limit_streams),
        kv_total_pieces: KvPieces(inner.settings.kv_total_pieces),
        kv_free_pieces: KvPieces(inner.settings.kv_total_pieces.saturating_sub(used)),
        queued_tokens: Tokens(state.queued_tokens),
        role: state.orders.role,
        loaded: state.orders.loaded.clone(),
        fencing_number: state.orders.fencing_number,
    })
}
