//! VERSION: runners that serve two models. New weights of one model are named, then of the other.

use crate::world::{config, prompt, Call, Tenant, Verdict, World, ENGINES};
use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

const FIRST: &str = "daka510000";
const SECOND: &str = "lomi220000";
const KEY: &str = "jnbanfqasnmgkcuyj8pj";
/// More than `VersionConvergeMs` (21 s) and 1.5 x `VersionApplyMs` (22.5 s).
const CONVERGE: Duration = Duration::from_millis(24_000);

pub fn play(mut world: World, has_trouble: bool) -> Result<Verdict, Verdict> {
    let tenant = [Tenant { name: "bozi300", keys: &[KEY], is_isolated: false }];
    world.put_config(&config(3, &[FIRST, SECOND], &tenant));
    world.name_weights(FIRST, 1);
    world.name_weights(SECOND, 1);
    world.start_engines(ENGINES, 3, &[(FIRST, 1), (SECOND, 1)])?;
    world.start_gateways(2)?;
    let world = &world;
    let is_over = AtomicBool::new(false);
    let served = thread::scope(|scope| {
        let traffic = |model: &'static str| {
            let is_over = &is_over;
            scope.spawn(move || {
                let (mut served, mut sent, mut number) = (0, 0, 0);
                while !is_over.load(Ordering::Relaxed) {
                    for gateway in &world.gateways {
                        number += 1;
                        let own = format!("{:08x}", number);
                        let parts = [("5c1e07a2", 200), (own.as_str(), 50)];
                        let headers = prompt(model, &parts);
                        let call = Call { method: "POST", path: "/gen/2f", key: KEY, deadline_ms: 3000, headers };
                        let answer = world.request(gateway, &call);
                        sent += 1;
                        served += u32::from(answer.is_ok_and(|(_, answer)| answer.status == 200));
                        thread::sleep(Duration::from_millis(100));
                    }
                }
                (model, served, sent)
            })
        };
        let clients = [traffic(FIRST), traffic(SECOND)];
        thread::sleep(Duration::from_secs(3));
        if has_trouble {
            world.name_weights(FIRST, 2);
        }
        // All runners have the first model's new weights long before the second's are named.
        thread::sleep(Duration::from_secs(12));
        let named = world.name_weights(SECOND, 2);
        while named.elapsed() < CONVERGE {
            thread::sleep(Duration::from_millis(100));
        }
        for engine in &world.engines {
            world.record.note(&format!(
                "{:.1} s after the ack of version 2 of {SECOND}: runner {} has {FIRST} {} and {SECOND} {}; {} orders accepted",
                named.elapsed().as_secs_f64(), engine.id, engine.version(FIRST), engine.version(SECOND), engine.orders()
            ));
        }
        is_over.store(true, Ordering::Relaxed);
        clients.map(|client| client.join().unwrap_or(("", 0, 0)))
    });
    for (model, served, sent) in served {
        world.record.note(&format!("{model}: {served} of {sent} requests served"));
    }
    world.note_logs(&["weights"]);
    world.check_alive()?;
    let old = world.engines.iter().filter(|engine| engine.version(SECOND) < 2).count();
    world.record.note(&format!("{old} of {} runners still have an older version of {SECOND}", world.engines.len()));
    // The rule: more than one runner and over a tenth of them.
    Ok(match old > 1 && old * 10 > world.engines.len() {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
