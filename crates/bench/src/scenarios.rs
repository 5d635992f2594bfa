//! The scenarios: arrivals, sizes and faults, the same for every policy.

use berylmount_model::{PieceKey, WorkClass, PIECE_TOKENS};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::rc::Rc;
use strum::{Display, EnumIter, EnumString};

/// Customers of each of today's users; a few are large.
pub(crate) const CUSTOMER_SHARES: [f64; 10] =
    [0.30, 0.20, 0.10, 0.08, 0.08, 0.06, 0.06, 0.04, 0.04, 0.04];

/// What is measured.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum ScenarioName {
    /// Prompts return after gaps in which caches evict them.
    Returning,
    /// Several times the load within seconds, with long reports.
    Swing,
    /// A swing beyond what the runners can serve at all, on a weekend's work.
    Overload,
    /// Few long reports among short work.
    LongReports,
    /// The short work of `long-reports` alone.
    ShortAlone,
    /// Two of eighteen runners become five times slower; reports lag.
    Stragglers,
    /// The arrivals of `stragglers` with healthy runners.
    Healthy,
    /// A slow and lossy link between data centres.
    SlowLink,
    /// The platform is out during a swing.
    Outage,
    /// One instance dies under load.
    Kill,
}

/// One request.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at_us: u64,
    pub(crate) customer: usize,
    pub(crate) class: WorkClass,
    pub(crate) idempotent: bool,
    /// Names the kept part of the prompt; zero for none.
    pub(crate) prompt: u64,
    pub(crate) pieces: Rc<[PieceKey]>,
    pub(crate) prompt_tokens: u32,
    pub(crate) answer_tokens: u32,
    pub(crate) limit_ms: u64,
}

/// Something that happens to the system or its targets.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// A runner's speed changes.
    Speed { runner: usize, speed: f64 },
    /// The instance with entry 0 and the dispatch of group 0 dies.
    Kill,
}

/// One scenario with a seed.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) runners: usize,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) faults: Vec<(u64, Fault)>,
    /// The crest of the swing, or the whole run: from, to.
    pub(crate) crest_us: (u64, u64),
    /// When the platform is out.
    pub(crate) outage_us: (u64, u64),
    /// Bytes of each store that may be used.
    pub(crate) store_bytes: u64,
    /// Bytes a second between a store and another data centre.
    pub(crate) far_bytes_per_s: f64,
    /// Spells of low speed on those links: from, to, factor.
    pub(crate) spells: Vec<(u64, u64, f64)>,
    /// Part of the messages between data centres that are lost and sent again.
    pub(crate) loss: f64,
}

/// A kind of work: class, share and sizes.
struct WorkShape {
    class: WorkClass,
    share: f64,
    families: u64,
    pieces: (u64, u64),
    tail: (u32, u32),
    answer: (u32, u32),
    limit_ms: u64,
}

const fn shape(class: WorkClass, share: f64, limit_ms: u64) -> WorkShape {
    WorkShape {
        class,
        share,
        families: 1,
        pieces: (0, 0),
        tail: (150, 300),
        answer: (8, 12),
        limit_ms,
    }
}

/// Orders, questions, photos, checks against a standards text and reports.
fn usual_work(long_share: f64) -> Vec<WorkShape> {
    vec![
        shape(WorkClass::Critical, 0.10, 1_500),
        WorkShape {
            families: 60,
            pieces: (2, 3),
            tail: (200, 1_200),
            answer: (40, 160),
            ..shape(WorkClass::Interactive, 0.50, 1_500)
        },
        WorkShape {
            tail: (300, 600),
            ..shape(WorkClass::Interactive, 0.20, 1_500)
        },
        WorkShape {
            families: 20,
            pieces: (6, 12),
            tail: (200, 600),
            answer: (100, 300),
            ..shape(WorkClass::Standard, 0.20 - long_share, 4_000)
        },
        WorkShape {
            families: 400,
            pieces: (16, 40),
            tail: (200, 800),
            answer: (400, 900),
            ..shape(WorkClass::Bulk, long_share, 30_000)
        },
    ]
}

/// The keys of the pieces of one family.
fn family_pieces(prompt: u64, count: u64) -> Rc<[PieceKey]> {
    let key = |n| PieceKey::try_from(format!("{:016x}{n:016x}{:032x}", mixed(prompt), 0));
    (0..count).filter_map(|n| key(n).ok()).collect()
}

fn mixed(number: u64) -> u64 {
    number.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29)
}

fn pick_customer(rng: &mut impl Rng) -> usize {
    let mut left: f64 = rng.random();
    let shares = CUSTOMER_SHARES.iter();
    let place = shares.take_while(|&&share| {
        left -= share;
        left > 0.0
    });
    place.count().min(CUSTOMER_SHARES.len() - 1)
}

fn draw(shape: &WorkShape, kind: u64, at_us: u64, rng: &mut impl Rng) -> Arrival {
    let family = rng.random_range(0..shape.families);
    let prompt = if shape.pieces.1 == 0 {
        0
    } else {
        kind * 1_000_000 + family + 1
    };
    let span = shape.pieces.1 - shape.pieces.0 + 1;
    let count = if prompt == 0 {
        0
    } else {
        shape.pieces.0 + mixed(prompt) % span
    };
    let pieces = family_pieces(prompt, count);
    let tail = rng.random_range(shape.tail.0..=shape.tail.1);
    Arrival {
        at_us,
        customer: pick_customer(rng),
        class: shape.class,
        idempotent: shape.class != WorkClass::Critical,
        prompt,
        prompt_tokens: (pieces.len() * PIECE_TOKENS) as u32 + tail,
        pieces,
        answer_tokens: rng.random_range(shape.answer.0..=shape.answer.1),
        limit_ms: shape.limit_ms,
    }
}

/// Arrivals at `rate(seconds)` a second until `seconds`.
fn arrivals(
    works: &[WorkShape],
    seconds: f64,
    most: f64,
    rate: impl Fn(f64) -> f64,
    rng: &mut impl Rng,
) -> Vec<Arrival> {
    let (mut list, mut at) = (Vec::new(), 0.0);
    loop {
        at -= (1.0 - rng.random::<f64>()).ln() / most;
        if at >= seconds {
            return list;
        }
        let taken = rng.random::<f64>() * most < rate(at);
        let mut left: f64 = rng.random();
        let kind = works.iter().position(|work| {
            left -= work.share;
            left < 0.0
        });
        let kind = kind.unwrap_or(works.len() - 1);
        let arrival = draw(&works[kind], kind as u64 + 1, (at * 1e6) as u64, rng);
        if taken {
            list.push(arrival);
        }
    }
}

/// Prompts that return, each after its own usual gap.
fn returning_arrivals(seconds: f64, rng: &mut impl Rng) -> Vec<Arrival> {
    let mut list = Vec::new();
    for family in 0..1_200u64 {
        let prompt = 9_000_000 + family;
        let pieces = family_pieces(prompt, 4 + mixed(prompt) % 17);
        let gap = 40.0 * (20.0f64).powf(rng.random());
        let customer = pick_customer(rng);
        let mut at = gap * rng.random::<f64>();
        while at < seconds {
            let tail = rng.random_range(100..400);
            list.push(Arrival {
                at_us: (at * 1e6) as u64,
                customer,
                class: WorkClass::Standard,
                idempotent: true,
                prompt,
                pieces: pieces.clone(),
                prompt_tokens: (pieces.len() * PIECE_TOKENS) as u32 + tail,
                answer_tokens: rng.random_range(40..160),
                limit_ms: 4_000,
            });
            at += gap * rng.random_range(0.7..1.3);
        }
    }
    list.sort_by_key(|arrival| arrival.at_us);
    list
}

/// Three seconds from `low` to `high`, which lasts from 23 s to 43 s.
fn swing(low: f64, high: f64) -> impl Fn(f64) -> f64 {
    move |at| match at {
        t if (20.0..23.0).contains(&t) => low + (high - low) * (t - 20.0) / 3.0,
        t if (23.0..43.0).contains(&t) => high,
        _ => low,
    }
}

const SECOND: u64 = 1_000_000;

impl Scenario {
    /// The scenario `name` with `seed`.
    pub(crate) fn new(name: ScenarioName, seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut scenario = Self {
            runners: 12,
            arrivals: Vec::new(),
            faults: Vec::new(),
            crest_us: (0, u64::MAX),
            outage_us: (0, 0),
            store_bytes: 40 << 30,
            far_bytes_per_s: 250e6,
            spells: Vec::new(),
            loss: 0.0,
        };
        let usual = usual_work(0.04);
        match name {
            ScenarioName::Returning => scenario.arrivals = returning_arrivals(1_500.0, &mut rng),
            ScenarioName::Swing | ScenarioName::Outage => {
                let rate = swing(20.0, 80.0);
                scenario.arrivals = arrivals(&usual, 60.0, 80.0, rate, &mut rng);
                scenario.crest_us = (23 * SECOND, 43 * SECOND);
                if name == ScenarioName::Outage {
                    scenario.outage_us = (25 * SECOND, 40 * SECOND);
                }
            }
            ScenarioName::Overload => {
                scenario.runners = 18;
                let rate = swing(40.0, 320.0);
                scenario.arrivals = arrivals(&usual, 60.0, 320.0, rate, &mut rng);
                scenario.crest_us = (23 * SECOND, 43 * SECOND);
            }
            ScenarioName::LongReports | ScenarioName::ShortAlone => {
                scenario.arrivals = arrivals(&usual, 300.0, 30.0, |_| 30.0, &mut rng);
                if name == ScenarioName::ShortAlone {
                    scenario.arrivals.retain(|a| a.class != WorkClass::Bulk);
                }
            }
            ScenarioName::Stragglers | ScenarioName::Healthy => {
                scenario.runners = 18;
                scenario.arrivals = arrivals(&usual, 300.0, 40.0, |_| 40.0, &mut rng);
                if name == ScenarioName::Stragglers {
                    let slow = |runner| (10 * SECOND, Fault::Speed { runner, speed: 0.2 });
                    scenario.faults = vec![slow(3), slow(11)];
                }
            }
            ScenarioName::SlowLink => {
                scenario.arrivals = returning_arrivals(1_500.0, &mut rng);
                scenario.far_bytes_per_s = 100e6;
                let spell = |n: u64| ((40 * n + 20) * SECOND, (40 * n + 40) * SECOND, 0.1);
                scenario.spells = (0..37).map(spell).collect();
                scenario.loss = 0.02;
            }
            ScenarioName::Kill => {
                scenario.arrivals = arrivals(&usual, 60.0, 40.0, |_| 40.0, &mut rng);
                scenario.faults = vec![(30 * SECOND, Fault::Kill)];
            }
        }
        scenario
    }
}
