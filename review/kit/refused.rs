//! REFUSED: a runner fails part of its requests with 503 after it has run them.

use crate::world::{config, Call, Tenant, Verdict, World, PLAIN};
use std::{thread, time::Duration};

const KEY: &str = "jnbanfqasnmgkcuyj8pj";
/// One of seven runners fails (share 0.14) 0.45 of its requests.
const RUNNERS: u8 = 7;
const FAILING: f64 = 0.45;

pub fn play(mut world: World, has_trouble: bool) -> Result<Verdict, Verdict> {
    let tenant = [Tenant { name: "bozi300", keys: &[KEY], is_isolated: false }];
    world.put_config(&config(3, &[], &tenant));
    world.start_engines(PLAIN, RUNNERS, &[])?;
    world.start_gateways(2)?;
    if has_trouble {
        world.engines[0].fail_late(FAILING);
    }
    let (mut refused, mut twice) = (Vec::new(), 0);
    for number in 0..300usize {
        let gateway = &world.gateways[number % world.gateways.len()];
        let call = Call { method: "POST", path: "/order/2f", key: KEY, deadline_ms: 1500, headers: Vec::new() };
        let (id, answer) = world.request(gateway, &call)?;
        if [408, 421, 429, 503].contains(&answer.status) {
            refused.push(id.clone());
            // The consumer retries after a promise, with a new id.
            thread::sleep(Duration::from_millis(100));
            let (_, again) = world.request(gateway, &call)?;
            if again.status == 200 && has_run(&world, &id) {
                twice += 1;
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    world.check_alive()?;
    let broken: Vec<&String> = refused.iter().filter(|id| has_run(&world, id)).collect();
    world.record.note(&format!(
        "{} requests refused; {} of them have run: {broken:?}; {twice} orders were carried out twice by the consumer's retry",
        refused.len(), broken.len()
    ));
    Ok(if broken.is_empty() { Verdict::Held } else { Verdict::Broken })
}

fn has_run(world: &World, id: &str) -> bool {
    world.engines.iter().any(|engine| engine.runs.lock().unwrap().iter().any(|run| run == id))
}
