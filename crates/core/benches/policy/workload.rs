//! Deployments of today and the requests that callers send to them, from a fixed seed.

use fastrand::Rng;

/// Prompt tokens that one prefix hash stands for.
pub const BLOCK_TOKENS: u64 = 128;
/// Tokens in one KV piece.
pub const PIECE_TOKENS: u64 = 16;
/// Streams of a decode engine.
pub const ENGINE_STREAMS: u64 = 20;
/// KV pieces of a decode engine.
pub const ENGINE_PIECES: u64 = 2_000;
/// Prompt tokens that a prefill engine computes in a millisecond.
pub const PREFILL_TOKENS_PER_MS: f64 = 4.0;
/// Time of a decode step, apart from the batch.
pub const STEP_BASE_MS: f64 = 8.0;
/// Time that each stream of the batch adds to a decode step.
pub const STEP_STREAM_MS: f64 = 0.8;
/// Time before the first arrival, in which instances meet.
pub const WARM_UP_MS: u64 = 5_000;
/// Time in which requests arrive.
pub const ARRIVALS_MS: u64 = 180_000;

const WORKSPACES: u64 = 16;
const TEMPLATES: u64 = 12;
/// The workspace that sends most requests in a flood.
pub const FLOODING_WORKSPACE: u64 = 0;
const FLOOD_PERCENT: u64 = 60;
const CANCEL_PERCENT: u64 = 3;
const BURST_EVERY_MS: u64 = 20_000;
const BURST_MS: u64 = 4_000;
const BURST_FACTOR: f64 = 2.0;

/// Targets and weights of one caller kind.
#[derive(Clone)]
pub struct Kind {
    pub name: &'static str,
    pub first_token_ms: u64,
    pub per_token_ms: u64,
    pub goodput_weight: f64,
    pub wasted_prefill_weight: f64,
}

/// Sizes of one deployment.
#[derive(Clone)]
pub struct Deployment {
    pub name: &'static str,
    pub data_centres: usize,
    pub instances: usize,
    pub prefill_per_data_centre: usize,
    pub decode_per_data_centre: usize,
    pub plain: usize,
    pub prompt_median_tokens: f64,
    pub answer_median_tokens: f64,
    pub kinds: Vec<Kind>,
    /// Rate of all links as a share of the usual one.
    pub link_share: f64,
}

/// One model request of the workload.
#[derive(Clone)]
pub struct Asked {
    pub arrives_ms: u64,
    pub instance: usize,
    pub workspace: u64,
    pub kind: Kind,
    pub prompt_tokens: u64,
    pub shared_tokens: u64,
    pub answer_tokens: u64,
    pub max_tokens: u64,
    pub hashes: Vec<u64>,
    pub gone_after_ms: Option<u64>,
}

impl Deployment {
    /// Association Sénégalaise des Cartonniers Plieurs.
    pub fn association() -> Self {
        Self {
            name: "association",
            data_centres: 3,
            instances: 8,
            prefill_per_data_centre: 1,
            decode_per_data_centre: 2,
            plain: 3,
            prompt_median_tokens: 1_100.0,
            answer_median_tokens: 250.0,
            link_share: 1.0,
            kinds: vec![
                Kind {
                    name: "printer",
                    first_token_ms: 3_000,
                    per_token_ms: 30,
                    goodput_weight: 3.0,
                    wasted_prefill_weight: 1.0,
                },
                Kind {
                    name: "salesman",
                    first_token_ms: 1_500,
                    per_token_ms: 30,
                    goodput_weight: 3.0,
                    wasted_prefill_weight: 1.0,
                },
            ],
        }
    }

    /// Lantern Forge Mods.
    pub fn lantern_forge() -> Self {
        Self {
            name: "lantern_forge",
            data_centres: 3,
            instances: 9,
            prefill_per_data_centre: 2,
            decode_per_data_centre: 2,
            plain: 3,
            prompt_median_tokens: 2_000.0,
            answer_median_tokens: 200.0,
            link_share: 1.0,
            kinds: vec![
                Kind {
                    name: "player",
                    first_token_ms: 2_000,
                    per_token_ms: 30,
                    goodput_weight: 1.0,
                    wasted_prefill_weight: 3.0,
                },
                Kind {
                    name: "author",
                    first_token_ms: 4_000,
                    per_token_ms: 30,
                    goodput_weight: 1.0,
                    wasted_prefill_weight: 3.0,
                },
            ],
        }
    }

    /// One data centre of 32 instances with this many engines.
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

    /// Prefill engines in all data centres.
    pub fn prefill_engines(&self) -> f64 {
        self.data_centres as f64 * self.prefill_per_data_centre as f64
    }

    /// Decode engines in all data centres.
    pub fn decode_engines(&self) -> f64 {
        self.data_centres as f64 * self.decode_per_data_centre as f64
    }
}

/// The requests of a deployment at a load, where 1.0 is what its engines can carry; from a time on
/// one workspace may send most of them.
pub fn requests(deployment: &Deployment, load: f64, seed: u64, flood_from_ms: u64) -> Vec<Asked> {
    let mut rng = Rng::with_seed(seed);
    let sample: Vec<_> = (0..2_000).map(|_| draw(deployment, &mut rng, 0)).collect();
    let capacity_per_ms = capacity_per_ms(deployment, &sample);
    let mut asked = Vec::new();
    let mut now_ms = WARM_UP_MS as f64;
    while now_ms < (WARM_UP_MS + ARRIVALS_MS) as f64 {
        let rate = load * capacity_per_ms * burst_factor(now_ms as u64);
        now_ms -= (1.0 - rng.f64()).ln() / rate;
        let mut drawn = draw(deployment, &mut rng, now_ms as u64);
        if drawn.arrives_ms >= flood_from_ms && rng.u64(0..100) < FLOOD_PERCENT {
            drawn.workspace = FLOODING_WORKSPACE;
        }
        asked.push(drawn);
    }
    asked
}

/// Requests a millisecond at which the scarcer kind of engine is always busy.
fn capacity_per_ms(deployment: &Deployment, sample: &[Asked]) -> f64 {
    let count = sample.len() as f64;
    let prefill_ms = sample.iter().map(Asked::prefill_ms).sum::<f64>() / count;
    let by_streams_ms = sample.iter().map(Asked::decode_ms_by_streams).sum::<f64>() / count;
    let by_pieces_ms = sample.iter().map(Asked::decode_ms_by_pieces).sum::<f64>() / count;
    let prefill = deployment.prefill_engines() / prefill_ms;
    prefill.min(deployment.decode_engines() / by_streams_ms.max(by_pieces_ms))
}

fn burst_factor(now_ms: u64) -> f64 {
    if now_ms % BURST_EVERY_MS < BURST_MS {
        return BURST_FACTOR;
    }
    let quiet_ms = (BURST_EVERY_MS - BURST_MS) as f64;
    (BURST_EVERY_MS as f64 - BURST_FACTOR * BURST_MS as f64) / quiet_ms
}

fn draw(deployment: &Deployment, rng: &mut Rng, arrives_ms: u64) -> Asked {
    let prompt_tokens =
        long_tailed(rng, deployment.prompt_median_tokens, 0.7).clamp(64.0, 8_000.0) as u64;
    let max_tokens =
        long_tailed(rng, deployment.answer_median_tokens, 0.6).clamp(16.0, 600.0) as u64;
    let is_short = rng.u64(0..10) < 3;
    let answer_tokens = if is_short { (max_tokens / 2).max(8) } else { max_tokens };
    let template = rng.u64(0..TEMPLATES);
    let shared_blocks = (2 + template % 6).min(prompt_tokens / BLOCK_TOKENS);
    let unique = rng.u64(..);
    let hashes = (0..prompt_tokens / BLOCK_TOKENS).map(|block| {
        let owner = if block < shared_blocks { template } else { unique };
        owner.wrapping_mul(0x9E37_79B9_7F4A_7C15).wrapping_add(block)
    });
    Asked {
        arrives_ms,
        instance: rng.usize(0..deployment.instances),
        workspace: rng.u64(0..WORKSPACES),
        kind: deployment.kinds[rng.usize(0..deployment.kinds.len())].clone(),
        prompt_tokens,
        shared_tokens: shared_blocks * BLOCK_TOKENS,
        answer_tokens,
        max_tokens,
        hashes: hashes.collect(),
        gone_after_ms: (rng.u64(0..100) < CANCEL_PERCENT).then(|| rng.u64(200..6_000)),
    }
}

/// A log-normal value.
fn long_tailed(rng: &mut Rng, median: f64, sigma: f64) -> f64 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.f64()).cos();
    median * (sigma * normal).exp()
}

impl Asked {
    /// Least time on a prefill engine: the shared part is found in its cache.
    pub fn prefill_ms(&self) -> f64 {
        (self.prompt_tokens - self.shared_tokens) as f64 / PREFILL_TOKENS_PER_MS
    }

    /// Least time on a decode engine, where streams are scarce.
    pub fn decode_ms_by_streams(&self) -> f64 {
        self.answer_tokens as f64 * (STEP_STREAM_MS + STEP_BASE_MS / ENGINE_STREAMS as f64)
    }

    /// Least time on a decode engine, where KV pieces are scarce.
    pub fn decode_ms_by_pieces(&self) -> f64 {
        let pieces = (self.prompt_tokens + self.answer_tokens).div_ceil(PIECE_TOKENS) as f64;
        self.answer_tokens as f64 * (STEP_STREAM_MS + STEP_BASE_MS * pieces / ENGINE_PIECES as f64)
    }
}
