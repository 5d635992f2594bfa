//! WALL: a tenant becomes isolated by a change of the config.

use crate::world::{config, prompt, Call, Tenant, Verdict, World, ENGINES};
use std::{thread, time::Duration};

const MODEL: &str = "daka510000";
const FIRST: (&str, &str) = ("bozi300", "jnbanfqasnmgkcuyj8pj");
const SECOND: (&str, &str) = ("lema210", "bvk9m68k7b2ex5wa5xwy");

pub fn play(mut world: World, has_trouble: bool) -> Result<Verdict, Verdict> {
    let tenants = |is_isolated| {
        [
            Tenant { name: FIRST.0, keys: &[FIRST.1], is_isolated },
            Tenant { name: SECOND.0, keys: &[SECOND.1], is_isolated: false },
        ]
    };
    world.put_config(&config(3, &[MODEL], &tenants(false)));
    world.name_weights(MODEL, 1);
    world.start_engines(ENGINES, 2, &[(MODEL, 1)])?;
    world.start_gateways(2)?;
    let ask = |key, count: u32| -> Result<Vec<String>, Verdict> {
        let mut ids = Vec::new();
        for number in 0..count {
            for gateway in &world.gateways {
                let own = world.new_id();
                let parts = [("5c1e07a2", 800), ("91bd3f06", 410), (own.as_str(), 50)];
                let headers = prompt(MODEL, &parts);
                let call = Call { method: "POST", path: "/gen/2f", key, deadline_ms: 3000, headers };
                let (id, answer) = world.request(gateway, &call)?;
                if answer.status != 200 {
                    return Err(Verdict::NotRun(format!("request {number} is answered {}", answer.status)));
                }
                ids.push(id);
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(ids)
    };
    ask(FIRST.1, 10)?;
    if has_trouble {
        world.put_config(&config(4, &[MODEL], &tenants(true)));
    }
    // ConfigApplyMs and a second.
    thread::sleep(Duration::from_millis(3000));
    let late = ask(SECOND.1, 10)?;
    world.check_alive()?;
    let mut foreign = 0;
    for engine in &world.engines {
        let uses = engine.uses.lock().unwrap();
        let of_others = uses.iter().filter(|used| late.contains(&used.request) && used.maker != used.tenant);
        foreign += of_others.count();
    }
    world.record.note(&format!(
        "{foreign} uses of parts that requests of tenant {} made, in {} requests of tenant {}; {} is isolated: {has_trouble}",
        FIRST.0, late.len(), SECOND.0, FIRST.0
    ));
    Ok(if has_trouble && foreign > 0 { Verdict::Broken } else { Verdict::Held })
}
