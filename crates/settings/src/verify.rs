//! Checks combinations of settings that are valid on their own.

use crate::{units::format_duration, ProcessSettings, SettingsFault};
use std::{net::SocketAddr, time::Duration};

/// Collects the faults of a check, and has the lines of the keys in the file.
struct SettingsVerifier<'a> {
    lines: &'a [(String, usize)],
    faults: Vec<SettingsFault>,
}

/// Returns a fault for every invalid combination. `lines` must be sorted by key.
pub(crate) fn verify_settings(
    settings: &ProcessSettings,
    lines: &[(String, usize)],
) -> Vec<SettingsFault> {
    let mut verifier = SettingsVerifier {
        lines,
        faults: Vec::new(),
    };
    verifier.check_listeners(settings);
    verifier.check_reachable(settings);
    verifier.check_seeds(settings);
    verifier.check_durations(settings);
    verifier.faults
}

impl SettingsVerifier<'_> {
    /// Returns the line of `key`, or 1 if the key is absent and its default is used.
    fn line(&self, key: &str) -> usize {
        let index = self
            .lines
            .binary_search_by(|(other, _)| other.as_str().cmp(key));
        index
            .ok()
            .and_then(|index| self.lines.get(index))
            .map_or(1, |(_, line)| *line)
    }

    fn add(&mut self, key: &str, found: impl ToString, allowed: String) {
        let line = self.line(key);
        let found = found.to_string();
        self.faults.push(SettingsFault {
            line,
            key: key.to_owned(),
            found,
            allowed,
        });
    }

    /// Checks that no two listeners use the same address; port 0 selects a free port.
    fn check_listeners(&mut self, settings: &ProcessSettings) {
        let listeners = listeners(settings);
        for (index, (key, address)) in listeners.iter().enumerate() {
            let mut earlier = listeners.iter().take(index);
            let conflict = earlier.find(|(_, other)| overlaps(*address, *other));
            if let Some((other_key, other)) = conflict {
                let line = self.line(other_key);
                let allowed = format!("an address other than {other_key} = {other} on line {line}");
                self.add(key, address, allowed);
            }
        }
    }

    /// Checks that addresses that others connect to have a specific IP address, and a
    /// port where one is required.
    fn check_reachable(&mut self, settings: &ProcessSettings) {
        let entry = &settings.entry;
        let peers = [
            (
                "entry.peer_listen",
                entry.peer_listen,
                entry.peer_advertised,
            ),
            (
                "dispatch.peer_listen",
                settings.dispatch.peer_listen,
                settings.dispatch.peer_advertised,
            ),
        ];
        for (key, address, advertised) in peers {
            if address.ip().is_unspecified() && advertised.is_none() {
                self.add(
                    key,
                    address,
                    "a specific IP address, because peers connect to it".to_owned(),
                );
            }
        }
        match entry.callers_advertised {
            Some(address) if address.ip().is_unspecified() || address.port() == 0 => {
                let allowed = "an IP address with a port that callers can connect to";
                self.add("entry.callers_advertised", address, allowed.to_owned());
            }
            None if entry.callers_listen.ip().is_unspecified() => {
                let allowed = "a specific IP address, unless callers_advertised is set";
                self.add(
                    "entry.callers_listen",
                    entry.callers_listen,
                    allowed.to_owned(),
                );
            }
            _ => {}
        }
        let platform = settings.platform.address;
        if platform.ip().is_unspecified() || platform.port() == 0 {
            let allowed = "an IP address with a port to connect to";
            self.add("platform.address", platform, allowed.to_owned());
        }
    }

    /// Checks that seeds are valid addresses to connect to, without duplicates.
    fn check_seeds(&mut self, settings: &ProcessSettings) {
        for (index, seed) in settings.seeds.iter().enumerate() {
            if seed.port() == 0 || seed.ip().is_unspecified() {
                self.add(
                    "seeds",
                    seed,
                    "IP addresses with a port to connect to".to_owned(),
                );
            } else if settings.seeds.iter().take(index).any(|other| other == seed) {
                self.add(
                    "seeds",
                    format!("{seed} twice"),
                    "each address once".to_owned(),
                );
            }
        }
    }

    /// Checks the order of durations that depend on each other.
    fn check_durations(&mut self, settings: &ProcessSettings) {
        let timeouts = &settings.timeouts;
        let drain = ("timeouts.drain", timeouts.drain);
        let silent_gap = ("timeouts.silent_gap", timeouts.silent_gap);
        let ordered = [
            (drain, ("timeouts.locate_ttl", timeouts.locate_ttl)),
            (drain, silent_gap),
            (silent_gap, ("timeouts.connect", timeouts.connect)),
            (
                (
                    "dispatch.answer_hold_time",
                    settings.dispatch.answer_hold_time,
                ),
                silent_gap,
            ),
            (
                ("entry.idle_timeout", settings.entry.idle_timeout),
                silent_gap,
            ),
        ];
        for (longer, shorter) in ordered {
            self.check_order(longer, shorter);
        }
    }

    fn check_order(&mut self, longer: (&str, Duration), shorter: (&str, Duration)) {
        if longer.1 > shorter.1 {
            return;
        }
        let allowed = format!("more than {} = {}", shorter.0, format_duration(shorter.1));
        self.add(longer.0, format_duration(longer.1), allowed);
    }
}

/// Returns all addresses that the processes of the instance listen on.
fn listeners(settings: &ProcessSettings) -> [(&'static str, SocketAddr); 6] {
    let (entry, dispatch) = (&settings.entry, &settings.dispatch);
    [
        ("entry.callers_listen", entry.callers_listen),
        ("entry.operators_listen", entry.operators_listen),
        ("entry.peer_listen", entry.peer_listen),
        ("entry.metrics_listen", entry.metrics_listen),
        ("dispatch.peer_listen", dispatch.peer_listen),
        ("dispatch.metrics_listen", dispatch.metrics_listen),
    ]
}

/// Returns whether two listen addresses conflict.
fn overlaps(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    same_ip && a.port() == b.port() && a.port() != 0
}
