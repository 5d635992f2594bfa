//! UNASKED: a runner answers a stream before it has read a long body, and reads on later.

use crate::{
    json::Json,
    record::Record,
    world::{config, prompt, Call, Tenant, Verdict, World, ENGINES},
};
use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

const MODEL: &str = "daka510000";
const KEY: &str = "jnbanfqasnmgkcuyj8pj";
/// Size of a body; the config allows 4,194,304 bytes.
const BODY_BYTES: usize = 2_000_000;
/// One of this many requests with a long body is answered early; `x` of `garble` is 0.02.
const EARLY_EVERY: usize = 50;
/// Number of requests before the early answer whose connections are closed.
const CLOSED: usize = 2;
/// Bytes of a body that are read before the early answer.
const READ_FIRST: usize = 16 * 1024;
/// Receive buffer of the runner, in bytes. Links have small windows (DEPLOY.md, Network).
const WINDOW_BYTES: i32 = 64 * 1024;
/// Segment size of an Ethernet link; that of the loopback link lets the sender buffer megabytes.
const SEGMENT_BYTES: i32 = 1460;
/// Time after which the runner reads on.
const READ_LATER: Duration = Duration::from_millis(500);

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Sets the receive buffer and the segment size of a listener, which its connections inherit.
fn set_window(listener: &TcpListener) -> io::Result<()> {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    for (level, name, value) in [(SOL_SOCKET, SO_RCVBUF, WINDOW_BYTES), (IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES)] {
        // SAFETY: the value outlives the call, and its length is that of an i32.
        let result = unsafe { setsockopt(listener.as_raw_fd(), level, name, &value, 4) };
        if result != 0 {
            return Err(io::Error::last_os_error());
        }
    }
    Ok(())
}

/// What a runner saw.
#[derive(Clone, Default)]
struct Seen {
    /// Requests with a long body.
    long: Arc<Mutex<usize>>,
    /// Descriptions of bodies that are not what was sent.
    wrong: Arc<Mutex<Vec<String>>>,
}

/// A runner that reads bodies by itself.
struct LongRunner {
    id: String,
    early: bool,
    seen: Seen,
    record: Record,
}

impl LongRunner {
    fn serve(self, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        set_window(&listener)?;
        let runner = Arc::new(self);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let runner = runner.clone();
                thread::spawn(move || {
                    let _ = socket.set_nodelay(true);
                    let result = runner.serve_connection(socket);
                    if let Err(error) = result {
                        runner.record.note(&format!("runner {}: the connection ends: {error}", runner.id));
                    }
                });
            }
        });
        Ok(())
    }

    fn serve_connection(&self, mut socket: TcpStream) -> io::Result<()> {
        let mut pending = Vec::new();
        loop {
            let Some(head) = read_head(&mut socket, &mut pending)? else {
                return Ok(());
            };
            let field = |name: &str| {
                let mut lines = head.split("\r\n").filter_map(|line| line.split_once(':'));
                lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim().to_owned())
            };
            let Some(id) = field("berylmount-request-id") else {
                return Err(io::Error::other(format!("no request id in {:?}", &head[..head.len().min(80)])));
            };
            if field("berylmount-expect-instance").is_some_and(|expected| expected != self.id) {
                socket.write_all(b"HTTP/1.1 421 Misdirected Request\r\nBerylmount-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            let length: usize = field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            let number = {
                let mut long = self.seen.long.lock().unwrap();
                *long += 1;
                *long % EARLY_EVERY
            };
            let is_early = self.early && number == 0;
            // `Connection: close` appears occasionally. Here before the early answer, because a
            // connection that has carried much has larger buffers.
            let closes = number + CLOSED >= EARLY_EVERY;
            let mut body = BodyCheck { id: id.clone(), at: 0, letter: None, is_reported: false };
            if is_early {
                self.read_body(&mut socket, &mut pending, &mut body, READ_FIRST.min(length))?;
                self.record.note(&format!("runner {}: answers {id} after {} of {length} bytes of its body", self.id, body.at));
                self.answer(&mut socket, &id, false)?;
                thread::sleep(READ_LATER);
                self.record.note(&format!("runner {}: reads on, for the rest of the body of {id}", self.id));
            }
            let rest = length - body.at;
            self.read_body(&mut socket, &mut pending, &mut body, rest)?;
            if !is_early {
                self.answer(&mut socket, &id, closes)?;
            }
            if closes {
                return Ok(());
            }
        }
    }

    fn answer(&self, socket: &mut TcpStream, id: &str, closes: bool) -> io::Result<()> {
        let connection = if closes { "Connection: close\r\n" } else { "" };
        let mut text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBerylmount-Request-Id: {id}\r\n\
             Berylmount-Response-Stamp: {}.{id}\r\nBerylmount-Weight-Versions: 1\r\n{connection}\
             Transfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        for event in 1..=3 {
            let data = format!("id: {event}\ndata: token {event} of {id}\n\n");
            text += &format!("{:x}\r\n{data}\r\n", data.len());
        }
        text += "0\r\n\r\n";
        socket.write_all(text.as_bytes())
    }

    /// Reads bytes of a body and checks that they are all the same letter.
    fn read_body(&self, socket: &mut TcpStream, pending: &mut Vec<u8>, body: &mut BodyCheck, count: usize) -> io::Result<()> {
        let end = body.at + count;
        while body.at < end {
            if pending.is_empty() {
                let mut bytes = vec![0; 64 * 1024];
                let count = socket.read(&mut bytes)?;
                if count == 0 {
                    return Err(io::Error::other(format!("closed after {} bytes of the body of {}", body.at, body.id)));
                }
                pending.extend_from_slice(&bytes[..count]);
            }
            let taken = pending.len().min(end - body.at);
            let bytes: Vec<u8> = pending.drain(..taken).collect();
            let letter = *body.letter.get_or_insert(bytes[0]);
            if let Some(index) = bytes.iter().position(|byte| *byte != letter).filter(|_| !body.is_reported) {
                body.is_reported = true;
                let found = String::from_utf8_lossy(&bytes[index..bytes.len().min(index + 120)]).into_owned();
                let text = format!("runner {}: at byte {} of the body of {} come other bytes: {found:?}", self.id, body.at + index, body.id);
                self.record.note(&text);
                self.seen.wrong.lock().unwrap().push(text);
            }
            body.at += taken;
        }
        Ok(())
    }
}

/// The position in a body that consists of one letter.
struct BodyCheck {
    id: String,
    at: usize,
    letter: Option<u8>,
    is_reported: bool,
}

fn read_head(socket: &mut TcpStream, pending: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        if let Some(end) = pending.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&pending[..end]).into_owned();
            pending.drain(..end + 4);
            return Ok(Some(head));
        }
        let mut bytes = vec![0; 16 * 1024];
        let count = socket.read(&mut bytes)?;
        if count == 0 {
            return Ok(None);
        }
        pending.extend_from_slice(&bytes[..count]);
    }
}

pub fn play(mut world: World, has_trouble: bool) -> Result<Verdict, Verdict> {
    let tenant = [Tenant { name: "bozi300", keys: &[KEY], is_isolated: false }];
    world.put_config(&config(3, &[MODEL], &tenant));
    world.name_weights(MODEL, 1);
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let mut seen = Vec::new();
    for number in 0..2 {
        let (id, address) = (format!("i-long{number}"), world.net.at(100 + number, 8080));
        let runner = LongRunner { id: id.clone(), early: has_trouble && number == 0, seen: Seen::default(), record: world.record.clone() };
        seen.push(runner.seen.clone());
        runner.serve(address)?;
        let (store, mut beats) = (world.store.clone(), 0u64);
        thread::spawn(move || loop {
            beats += 1;
            let models: Vec<Json> = vec![map! {"Name": MODEL, "Version": 1u64, "Adapters": Vec::new()}];
            let entry = map! {
                "Service": ENGINES, "Address": address.to_string(), "Zone": "ridge-north", "Version": "v1",
                "Slots": 128u64, "State": "ready", "ColdRemainingMs": 0u64, "Stage": "colocated",
                "Models": models, "Sequence": beats, "born": born,
            };
            store.put("servers", &id, Some(entry));
            thread::sleep(Duration::from_millis(1200));
        });
    }
    world.start_gateways(2)?;
    let mut unanswered = 0;
    for number in 0..160usize {
        let gateway = &world.gateways[number % world.gateways.len()];
        let own = format!("{:08x}", number + 1);
        let headers = prompt(MODEL, &[("5c1e07a2", 800), (own.as_str(), 50)]);
        let letter = b'a' + (number % 26) as u8;
        let call = Call { method: "POST", path: "/gen/2f", key: KEY, deadline_ms: 4000, headers };
        let body = vec![letter; BODY_BYTES];
        match world.request_with(gateway, &call, &body) {
            Ok((_, answer)) if answer.status == 200 => {}
            _ => unanswered += 1,
        }
        if seen.iter().any(|seen| !seen.wrong.lock().unwrap().is_empty()) {
            thread::sleep(Duration::from_millis(500));
            break;
        }
    }
    world.check_alive()?;
    let wrong: usize = seen.iter().map(|seen| seen.wrong.lock().unwrap().len()).sum();
    let long: Vec<usize> = seen.iter().map(|seen| *seen.long.lock().unwrap()).collect();
    world.record.note(&format!("long requests at the runners: {long:?}; {unanswered} without success; {wrong} bodies with other bytes"));
    Ok(if wrong > 0 { Verdict::Broken } else { Verdict::Held })
}
