//! Time and allocations of one decision, at several sizes.

use berylmount_model::{CustomerName, CustomerRow, PieceKey, WorkClass, WorkName};
use berylmount_policy::{
    assignment::rank_members, cache_retention::StoreQuota, CustomerLimiter, GroupBalancer,
    GroupQuery, LimitShare, MemberWeight, QueueCapacity, QueueRoom, RetentionPlanner,
    RunnerBalancer, RunnerQuery, RunnerSettings, WorkItem, WorkQueue, WorkTicket,
};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::{alloc::System, hint::black_box, time::Instant};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Numbers of targets.
const TARGETS: [usize; 3] = [12, 100, 1_000];
/// Numbers of customers.
const CUSTOMERS: [usize; 3] = [10, 1_000, 41_000];
/// Prompts that return.
const PROMPTS: u64 = 200_000;
/// Batches, of which the median counts.
const BATCHES: usize = 9;
/// Decisions in one batch.
const BATCH: u32 = 2_000;

/// What one decision costs.
struct DecisionCost {
    name: &'static str,
    size: String,
    ns: f64,
    allocations: f64,
    bytes: f64,
}

/// Measures `decide`, which gets the count of decisions so far.
fn cost(name: &'static str, size: String, mut decide: impl FnMut(u64)) -> DecisionCost {
    let mut times = Vec::new();
    let mut count = 0;
    let (mut allocations, mut bytes) = (0, 0);
    for _ in 0..BATCHES {
        let region = Region::new(ALLOCATOR);
        let begin = Instant::now();
        for _ in 0..BATCH {
            decide(count);
            count += 1;
        }
        times.push(begin.elapsed().as_nanos() as f64 / f64::from(BATCH));
        let change = region.change();
        (allocations, bytes) = (change.allocations, change.bytes_allocated);
    }
    times.sort_by(f64::total_cmp);
    DecisionCost {
        name,
        size,
        ns: times[BATCHES / 2],
        allocations: allocations as f64 / f64::from(BATCH),
        bytes: bytes as f64 / f64::from(BATCH),
    }
}

fn keys(prompt: u64, count: u64) -> Vec<PieceKey> {
    let key = |n| PieceKey::try_from(format!("{prompt:016x}{n:016x}{:032x}", 0));
    (0..count).filter_map(|n| key(n).ok()).collect()
}

fn choose_runner(targets: usize) -> DecisionCost {
    let mut rng = Pcg32::seed_from_u64(1);
    let mut board = RunnerBalancer::new(RunnerSettings::default());
    let pieces: Vec<_> = (0..64).map(|prompt| keys(prompt, 8)).collect();
    for place in 0..targets {
        let runner = board.join();
        board.prefixes_mut().note_kept(runner, &pieces[place % 64]);
    }
    let query = |n: u64| RunnerQuery {
        pieces: &pieces[n as usize % 64],
        prompt_tokens: 8_400,
        class: WorkClass::Interactive,
        may_probe: false,
        avoid: &[],
    };
    for n in 0..4 * targets as u64 {
        if let Some(choice) = board.choose(&query(n), 0, &mut rng) {
            board.start(WorkTicket(n), &choice, &query(n), 0);
        }
    }
    cost("choose a runner", format!("{targets} targets"), |n| {
        black_box(board.choose(&query(n), 10, &mut rng));
    })
}

fn start_finish(targets: usize) -> DecisionCost {
    let mut rng = Pcg32::seed_from_u64(1);
    let mut board = RunnerBalancer::new(RunnerSettings::default());
    for _ in 0..targets {
        board.join();
    }
    let pieces: Vec<_> = (0..64).map(|prompt| keys(prompt, 8)).collect();
    cost(
        "choose, start, first token, end",
        format!("{targets} targets"),
        |n| {
            let query = RunnerQuery {
                pieces: &pieces[n as usize % 64],
                prompt_tokens: 8_400,
                class: WorkClass::Interactive,
                may_probe: false,
                avoid: &[],
            };
            if let Some(choice) = board.choose(&query, n, &mut rng) {
                board.start(WorkTicket(n), &choice, &query, n);
                board.first_token(choice.runner, WorkTicket(n), n);
                board.finish(choice.runner, WorkTicket(n), n);
            }
        },
    )
}

fn room_and_capacity(targets: usize) -> DecisionCost {
    let mut board = RunnerBalancer::new(RunnerSettings::default());
    for _ in 0..targets {
        board.join();
    }
    cost(
        "room and capacity of a group",
        format!("{targets} targets"),
        |n| {
            black_box((board.room(n), board.capacity(n)));
        },
    )
}

fn choose_group(targets: usize) -> DecisionCost {
    let mut rng = Pcg32::seed_from_u64(1);
    let mut board = GroupBalancer::default();
    let groups = targets.div_ceil(12);
    for group in 0..groups {
        board.add_group(&format!("models/dc/{group}"), 4.0, 12);
    }
    let pieces = keys(1, 1);
    cost(
        "choose a group",
        format!("{targets} targets, {groups} groups"),
        |n| {
            let query = GroupQuery {
                first_piece: pieces.first(),
                home_saves_ms: 100.0,
                class: WorkClass::Interactive,
                avoid: &[],
            };
            black_box(board.choose(&query, n, &mut rng));
        },
    )
}

fn rank_entries(members: usize) -> DecisionCost {
    let names: Vec<String> = (0..members).map(|n| format!("entry-{n}")).collect();
    let members: Vec<_> = names.iter().map(|name| MemberWeight::equal(name)).collect();
    cost(
        "rank entries for a customer",
        format!("{} members", members.len()),
        |n| {
            black_box(rank_members(&n.to_le_bytes(), &members, 3));
        },
    )
}

fn admit(customers: usize) -> DecisionCost {
    let row = |place: usize| CustomerRow {
        name: CustomerName::try_from(format!("customer-{place}"))
            .unwrap_or_else(|_| unreachable!()),
        key_hash: String::new(),
        weight: 1,
        rate_per_s: 1e6,
        burst: 1_000_000,
        in_flight: 1_000_000,
        version: None,
        cache_scope: String::new(),
    };
    let rows: Vec<_> = (0..customers).map(row).collect();
    let work = WorkName::try_from("work".to_owned()).unwrap_or_else(|_| unreachable!());
    let mut book = CustomerLimiter::new(0);
    for row in &rows {
        let _ = book.admit(row, &work, None, LimitShare::WHOLE, 0);
    }
    cost("admit and finish", format!("{customers} customers"), |n| {
        let row = &rows[(n as usize * 7_919) % customers];
        let _ = black_box(book.admit(row, &work, None, LimitShare::WHOLE, n));
        book.finish(&row.name);
    })
}

fn queue_turn(customers: usize) -> DecisionCost {
    let mut queue = WorkQueue::default();
    let waiting = customers.clamp(100, 2_000);
    let capacity = QueueCapacity::idle(12.0);
    let item = |n: u64| WorkItem {
        ticket: WorkTicket(n),
        customer: n.wrapping_mul(0x9e37_79b9_7f4a_7c15) % customers as u64,
        weight: 1,
        class: WorkClass::Interactive,
        prefill_ms: 50.0,
        due_ms: 1 << 40,
    };
    for n in 0..waiting as u64 {
        queue.restore(item(n));
    }
    let size = format!("{customers} customers, {waiting} waiting");
    cost("offer to and take from a queue", size, |n| {
        let _ = queue.offer(item(n + 10_000), &capacity, 0);
        black_box(queue.take(QueueRoom::same(true, true)));
    })
}

fn keep(prompts: u64) -> DecisionCost {
    let share = |name: &str| StoreQuota {
        name: name.to_owned(),
        memory_bytes: prompts * 10,
        disk_bytes: prompts * 30,
    };
    let mut book = RetentionPlanner::new(vec![share("a"), share("b")], 300_000);
    for prompt in 0..prompts {
        book.plan_retention(prompt, 50 + prompt % 100, prompt);
    }
    cost(
        "what to keep when a run ends",
        format!("{prompts} prompts"),
        |n| {
            let prompt = n.wrapping_mul(0x9e37_79b9_7f4a_7c15) % prompts;
            black_box(book.plan_retention(prompt, 50 + prompt % 100, prompts + n));
        },
    )
}

/// Prints the cost of each decision.
pub(crate) fn print_costs(json: bool) {
    let mut costs = Vec::new();
    for targets in TARGETS {
        costs.push(choose_runner(targets));
        costs.push(start_finish(targets));
        costs.push(room_and_capacity(targets));
        costs.push(choose_group(targets));
    }
    costs.push(rank_entries(7));
    costs.push(rank_entries(420));
    for customers in CUSTOMERS {
        costs.push(admit(customers));
        costs.push(queue_turn(customers));
    }
    costs.push(keep(PROMPTS / 100));
    costs.push(keep(PROMPTS));
    for cost in &costs {
        let DecisionCost {
            name,
            size,
            ns,
            allocations,
            bytes,
        } = cost;
        if json {
            let line = serde_json::json!({
                "decision": name, "size": size, "ns": ns,
                "allocations": allocations, "bytes": bytes,
            });
            println!("{line}");
        } else {
            println!(
                "{name:<34} {size:<30} {ns:>9.0} ns {allocations:>7.2} allocations {bytes:>8.0} B"
            );
        }
    }
}
