//! MIXED: a consumer whose key is taken away sends HEAD on a kept connection.

use crate::world::{config, Call, Tenant, Verdict, World, PLAIN};
use std::{io::Read, thread, time::Duration};

const LOST_KEY: &str = "jnbanfqasnmgkcuyj8pj";
const KEPT_KEY: &str = "bvk9m68k7b2ex5wa5xwy";

pub fn play(mut world: World, has_trouble: bool) -> Result<Verdict, Verdict> {
    let tenants = |keys| [Tenant { name: "bozi300", keys, is_isolated: false }];
    world.put_config(&config(3, &[], &tenants(&[LOST_KEY, KEPT_KEY])));
    world.start_engines(PLAIN, 3, &[])?;
    world.start_gateways(2)?;
    let call = |method, key| Call { method, path: "/plain/2f", key, deadline_ms: 1500, headers: Vec::new() };
    let mut conns = Vec::new();
    for gateway in &world.gateways {
        let mut conn = world.connect(gateway, &call("GET", LOST_KEY))?;
        for method in ["GET", "HEAD", "GET"] {
            let id = world.send(&mut conn, gateway, &call(method, LOST_KEY))?;
            let answer = conn.response(method)?;
            world.note_answer(&id, &answer);
            if answer.status != 200 {
                return Err(Verdict::NotRun("a request is not served before the disruption".into()));
            }
        }
        conns.push(conn);
    }
    if has_trouble {
        world.put_config(&config(4, &[], &tenants(&[KEPT_KEY])));
    }
    // ConfigApplyMs and a second.
    thread::sleep(Duration::from_millis(3000));
    let mut is_broken = false;
    for (gateway, mut conn) in world.gateways.iter().zip(conns) {
        let id = world.send(&mut conn, gateway, &call("HEAD", LOST_KEY))?;
        let answer = conn.response("HEAD")?;
        world.note_answer(&id, &answer);
        // Nothing may follow: the answer to HEAD ends with its head.
        conn.socket.set_read_timeout(Some(Duration::from_millis(300)))?;
        let mut bytes = [0; 256];
        if let Ok(count) = conn.socket.read(&mut bytes) {
            conn.pending.extend_from_slice(&bytes[..count]);
        }
        if !conn.pending.is_empty() {
            let text = String::from_utf8_lossy(&conn.pending).into_owned();
            world.record.note(&format!("{id}: bytes after the end of the answer, with no request waiting: {text:?}"));
        }
        conn.socket.set_read_timeout(Some(Duration::from_millis(1500)))?;
        let id = world.send(&mut conn, gateway, &call("GET", KEPT_KEY))?;
        let answer = conn.response("GET")?;
        world.note_answer(&id, &answer);
        if answer.protocol != "HTTP/1.1" {
            world.record.note(&format!("{id}: {:?} is no answer in the protocol", answer.start));
            is_broken = true;
        }
    }
    world.check_alive()?;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
