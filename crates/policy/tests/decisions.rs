//! Snapshots of single decisions.

use berylmount_model::{CustomerName, CustomerRow, InstanceName, WorkClass, WorkName};
use berylmount_policy::{
    assignment::{rank_members, split_groups, GROUP_RUNNERS},
    LimitBook, LimitShare, MemberWeight, QueueCapacity, QueueRoom, RunnerBoard, RunnerQuery,
    RunnerReport, RunnerSettings, WorkItem, WorkQueue, WorkTicket,
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
fn a_leaving_member_moves_only_what_it_held() {
    let names: Vec<String> = (0..7).map(|n| format!("entry-{n}")).collect();
    let members: Vec<_> = names.iter().map(|n| MemberWeight::equal(n)).collect();
    let owner = |key: u32, members: &[MemberWeight]| {
        let place = rank_members(&key.to_le_bytes(), members, 1)[0];
        members[place].name.to_owned()
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
    let most = |split: &[u32]| {
        (0..20)
            .map(|g| split.iter().filter(|&&s| s == g).count())
            .max()
    };
    assert!(most(&all) <= Some(GROUP_RUNNERS) && most(&fewer) <= Some(GROUP_RUNNERS));
    let moved = all[1..].iter().zip(&fewer).filter(|(a, b)| a != b).count();
    insta::assert_snapshot!(moved);
}

#[test]
fn a_new_owner_starts_cautiously_and_an_idle_customer_loses_nothing() {
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
    let mut book = LimitBook::new(0);
    let burst = |book: &mut LimitBook, now_ms| {
        let mut count = 0;
        while book
            .admit(&row, &work, None, LimitShare::WHOLE, now_ms)
            .is_ok()
        {
            book.finish(&row.name);
            count += 1;
        }
        count
    };
    let at_start = burst(&mut book, 0);
    let later = burst(&mut book, 10_000);
    let dropped = book.drop_idle(20_000);
    let idle = burst(&mut book, 20_000);
    assert_eq!(book.drop_idle(40_000), 1);
    book.members_changed(40_000, |_| Some(LimitShare::WHOLE));
    let moved = burst(&mut book, 40_000);
    insta::assert_debug_snapshot!((at_start, later, dropped, idle, moved));
}

#[test]
fn short_work_passes_a_long_prefill_and_classes_share() {
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
fn a_straggler_loses_new_work_before_it_answers_and_is_probed_back() {
    let mut rng = Pcg32::seed_from_u64(7);
    let mut board = RunnerBoard::new(RunnerSettings::default());
    let slow = board.join();
    board.join();
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
    let choice = board.choose(&avoid_fast, 0, &mut rng).unwrap();
    board.start(WorkTicket(0), &choice, &query, 0);
    board.report(
        slow,
        &RunnerReport {
            at_ms: 0,
            waiting_tokens: 0,
            running: 0,
        },
    );
    let mut seen = vec![(
        "overdue",
        board.choose(&query, 400, &mut rng).unwrap().runner.0,
    )];
    board.first_token(slow, WorkTicket(0), 900);
    board.finish(slow, WorkTicket(0), 1_000);
    let probe = board.choose(&query, 5_000, &mut rng).unwrap();
    seen.push(("probe", probe.runner.0));
    board.start(WorkTicket(1), &probe, &query, 5_000);
    board.first_token(slow, WorkTicket(1), 5_100);
    board.finish(slow, WorkTicket(1), 5_200);
    seen.push((
        "slowness in tenths",
        (board.slowness(slow, 5_200) * 10.0) as u32,
    ));
    insta::assert_debug_snapshot!(seen);
}

#[test]
fn a_report_that_is_never_renewed_does_not_shut_a_runner_out() {
    let mut rng = Pcg32::seed_from_u64(7);
    let mut board = RunnerBoard::new(RunnerSettings::default());
    let runner = board.join();
    let report = RunnerReport {
        at_ms: 0,
        waiting_tokens: 900_000,
        running: 3,
    };
    board.report(runner, &report);
    let query = RunnerQuery {
        pieces: &[],
        prompt_tokens: 1_000,
        class: WorkClass::Interactive,
        may_probe: true,
        avoid: &[],
    };
    assert_eq!(board.choose(&query, 5_000, &mut rng), None);
    assert!(board.choose(&query, 15_000, &mut rng).is_some());
}
