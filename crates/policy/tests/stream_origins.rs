//! Untold streams of a fleet whose instances are lost, cut off and restarted during releases.

use berylmount_policy::software_versions::{
    AskedProcess, OriginSearch, UsedVersions, VersionHistory,
};
use proptest::{prelude::*, sample::Index};

const SERVICE: &str = "svc";
const VERSIONS: [&str; 4] = ["v1", "v2", "v3", "v4"];
const INSTANCES: usize = 4;
/// Time for which a stream can be taken up, in milliseconds.
const KEPT_MS: u64 = 1000;
/// Maximum time for which a view of the history is out of date, in milliseconds.
const STALE_MS: u64 = 300;

/// What happens next.
#[derive(Clone, Debug)]
enum FleetEvent {
    /// A runner of a version comes, or all of them leave.
    Admit(Index),
    Retire(Index),
    Forget,
    RenewFirst,
    /// Instances act.
    Read(Index),
    StoreUsed(Index),
    Begin(Index, Index),
    Restart(Index),
    /// The store is restored from the state of the last backup.
    Backup,
    Restore,
    /// Time passes, in milliseconds.
    Pass(u64),
    /// Streams are taken up; the instances with these bits do not reply.
    TakeUp(u8),
}

fn any_event() -> impl Strategy<Value = FleetEvent> {
    use FleetEvent::{
        Admit, Backup, Begin, Forget, Pass, Read, RenewFirst, Restart, Restore, Retire, StoreUsed,
        TakeUp,
    };
    prop_oneof![
        2 => any::<Index>().prop_map(Admit),
        1 => any::<Index>().prop_map(Retire),
        1 => Just(Forget),
        1 => Just(RenewFirst),
        4 => any::<Index>().prop_map(Read),
        4 => any::<Index>().prop_map(StoreUsed),
        8 => (any::<Index>(), any::<Index>()).prop_map(|(i, v)| Begin(i, v)),
        1 => any::<Index>().prop_map(Restart),
        1 => Just(Backup),
        1 => Just(Restore),
        3 => (1u64..600).prop_map(Pass),
        4 => any::<u8>().prop_map(TakeUp),
    ]
}

/// The objects in the store.
#[derive(Clone, Default)]
struct StoreState {
    history: VersionHistory,
    records: [Option<UsedVersions>; INSTANCES],
}

/// A process, with what it knows.
#[derive(Clone, Default)]
struct FleetProcess {
    started_ms: u64,
    view: Option<VersionHistory>,
    read_ms: u64,
    own: UsedVersions,
}

impl FleetProcess {
    fn may_begin(&self, version: &str, now_ms: u64) -> bool {
        let is_current = now_ms <= self.read_ms + STALE_MS;
        self.view.as_ref().is_some_and(|view| {
            let may_use = view.is_first(SERVICE, version) || self.own.contains(SERVICE, version);
            is_current && may_use && view.is_admitted(SERVICE, version)
        })
    }
}

/// A stream that only its instance knows, until that is restarted.
struct UntoldStream {
    instance: usize,
    process: u64,
    version: &'static str,
    begun_ms: u64,
}

struct ModelFleet {
    now_ms: u64,
    era: u64,
    store: StoreState,
    backup: StoreState,
    processes: [FleetProcess; INSTANCES],
    streams: Vec<UntoldStream>,
    proved: usize,
}

impl ModelFleet {
    fn new() -> Self {
        let mut store = StoreState::default();
        store.history.record_era(0, 1, true);
        assert!(store.history.admit(SERVICE, VERSIONS[0]));
        let process = FleetProcess {
            started_ms: 1,
            ..FleetProcess::default()
        };
        Self {
            now_ms: 1,
            era: 0,
            backup: store.clone(),
            store,
            processes: std::array::from_fn(|_| process.clone()),
            streams: Vec::new(),
            proved: 0,
        }
    }

    fn play(&mut self, event: &FleetEvent) {
        let now_ms = self.now_ms;
        match event {
            FleetEvent::Admit(version) => {
                let version = VERSIONS[version.index(VERSIONS.len())];
                self.store.history.admit(SERVICE, version);
            }
            FleetEvent::Retire(version) => self.retire(VERSIONS[version.index(VERSIONS.len())]),
            FleetEvent::Forget => self.store.history.forget(now_ms, KEPT_MS + STALE_MS),
            FleetEvent::RenewFirst => self.store.history.renew_first(now_ms, KEPT_MS + STALE_MS),
            FleetEvent::Read(instance) => {
                let process = &mut self.processes[instance.index(INSTANCES)];
                process.view = Some(self.store.history.clone());
                process.read_ms = now_ms;
            }
            FleetEvent::StoreUsed(instance) => self.store_used(instance.index(INSTANCES)),
            FleetEvent::Begin(instance, version) => {
                let (instance, version) = (
                    instance.index(INSTANCES),
                    VERSIONS[version.index(VERSIONS.len())],
                );
                let process = &self.processes[instance];
                if process.may_begin(version, now_ms) {
                    self.streams.push(UntoldStream {
                        instance,
                        process: process.started_ms,
                        version,
                        begun_ms: now_ms,
                    });
                }
            }
            FleetEvent::Restart(instance) => {
                self.now_ms += 1;
                self.processes[instance.index(INSTANCES)] = FleetProcess {
                    started_ms: self.now_ms,
                    ..FleetProcess::default()
                };
            }
            FleetEvent::Backup => self.backup = self.store.clone(),
            FleetEvent::Restore => {
                self.era += 1;
                self.store = self.backup.clone();
                self.store.history.record_era(self.era, now_ms, false);
                // A process without a record in the backup stores it again before streams can
                // be proved, unless the store and the process are apart for all this time.
                for instance in 0..INSTANCES {
                    if self.store.records[instance].is_none() {
                        self.processes[instance].view = Some(self.store.history.clone());
                        self.processes[instance].read_ms = now_ms;
                        self.store_used(instance);
                    }
                }
            }
            FleetEvent::Pass(span_ms) => self.now_ms += span_ms,
            FleetEvent::TakeUp(silent) => self.take_up(*silent),
        }
    }

    /// A version leaves; streams that begin at it by an older view count as begun before.
    fn retire(&mut self, version: &str) {
        let others = self.store.history.versions().iter();
        let has_others = others
            .filter(|known| known.left_ms.is_none() && known.version != version)
            .count();
        if has_others > 0 {
            let left_ms = self.now_ms + STALE_MS;
            self.store.history.retire(SERVICE, version, left_ms);
        }
    }

    fn store_used(&mut self, instance: usize) {
        let process = &mut self.processes[instance];
        let Some(view) = &process.view else {
            return;
        };
        let stored = self.store.records[instance].clone().unwrap_or_default();
        if stored.process != process.started_ms {
            process.own = stored;
        }
        if process.own.lacks(view, self.era) {
            process.own = process.own.extended(view, process.started_ms, self.era);
            self.store.records[instance] = Some(process.own.clone());
        }
    }

    fn take_up(&mut self, silent: u8) {
        let now_ms = self.now_ms;
        self.streams
            .retain(|stream| now_ms < stream.begun_ms + KEPT_MS);
        let is_silent = |instance: usize| silent & (1 << instance) != 0;
        for stream in &self.streams {
            let is_known = stream.process == self.processes[stream.instance].started_ms;
            if is_known && !is_silent(stream.instance) {
                continue;
            }
            let (history, era) = (&self.store.history, self.era);
            let mut search = OriginSearch::new(history, SERVICE, era, now_ms, KEPT_MS);
            for (instance, process) in self.processes.iter().enumerate() {
                let asked = AskedProcess {
                    process: process.started_ms,
                    age_ms: now_ms - process.started_ms,
                };
                let asked = (!is_silent(instance)).then_some(asked);
                search.add_instance(self.store.records[instance].as_ref(), asked);
            }
            let version = search.version();
            assert!(
                version.is_none_or(|version| version == stream.version),
                "a stream of {} goes on at {version:?}",
                stream.version
            );
            self.proved += usize::from(version.is_some());
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(44),
        ..ProptestConfig::default()
    })]

    /// Guards against an untold stream that goes on at another version than its own.
    #[test]
    fn an_untold_stream_never_goes_on_at_another_version(
        events in prop::collection::vec(any_event(), 1..120)
    ) {
        let mut fleet = ModelFleet::new();
        events.iter().for_each(|event| fleet.play(event));
    }
}

/// Returns a fleet in which all instances have read the history.
fn start_fleet() -> ModelFleet {
    let mut fleet = ModelFleet::new();
    read_all(&mut fleet, 0..INSTANCES);
    fleet
}

fn read_all(fleet: &mut ModelFleet, instances: std::ops::Range<usize>) {
    for instance in instances {
        fleet.processes[instance].view = Some(fleet.store.history.clone());
        fleet.processes[instance].read_ms = fleet.now_ms;
        fleet.store_used(instance);
    }
}

fn begin(fleet: &mut ModelFleet, instance: usize, version: &'static str) {
    let process = &fleet.processes[instance];
    assert!(process.may_begin(version, fleet.now_ms));
    fleet.streams.push(UntoldStream {
        instance,
        process: process.started_ms,
        version,
        begun_ms: fleet.now_ms,
    });
}

#[test]
fn untold_streams_go_on_through_two_releases_in_a_row() {
    let mut fleet = start_fleet();
    begin(&mut fleet, 0, "v1");
    assert!(fleet.store.history.admit(SERVICE, "v2"));
    read_all(&mut fleet, 1..INSTANCES);
    fleet.take_up(1);
    assert_eq!(fleet.proved, 1);
    read_all(&mut fleet, 0..INSTANCES);
    fleet.retire("v1");
    fleet.now_ms += STALE_MS + KEPT_MS;
    read_all(&mut fleet, 0..INSTANCES);
    begin(&mut fleet, 0, "v2");
    assert!(fleet.store.history.admit(SERVICE, "v3"));
    read_all(&mut fleet, 1..INSTANCES);
    fleet.take_up(1);
    assert_eq!(fleet.proved, 2);
}

#[test]
fn untold_streams_go_on_after_their_instance_is_back() {
    let mut fleet = start_fleet();
    begin(&mut fleet, 0, "v1");
    assert!(fleet.store.history.admit(SERVICE, "v2"));
    fleet.now_ms += 1;
    fleet.processes[0] = FleetProcess {
        started_ms: fleet.now_ms,
        ..FleetProcess::default()
    };
    read_all(&mut fleet, 0..INSTANCES);
    fleet.take_up(0);
    assert_eq!(fleet.proved, 1);
}

/// Guards against forgetting what an earlier process used, when the next one stores more.
#[test]
fn untold_streams_of_an_earlier_process_at_a_later_version_are_not_taken_for_first_ones() {
    let mut fleet = start_fleet();
    assert!(fleet.store.history.admit(SERVICE, "v2"));
    read_all(&mut fleet, 0..INSTANCES);
    begin(&mut fleet, 0, "v2");
    fleet.now_ms += 1;
    fleet.processes[0] = FleetProcess {
        started_ms: fleet.now_ms,
        ..FleetProcess::default()
    };
    assert!(fleet.store.history.admit(SERVICE, "v3"));
    read_all(&mut fleet, 0..INSTANCES);
    fleet.take_up(0);
    assert_eq!(fleet.proved, 0);
}

/// Guards against forgetting a version that has left, whose streams can still be taken up.
#[test]
fn untold_streams_at_a_version_that_has_left_are_not_taken_for_later_ones() {
    let mut fleet = start_fleet();
    assert!(fleet.store.history.admit(SERVICE, "v2"));
    fleet.retire("v1");
    fleet.now_ms += STALE_MS + KEPT_MS;
    read_all(&mut fleet, 0..INSTANCES);
    begin(&mut fleet, 0, "v2");
    assert!(fleet.store.history.admit(SERVICE, "v3"));
    fleet.retire("v2");
    read_all(&mut fleet, 0..INSTANCES);
    fleet.take_up(1);
    assert_eq!(fleet.proved, 0);
}

/// Guards against trusting a record that is older than the store's last restore.
#[test]
fn untold_streams_are_not_proved_by_a_record_of_an_earlier_era() {
    let mut fleet = start_fleet();
    assert!(fleet.store.history.admit(SERVICE, "v2"));
    fleet.store.records[0] = Some(UsedVersions::default().extended(&fleet.store.history, 1, 0));
    fleet.era = 1;
    fleet.store.history.record_era(1, fleet.now_ms, false);
    fleet.now_ms += KEPT_MS;
    read_all(&mut fleet, 1..INSTANCES);
    fleet.retire("v1");
    fleet.now_ms += KEPT_MS + STALE_MS;
    read_all(&mut fleet, 1..INSTANCES);
    let (history, used) = (&fleet.store.history, fleet.store.records[0].as_ref());
    let mut search = OriginSearch::new(history, SERVICE, fleet.era, fleet.now_ms, KEPT_MS);
    search.add_instance(used, None);
    assert_eq!(search.version(), None);
}
