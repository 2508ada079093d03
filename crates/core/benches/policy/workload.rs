//! Deployments, and the requests that callers send to them, generated from a seed.

use fastrand::Rng;

/// Prompt tokens that one prefix hash covers.
pub const TOKENS_PER_BLOCK: u64 = 128;
pub const TOKENS_PER_PIECE: u64 = 16;
pub const STREAMS_PER_ENGINE: u64 = 20;
pub const PIECES_PER_ENGINE: u64 = 2_000;
pub const PREFILL_TOKENS_PER_MS: f64 = 4.0;
/// Time of a decode step apart from the share of its streams.
pub const DECODE_STEP_BASE_MS: f64 = 8.0;
pub const DECODE_STEP_PER_STREAM_MS: f64 = 0.8;
/// Time before the first arrival, in which the instances learn of each other.
pub const WARM_UP_MS: u64 = 5_000;
pub const ARRIVAL_PERIOD_MS: u64 = 180_000;

const WORKSPACES: u64 = 16;
const PROMPT_TEMPLATES: u64 = 12;
/// The workspace that sends most of the requests in a flood.
pub const FLOODING_WORKSPACE: u64 = 0;
const FLOOD_PERCENT: u64 = 60;
const CANCEL_PERCENT: u64 = 3;
const BURST_PERIOD_MS: u64 = 20_000;
const BURST_DURATION_MS: u64 = 4_000;
const BURST_FACTOR: f64 = 2.0;

/// Latency targets and weights of one caller kind.
#[derive(Clone)]
pub struct CallerKind {
    pub name: &'static str,
    pub first_token_ms: u64,
    pub per_token_ms: u64,
    pub goodput_weight: f64,
    pub wasted_prefill_weight: f64,
}

/// Size of one deployment and shape of its requests.
#[derive(Clone)]
pub struct Deployment {
    pub name: &'static str,
    pub data_centres: usize,
    pub instances: usize,
    pub prefill_per_data_centre: usize,
    pub decode_per_data_centre: usize,
    pub plain_servers: usize,
    pub prompt_median_tokens: f64,
    pub answer_median_tokens: f64,
    pub caller_kinds: Vec<CallerKind>,
    /// Rate of all links relative to the normal rate.
    pub link_rate_ratio: f64,
}

/// One model request of the workload; `shared_tokens` is the part of the prompt that comes from its
/// template.
#[derive(Clone)]
pub struct WorkloadRequest {
    pub arrives_ms: u64,
    pub instance: usize,
    pub workspace: u64,
    pub caller_kind: CallerKind,
    pub prompt_tokens: u64,
    pub shared_tokens: u64,
    pub answer_tokens: u64,
    pub max_tokens: u64,
    pub prefix_hashes: Vec<u64>,
    pub caller_leaves_after_ms: Option<u64>,
}

impl Deployment {
    /// The deployment of the Association Sénégalaise des Cartonniers Plieurs.
    pub fn association() -> Self {
        Self {
            name: "association",
            data_centres: 3,
            instances: 8,
            prefill_per_data_centre: 1,
            decode_per_data_centre: 2,
            plain_servers: 3,
            prompt_median_tokens: 1_100.0,
            answer_median_tokens: 250.0,
            link_rate_ratio: 1.0,
            caller_kinds: vec![
                CallerKind {
                    name: "printer",
                    first_token_ms: 3_000,
                    per_token_ms: 30,
                    goodput_weight: 3.0,
                    wasted_prefill_weight: 1.0,
                },
                CallerKind {
                    name: "salesman",
                    first_token_ms: 1_500,
                    per_token_ms: 30,
                    goodput_weight: 3.0,
                    wasted_prefill_weight: 1.0,
                },
            ],
        }
    }

    /// The deployment of Lantern Forge Mods.
    pub fn lantern_forge() -> Self {
        Self {
            name: "lantern_forge",
            data_centres: 3,
            instances: 9,
            prefill_per_data_centre: 2,
            decode_per_data_centre: 2,
            plain_servers: 3,
            prompt_median_tokens: 2_000.0,
            answer_median_tokens: 200.0,
            link_rate_ratio: 1.0,
            caller_kinds: vec![
                CallerKind {
                    name: "player",
                    first_token_ms: 2_000,
                    per_token_ms: 30,
                    goodput_weight: 1.0,
                    wasted_prefill_weight: 3.0,
                },
                CallerKind {
                    name: "author",
                    first_token_ms: 4_000,
                    per_token_ms: 30,
                    goodput_weight: 1.0,
                    wasted_prefill_weight: 3.0,
                },
            ],
        }
    }

    /// One data centre with 32 instances and this many engines.
    pub fn large(engines: usize) -> Self {
        Self {
            name: "large",
            data_centres: 1,
            instances: 32,
            prefill_per_data_centre: engines / 3,
            decode_per_data_centre: engines - engines / 3,
            ..Self::association()
        }
    }

    pub fn prefill_engines(&self) -> f64 {
        self.data_centres as f64 * self.prefill_per_data_centre as f64
    }

    pub fn decode_engines(&self) -> f64 {
        self.data_centres as f64 * self.decode_per_data_centre as f64
    }
}

/// Generates the requests of a deployment. A `load` of 1.0 is the capacity of its engines. From
/// `flood_from_ms` on, one workspace sends most of the requests.
pub fn generate_requests(
    deployment: &Deployment,
    load: f64,
    seed: u64,
    flood_from_ms: u64,
) -> Vec<WorkloadRequest> {
    let mut rng = Rng::with_seed(seed);
    let sample: Vec<_> = (0..2_000).map(|_| random_request(deployment, &mut rng, 0)).collect();
    let capacity_per_ms = capacity_per_ms(deployment, &sample);
    let mut requests = Vec::new();
    let mut now_ms = WARM_UP_MS as f64;
    while now_ms < (WARM_UP_MS + ARRIVAL_PERIOD_MS) as f64 {
        let rate = load * capacity_per_ms * burst_factor(now_ms as u64);
        now_ms -= (1.0 - rng.f64()).ln() / rate;
        let mut request = random_request(deployment, &mut rng, now_ms as u64);
        if request.arrives_ms >= flood_from_ms && rng.u64(0..100) < FLOOD_PERCENT {
            request.workspace = FLOODING_WORKSPACE;
        }
        requests.push(request);
    }
    requests
}

/// Returns the request rate at which the engines of the scarcer role are always busy.
fn capacity_per_ms(deployment: &Deployment, sample: &[WorkloadRequest]) -> f64 {
    let count = sample.len() as f64;
    let prefill_ms = sample.iter().map(WorkloadRequest::prefill_ms).sum::<f64>() / count;
    let by_streams_ms =
        sample.iter().map(WorkloadRequest::decode_ms_by_streams).sum::<f64>() / count;
    let by_pieces_ms = sample.iter().map(WorkloadRequest::decode_ms_by_pieces).sum::<f64>() / count;
    let prefill = deployment.prefill_engines() / prefill_ms;
    prefill.min(deployment.decode_engines() / by_streams_ms.max(by_pieces_ms))
}

fn burst_factor(now_ms: u64) -> f64 {
    if now_ms % BURST_PERIOD_MS < BURST_DURATION_MS {
        return BURST_FACTOR;
    }
    let quiet_ms = (BURST_PERIOD_MS - BURST_DURATION_MS) as f64;
    (BURST_PERIOD_MS as f64 - BURST_FACTOR * BURST_DURATION_MS as f64) / quiet_ms
}

fn random_request(deployment: &Deployment, rng: &mut Rng, arrives_ms: u64) -> WorkloadRequest {
    let prompt_tokens =
        log_normal(rng, deployment.prompt_median_tokens, 0.7).clamp(64.0, 8_000.0) as u64;
    let max_tokens =
        log_normal(rng, deployment.answer_median_tokens, 0.6).clamp(16.0, 600.0) as u64;
    let is_short = rng.u64(0..10) < 3;
    let answer_tokens = if is_short { (max_tokens / 2).max(8) } else { max_tokens };
    let template = rng.u64(0..PROMPT_TEMPLATES);
    let shared_blocks = (2 + template % 6).min(prompt_tokens / TOKENS_PER_BLOCK);
    let unique_source = rng.u64(..);
    let prefix_hashes = (0..prompt_tokens / TOKENS_PER_BLOCK).map(|block| {
        let source = if block < shared_blocks { template } else { unique_source };
        source.wrapping_mul(0x9E37_79B9_7F4A_7C15).wrapping_add(block)
    });
    WorkloadRequest {
        arrives_ms,
        instance: rng.usize(0..deployment.instances),
        workspace: rng.u64(0..WORKSPACES),
        caller_kind: deployment.caller_kinds[rng.usize(0..deployment.caller_kinds.len())].clone(),
        prompt_tokens,
        shared_tokens: shared_blocks * TOKENS_PER_BLOCK,
        answer_tokens,
        max_tokens,
        prefix_hashes: prefix_hashes.collect(),
        caller_leaves_after_ms: (rng.u64(0..100) < CANCEL_PERCENT).then(|| rng.u64(200..6_000)),
    }
}

/// Returns a log-normally distributed value.
fn log_normal(rng: &mut Rng, median: f64, sigma: f64) -> f64 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.f64()).cos();
    median * (sigma * normal).exp()
}

impl WorkloadRequest {
    /// Minimum time on a prefill engine, when the shared part of the prompt is cached.
    pub fn prefill_ms(&self) -> f64 {
        (self.prompt_tokens - self.shared_tokens) as f64 / PREFILL_TOKENS_PER_MS
    }

    /// Minimum time on a decode engine if the batch is limited by its streams.
    pub fn decode_ms_by_streams(&self) -> f64 {
        self.answer_tokens as f64
            * (DECODE_STEP_PER_STREAM_MS + DECODE_STEP_BASE_MS / STREAMS_PER_ENGINE as f64)
    }

    /// Minimum time on a decode engine if the batch is limited by its KV pieces.
    pub fn decode_ms_by_pieces(&self) -> f64 {
        let pieces = (self.prompt_tokens + self.answer_tokens).div_ceil(TOKENS_PER_PIECE) as f64;
        self.answer_tokens as f64
            * (DECODE_STEP_PER_STREAM_MS + DECODE_STEP_BASE_MS * pieces / PIECES_PER_ENGINE as f64)
    }
}
