//! Updates of a runner balancer: load reports, and the start, first token and end of
//! requests.

use crate::{
    queue::WorkTicket,
    runner_query::{RunnerChoice, RunnerId, RunnerQuery, RunnerReport},
    runner_state::SentWork,
    runners::{RunnerBalancer, PROBE_INTERVAL_MS, STRAGGLER_RATIO},
};

/// Expected time to first token at which an observation has half weight, in
/// milliseconds.
const HALF_WEIGHT_MS: f64 = 40.0;

impl RunnerBalancer {
    /// Applies a load report. A report older than the last one is ignored.
    ///
    /// ```
    /// use berylmount_policy::{RunnerBalancer, RunnerReport, RunnerSettings};
    ///
    /// let mut balancer = RunnerBalancer::new(RunnerSettings::default());
    /// let runner = balancer.join();
    /// let report = RunnerReport { at_ms: 0, waiting_tokens: 20_000, running: 3 };
    /// balancer.report(runner, &report);
    /// assert!(!balancer.room(0).short[0]);
    /// ```
    pub fn report(&mut self, runner: RunnerId, report: &RunnerReport) {
        let settings = self.settings;
        let Some(state) = self.runners.get_mut(runner.0 as usize) else {
            return;
        };
        if report.at_ms < state.report_ms {
            return;
        }
        let (own, own_tokens) = state.own_at(report.at_ms);
        // Engines count whole prompts, whether cached or not. So whole prompts of this
        // process are subtracted, and nothing remains if there are no foreign
        // requests.
        state.foreign_running = report.running.saturating_sub(own);
        let others = report.waiting_tokens.saturating_sub(own_tokens);
        let tokens = if state.foreign_running == 0 {
            0
        } else {
            others
        };
        let tokens = tokens.min(u64::from(u32::MAX)) as u32;
        state.foreign_ms = settings.prefill_ms(tokens);
        state.report_ms = report.at_ms;
    }

    /// Counts a request that was sent to the runner of `choice`.
    ///
    /// The runner counts as holding the prompt's pieces from now on, so that a request
    /// with the same prompt waits for this prefill instead of repeating it elsewhere.
    ///
    /// ```
    /// use berylmount_model::WorkClass;
    /// use berylmount_policy::{RunnerBalancer, RunnerQuery, RunnerSettings, WorkTicket};
    /// use rand::SeedableRng;
    ///
    /// let mut rng = rand_pcg::Pcg32::seed_from_u64(1);
    /// let mut balancer = RunnerBalancer::new(RunnerSettings::default());
    /// let runner = balancer.join();
    /// let query = RunnerQuery::new(2_000, WorkClass::Interactive);
    /// let choice = balancer.choose(&query, 0, &mut rng).unwrap();
    /// balancer.start(WorkTicket(1), &choice, &query, 0);
    /// assert_eq!(balancer.in_flight(runner), 1);
    /// ```
    pub fn start(
        &mut self,
        ticket: WorkTicket,
        choice: &RunnerChoice,
        query: &RunnerQuery,
        now_ms: u64,
    ) {
        let class = query.class;
        self.prefixes.note_kept(choice.runner, query.pieces);
        let Some(state) = self.runners.get_mut(choice.runner.0 as usize) else {
            return;
        };
        if !state.in_flight.iter().any(SentWork::awaits_first_token) {
            state.head_since_ms = now_ms;
        }
        for work in state
            .in_flight
            .iter_mut()
            .filter(|work| work.awaits_first_token() && work.class > class)
        {
            work.healthy_ms += choice.prefill_ms;
        }
        state.in_flight.push(SentWork {
            ticket,
            class,
            prompt_tokens: query.prompt_tokens,
            prefill_ms: choice.prefill_ms,
            healthy_ms: choice.healthy_ms,
            sent_ms: now_ms,
            first_ms: None,
            probe: choice.probe,
        });
    }

    /// Records the first token of `ticket`, and updates the runner's slowness from its
    /// latency.
    ///
    /// ```
    /// use berylmount_model::WorkClass;
    /// use berylmount_policy::{RunnerBalancer, RunnerQuery, RunnerSettings, WorkTicket};
    /// use rand::SeedableRng;
    ///
    /// let mut rng = rand_pcg::Pcg32::seed_from_u64(1);
    /// let mut balancer = RunnerBalancer::new(RunnerSettings::default());
    /// let runner = balancer.join();
    /// let query = RunnerQuery::new(2_000, WorkClass::Interactive);
    /// let choice = balancer.choose(&query, 0, &mut rng).unwrap();
    /// balancer.start(WorkTicket(1), &choice, &query, 0);
    /// balancer.first_token(runner, WorkTicket(1), 1_000);
    /// assert!(balancer.slowness(runner, 1_000) > 2.0);
    /// ```
    pub fn first_token(&mut self, runner: RunnerId, ticket: WorkTicket, now_ms: u64) {
        let Some(state) = self.runners.get_mut(runner.0 as usize) else {
            return;
        };
        let Some(work) = state
            .in_flight
            .iter_mut()
            .find(|w| w.ticket == ticket && w.awaits_first_token())
        else {
            return;
        };
        work.first_ms = Some(now_ms);
        let (ratio, probe, healthy) = (work.ratio(now_ms), work.probe, work.healthy_ms);
        state.head_since_ms = now_ms;
        state.observe_ratio(ratio, probe, healthy / (healthy + HALF_WEIGHT_MS));
    }

    /// Records the end of `ticket`, whether it succeeded or not.
    ///
    /// ```
    /// use berylmount_model::WorkClass;
    /// use berylmount_policy::{RunnerBalancer, RunnerQuery, RunnerSettings, WorkTicket};
    /// use rand::SeedableRng;
    ///
    /// let mut rng = rand_pcg::Pcg32::seed_from_u64(1);
    /// let mut balancer = RunnerBalancer::new(RunnerSettings::default());
    /// let runner = balancer.join();
    /// let query = RunnerQuery::new(2_000, WorkClass::Interactive);
    /// let choice = balancer.choose(&query, 0, &mut rng).unwrap();
    /// balancer.start(WorkTicket(1), &choice, &query, 0);
    /// balancer.finish(runner, WorkTicket(1), 900);
    /// assert_eq!(balancer.in_flight(runner), 0);
    /// ```
    pub fn finish(&mut self, runner: RunnerId, ticket: WorkTicket, now_ms: u64) {
        let Some(state) = self.runners.get_mut(runner.0 as usize) else {
            return;
        };
        let Some(index) = state
            .in_flight
            .iter()
            .position(|work| work.ticket == ticket)
        else {
            return;
        };
        let work = state.in_flight.swap_remove(index);
        state.note_ended(work, now_ms);
        if work.awaits_first_token() {
            state.head_since_ms = now_ms;
        }
    }

    /// Records that `ticket` failed or timed out on `runner`.
    ///
    /// ```
    /// use berylmount_model::WorkClass;
    /// use berylmount_policy::{RunnerBalancer, RunnerQuery, RunnerSettings, WorkTicket};
    /// use rand::SeedableRng;
    ///
    /// let mut rng = rand_pcg::Pcg32::seed_from_u64(1);
    /// let mut balancer = RunnerBalancer::new(RunnerSettings::default());
    /// let runner = balancer.join();
    /// let query = RunnerQuery::new(2_000, WorkClass::Interactive);
    /// let choice = balancer.choose(&query, 0, &mut rng).unwrap();
    /// balancer.start(WorkTicket(1), &choice, &query, 0);
    /// balancer.fail(runner, WorkTicket(1), 900);
    /// assert!(balancer.slowness(runner, 900) > 1.0);
    /// ```
    pub fn fail(&mut self, runner: RunnerId, ticket: WorkTicket, now_ms: u64) {
        self.finish(runner, ticket, now_ms);
        if let Some(state) = self.runners.get_mut(runner.0 as usize) {
            state.observe_ratio(2.0 * STRAGGLER_RATIO, false, 1.0);
            state.next_probe_ms = now_ms + PROBE_INTERVAL_MS;
        }
    }
}
