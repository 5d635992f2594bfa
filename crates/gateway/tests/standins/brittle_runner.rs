//! Runners with slots and a queue that fall over when they reject too many requests.

use super::{
    runner::{response_to, scripted_runner},
    AfterResponse, StandinRunner,
};
use std::{
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Time that a runner takes for a request.
const RUN_TIME: Duration = Duration::from_millis(30);
/// Time for which a runner that fell over is away.
const DOWN_TIME: Duration = Duration::from_millis(1500);
/// Time for which a rejection counts.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);
/// Requests that wait while the runner does not bind.
const CALM_QUEUE: usize = 20;

/// What callers and instances have done to a runner.
#[derive(Clone, Debug, Default)]
pub(crate) struct BrittleCount {
    pub(crate) served: usize,
    pub(crate) rejected: usize,
    pub(crate) falls: usize,
}

#[derive(Debug, Default)]
struct RunnerState {
    /// Rejections per second that it states to bear.
    bears: Option<usize>,
    /// Whether it lets no request wait, and falls over.
    is_binding: bool,
    running: usize,
    waiting: usize,
    rejections: Vec<Instant>,
    /// Number of falls; requests of an earlier life are lost.
    life: usize,
    down_until: Option<Instant>,
    count: BrittleCount,
}

/// A runner that is brittle from when it states so.
#[derive(Clone)]
pub(crate) struct BrittleRunner {
    pub(crate) runner: StandinRunner,
    state: Arc<Mutex<RunnerState>>,
}

impl BrittleRunner {
    /// Starts a runner with `slots` that is not brittle. It states its load if `tells_load`.
    pub(crate) fn start(slots: usize, tells_load: bool) -> Self {
        let state: Arc<Mutex<RunnerState>> = Arc::default();
        let (shared, freed) = (state.clone(), Condvar::new());
        let runner = scripted_runner(move |request| {
            let Some(is_served) = serve(&shared, &freed, slots) else {
                return (Vec::new(), AfterResponse::Close);
            };
            let state = shared.lock().unwrap();
            let mut extra = String::new();
            if let Some(bears) = state.bears {
                extra += &format!("Server-Brittle: {bears}\r\n");
            }
            if tells_load {
                let (running, waiting) = (state.running, state.waiting);
                extra += &format!("berylmount-instance-load: {running},{waiting},{slots}\r\n");
            }
            let status = match is_served {
                true => "200 OK",
                false => "503 Full",
            };
            if !is_served {
                extra += "berylmount-not-executed: 1\r\n";
            }
            let response = String::from_utf8(response_to(request, status, "fine")).unwrap();
            let (head, body) = response.split_once("\r\n").unwrap();
            let response = format!("{head}\r\n{extra}{body}");
            (response.into_bytes(), AfterResponse::Keep)
        });
        Self { runner, state }
    }

    /// States how many rejections per second the runner bears.
    pub(crate) fn state_brittle(&self, bears: Option<usize>) {
        let mut state = self.state.lock().unwrap();
        state.bears = bears;
        state.is_binding = false;
    }

    /// Lets no further request wait.
    pub(crate) fn bind(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_binding = true;
        state.count = BrittleCount::default();
        state.rejections.clear();
    }

    /// Returns the number of requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.state.lock().unwrap().waiting
    }

    /// Returns what has happened since the runner binds.
    pub(crate) fn count(&self) -> BrittleCount {
        self.state.lock().unwrap().count.clone()
    }
}

/// Serves one request; returns whether it was served, or `None` if its connection breaks.
fn serve(shared: &Mutex<RunnerState>, freed: &Condvar, slots: usize) -> Option<bool> {
    let mut state = shared.lock().unwrap();
    let now = Instant::now();
    if state.down_until.is_some_and(|until| now < until) {
        return None;
    }
    let life = state.life;
    let most_waiting = if state.is_binding { 0 } else { CALM_QUEUE };
    if state.running >= slots && state.waiting >= most_waiting {
        state.count.rejected += 1;
        state.rejections.push(now);
        state.rejections.retain(|at| *at + REJECTION_WINDOW > now);
        let bears = state.bears.filter(|_| state.is_binding);
        if bears.is_some_and(|bears| state.rejections.len() > bears) {
            state.count.falls += 1;
            state.life += 1;
            state.down_until = Some(now + DOWN_TIME);
            (state.running, state.waiting) = (0, 0);
            state.rejections.clear();
            return None;
        }
        return Some(false);
    }
    state.waiting += 1;
    while state.running >= slots && state.life == life {
        state = freed.wait_timeout(state, RUN_TIME).unwrap().0;
    }
    if state.life != life {
        return None;
    }
    state.waiting -= 1;
    state.running += 1;
    drop(state);
    thread::sleep(RUN_TIME);
    let mut state = shared.lock().unwrap();
    if state.life != life {
        return None;
    }
    state.running -= 1;
    state.count.served += 1;
    freed.notify_one();
    Some(true)
}
