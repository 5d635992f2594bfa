//! Snapshot tests of individual decisions.

use berylmount_model::{CustomerName, CustomerRow, InstanceName, PieceKey, WorkClass, WorkName};
use berylmount_policy::{
    assignment::{rank_members, split_groups, GROUP_RUNNERS},
    cache_retention::StoreQuota,
    CustomerLimiter, GroupBalancer, GroupQuery, LimitShare, LinkTracker, MemberWeight,
    QueueCapacity, QueueRoom, RetentionPlanner, RetryPacer, RunnerBalancer, RunnerChoice,
    RunnerQuery, RunnerReport, RunnerSettings, WorkItem, WorkQueue, WorkTicket,
};
use rand::SeedableRng;
use rand_pcg::Pcg32;

fn item(ticket: u64, class: WorkClass, prefill_ms: f64, due_ms: u64) -> WorkItem {
    WorkItem {
        ticket: WorkTicket(ticket),
        customer: ticket % 2,
        weight: 1,
        class,
        prefill_ms,
        due_ms,
    }
}

#[test]
fn a_leaving_member_moves_only_its_own_keys() {
    let names: Vec<String> = (0..7).map(|n| format!("entry-{n}")).collect();
    let members: Vec<_> = names.iter().map(|n| MemberWeight::equal(n)).collect();
    let owner = |key: u32, members: &[MemberWeight]| {
        let index = rank_members(&key.to_le_bytes(), members, 1)[0];
        members[index].name.to_owned()
    };
    let mut moved = 0;
    for key in 0..1000 {
        let (before, after) = (owner(key, &members), owner(key, &members[1..]));
        assert!(before == after || before == "entry-0");
        moved += u32::from(before != after);
    }
    insta::assert_snapshot!(moved);
}

#[test]
fn groups_stay_small_and_few_runners_move() {
    let names: Vec<_> = (0..100)
        .map(|n| InstanceName::new(&format!("runner-{n}")).unwrap())
        .collect();
    let (all, fewer) = (split_groups(&names), split_groups(&names[1..]));
    let largest = |split: &[u32]| {
        (0..20)
            .map(|g| split.iter().filter(|&&s| s == g).count())
            .max()
    };
    assert!(largest(&all) <= Some(GROUP_RUNNERS) && largest(&fewer) <= Some(GROUP_RUNNERS));
    let moved = all[1..].iter().zip(&fewer).filter(|(a, b)| a != b).count();
    insta::assert_snapshot!(moved);
}

#[test]
fn a_new_owner_starts_with_a_small_burst_and_an_idle_customer_keeps_its_own() {
    let row = CustomerRow {
        name: CustomerName::new("crew").unwrap(),
        key_hash: String::new(),
        weight: 1,
        rate_per_s: 10.0,
        burst: 32,
        in_flight: 99,
        version: None,
        cache_scope: "crew".to_owned(),
    };
    let work = WorkName::new("question").unwrap();
    let mut limiter = CustomerLimiter::new(0);
    let burst = |limiter: &mut CustomerLimiter, now_ms| {
        let mut count = 0;
        while limiter
            .admit(&row, &work, None, LimitShare::WHOLE, now_ms)
            .is_ok()
        {
            limiter.finish(&row.name);
            count += 1;
        }
        count
    };
    let at_start = burst(&mut limiter, 0);
    let later = burst(&mut limiter, 10_000);
    let dropped = limiter.drop_idle(20_000);
    let idle = burst(&mut limiter, 20_000);
    assert_eq!(limiter.drop_idle(40_000), 1);
    limiter.members_changed(40_000, |_| Some(LimitShare::WHOLE));
    let moved = burst(&mut limiter, 40_000);
    insta::assert_debug_snapshot!((at_start, later, dropped, idle, moved));
}

#[test]
fn short_work_overtakes_long_prefills_and_classes_share_by_weight() {
    let mut queue = WorkQueue::default();
    let capacity = QueueCapacity::idle(4.0);
    queue
        .offer(item(1, WorkClass::Bulk, 3000.0, 60_000), &capacity, 0)
        .unwrap();
    queue
        .offer(item(2, WorkClass::Standard, 2000.0, 60_000), &capacity, 0)
        .unwrap();
    for ticket in 3..7 {
        queue
            .offer(
                item(ticket, WorkClass::Interactive, 50.0, 900),
                &capacity,
                0,
            )
            .unwrap();
    }
    queue
        .offer(item(7, WorkClass::Critical, 50.0, 900), &capacity, 0)
        .unwrap();
    let mut order = Vec::new();
    for long in [false, false, true, true, true, true, true, true] {
        let taken = queue.take(QueueRoom::same(true, long));
        order.extend(taken.map(|item| item.ticket.0));
    }
    insta::assert_debug_snapshot!(order);
}

#[test]
fn a_straggler_gets_no_new_work_before_it_answers_and_recovers_by_probes() {
    let mut rng = Pcg32::seed_from_u64(7);
    let mut balancer = RunnerBalancer::new(RunnerSettings::default());
    let slow = balancer.join();
    balancer.join();
    let query = RunnerQuery {
        pieces: &[],
        prompt_tokens: 1_000,
        class: WorkClass::Interactive,
        may_probe: true,
        avoid: &[],
    };
    let avoid_fast = RunnerQuery {
        avoid: &[berylmount_policy::RunnerId(1)],
        ..query
    };
    let choice = balancer.choose(&avoid_fast, 0, &mut rng).unwrap();
    balancer.start(WorkTicket(0), &choice, &query, 0);
    balancer.report(
        slow,
        &RunnerReport {
            at_ms: 0,
            waiting_tokens: 0,
            running: 0,
        },
    );
    let mut seen = vec![(
        "overdue",
        balancer.choose(&query, 400, &mut rng).unwrap().runner.0,
    )];
    balancer.first_token(slow, WorkTicket(0), 900);
    balancer.finish(slow, WorkTicket(0), 1_000);
    let probe = balancer.choose(&query, 5_000, &mut rng).unwrap();
    seen.push(("probe", probe.runner.0));
    balancer.start(WorkTicket(1), &probe, &query, 5_000);
    balancer.first_token(slow, WorkTicket(1), 5_100);
    balancer.finish(slow, WorkTicket(1), 5_200);
    seen.push((
        "slowness in tenths",
        (balancer.slowness(slow, 5_200) * 10.0) as u32,
    ));
    insta::assert_debug_snapshot!(seen);
}

#[test]
fn a_stale_report_does_not_exclude_a_runner_forever() {
    let mut rng = Pcg32::seed_from_u64(7);
    let mut balancer = RunnerBalancer::new(RunnerSettings::default());
    let runner = balancer.join();
    let report = RunnerReport {
        at_ms: 0,
        waiting_tokens: 900_000,
        running: 3,
    };
    balancer.report(runner, &report);
    let query = RunnerQuery {
        pieces: &[],
        prompt_tokens: 1_000,
        class: WorkClass::Interactive,
        may_probe: true,
        avoid: &[],
    };
    assert_eq!(balancer.choose(&query, 5_000, &mut rng), None);
    assert!(balancer.choose(&query, 15_000, &mut rng).is_some());
}

#[test]
fn an_overdue_prompt_is_demoted_and_then_evicted() {
    let quota = StoreQuota {
        name: "keep-a".to_owned(),
        memory_bytes: 100,
        disk_bytes: 100,
    };
    let mut planner = RetentionPlanner::new(vec![quota], 100);
    let mut seen = Vec::new();
    for now_ms in [0, 10, 20, 30] {
        planner.plan_retention(1, 60, now_ms);
    }
    for prompt in [2, 3] {
        let plan = planner.plan_retention(prompt, 60, 90_000);
        seen.push((plan.place.map(|place| place.tier), plan.moves));
    }
    insta::assert_debug_snapshot!(seen);
}

#[test]
fn callers_refused_together_retry_at_different_times() {
    let mut rng = Pcg32::seed_from_u64(7);
    let mut pacer = RetryPacer::default();
    let mut seconds = [0; 40];
    for _ in 0..400 {
        let delay_ms = pacer.next_retry_after(1_000, 20.0, 0, &mut rng);
        seconds[delay_ms as usize / 1000] += 1;
    }
    assert!(seconds.iter().all(|&count| count <= 25));
    insta::assert_debug_snapshot!(seconds.map(|count| count.to_string()).join(" "));
}

#[test]
fn a_prompt_leaves_its_home_when_the_wait_costs_more() {
    let mut rng = Pcg32::seed_from_u64(7);
    let mut balancer = GroupBalancer::default();
    let near = balancer.add_group("models/north/0", 1.0, 4);
    let far = balancer.add_group("models/south/0", 5.0, 4);
    let key = PieceKey::try_from("77".repeat(32)).unwrap();
    let query = GroupQuery {
        first_piece: Some(&key),
        home_saves_ms: 300.0,
        class: WorkClass::Interactive,
        avoid: &[],
    };
    let home = balancer.home(&key).unwrap();
    let mut seen = Vec::new();
    let mut choose = |balancer: &GroupBalancer, event, now_ms| {
        let choice = balancer.choose(&query, now_ms, &mut rng).unwrap();
        seen.push((event, choice.home, choice.expected_ms as u64));
    };
    choose(&balancer, "idle", 0);
    balancer.report(home, &[0.0, 250.0, 0.0, 0.0], 0);
    choose(&balancer, "home waits 250 ms", 0);
    balancer.note_sent(home, WorkClass::Standard, 400.0, 10);
    choose(&balancer, "standard work was sent to it", 10);
    balancer.note_sent(home, WorkClass::Critical, 400.0, 10);
    choose(&balancer, "critical work was sent to it", 10);
    choose(&balancer, "the report is old", 400);
    balancer.note_failure(home, 400);
    choose(&balancer, "a call to it failed", 400);
    choose(&balancer, "the failure is long ago", 9_400);
    balancer.set_reachable(home, false);
    choose(&balancer, "it has no owner", 9_400);
    assert!(home == near || home == far);
    insta::assert_debug_snapshot!(seen);
}

#[test]
fn a_fetch_plan_counts_the_bytes_pending_on_the_link() {
    let mut links = LinkTracker::default();
    let link = links.add_link(1_000_000);
    let mut seen = vec![("idle", links.plan(link, 100_000, 400.0, 0))];
    links.begin(link, 1, 300_000, 0);
    seen.push(("300 kB pending", links.plan(link, 100_000, 400.0, 0)));
    seen.push(("most has arrived", links.plan(link, 100_000, 400.0, 250)));
    seen.push((
        "the fetch is overdue",
        links.plan(link, 100_000, 400.0, 2_500),
    ));
    links.finish(link, 1, false, 2_500);
    seen.push(("it failed", links.plan(link, 100_000, 400.0, 2_500)));
    for ticket in 2..40 {
        links.begin(link, ticket, 0, 2_500);
    }
    seen.push(("too many in flight", links.plan(link, 1, 400.0, 2_500)));
    insta::assert_debug_snapshot!(seen);
}

/// A balancer with one runner that was sent `tokens` of `class` at time zero.
fn busy_balancer(
    tokens: u32,
    class: WorkClass,
    pieces: &[PieceKey],
) -> (RunnerBalancer, RunnerChoice) {
    let mut rng = Pcg32::seed_from_u64(7);
    let mut balancer = RunnerBalancer::new(RunnerSettings::default());
    balancer.join();
    let query = RunnerQuery {
        pieces,
        ..RunnerQuery::new(tokens, class)
    };
    let choice = balancer.choose(&query, 0, &mut rng).unwrap();
    balancer.start(WorkTicket(0), &choice, &query, 0);
    (balancer, choice)
}

#[test]
fn own_work_in_a_late_report_is_not_attributed_to_others() {
    let waiting = |running, ended| {
        let (mut balancer, choice) = busy_balancer(4_000, WorkClass::Interactive, &[]);
        if ended {
            balancer.finish(choice.runner, WorkTicket(0), 400);
        }
        let report = RunnerReport {
            at_ms: 100,
            waiting_tokens: 9_000,
            running,
        };
        balancer.report(choice.runner, &report);
        balancer.capacity(400).in_flight_ms[0] as u64
    };
    let own = (waiting(1, false), waiting(1, true));
    let others = (waiting(3, false), waiting(3, true));
    insta::assert_debug_snapshot!((own, others));
}

#[test]
fn interactive_work_waits_for_standard_work_in_the_engine() {
    let (balancer, _) = busy_balancer(4_000, WorkClass::Standard, &[]);
    let room = balancer.room(0).short;
    assert_eq!(room, [true, false, false, false]);
}

#[test]
fn a_prompt_waits_for_its_prefill_in_flight() {
    let mut rng = Pcg32::seed_from_u64(7);
    let key = |n: u8| PieceKey::try_from(format!("{n:02x}").repeat(32)).unwrap();
    let pieces: Vec<_> = (0..20).map(key).collect();
    let (mut balancer, first) = busy_balancer(20_480, WorkClass::Bulk, &pieces);
    balancer.join();
    let query = RunnerQuery {
        pieces: &pieces,
        ..RunnerQuery::new(20_680, WorkClass::Bulk)
    };
    let choice = balancer.choose(&query, 300, &mut rng).unwrap();
    assert_eq!(
        (choice.runner, choice.cached_tokens),
        (first.runner, 20_480)
    );
}

#[test]
fn interactive_work_probes_a_straggler_later_than_standard_work() {
    let mut rng = Pcg32::seed_from_u64(7);
    let (mut balancer, slow) = busy_balancer(1_000, WorkClass::Standard, &[]);
    balancer.join();
    balancer.first_token(slow.runner, WorkTicket(0), 2_000);
    balancer.finish(slow.runner, WorkTicket(0), 2_000);
    let mut probes = |class, now_ms| {
        let query = RunnerQuery {
            may_probe: true,
            ..RunnerQuery::new(1_000, class)
        };
        let mut balancer = balancer.clone();
        balancer.choose(&query, now_ms, &mut rng).unwrap().probe
    };
    assert!(probes(WorkClass::Standard, 2_100) && probes(WorkClass::Interactive, 6_000));
    assert!(!probes(WorkClass::Interactive, 2_100) && !probes(WorkClass::Critical, 60_000));
}

#[test]
fn work_that_can_no_longer_be_in_time_is_refused_before_it_is_due() {
    let mut queue = WorkQueue::default();
    queue.restore(item(1, WorkClass::Interactive, 300.0, 1_000));
    let mut out = Vec::new();
    queue.expire(699, &mut out);
    assert!(out.is_empty());
    queue.expire(700, &mut out);
    assert_eq!(out.len(), 1);
}

#[test]
fn a_runner_faster_than_expected_does_not_make_others_stragglers() {
    let mut rng = Pcg32::seed_from_u64(7);
    let (mut balancer, fast) = busy_balancer(9_000, WorkClass::Standard, &[]);
    for ticket in 0..9 {
        let query = RunnerQuery::new(9_000, WorkClass::Standard);
        balancer.first_token(fast.runner, WorkTicket(ticket), 20);
        balancer.finish(fast.runner, WorkTicket(ticket), 20);
        balancer.start(WorkTicket(ticket + 1), &fast, &query, 0);
    }
    balancer.finish(fast.runner, WorkTicket(9), 20);
    let usual = balancer.join();
    let query = RunnerQuery {
        may_probe: true,
        avoid: &[fast.runner],
        ..RunnerQuery::new(1_000, WorkClass::Standard)
    };
    let choice = balancer.choose(&query, 9_000, &mut rng).unwrap();
    balancer.start(WorkTicket(20), &choice, &query, 9_000);
    balancer.first_token(usual, WorkTicket(20), 9_140);
    balancer.finish(usual, WorkTicket(20), 9_140);
    assert!(!balancer.choose(&query, 20_000, &mut rng).unwrap().probe);
}
