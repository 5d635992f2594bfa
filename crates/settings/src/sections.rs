//! The keys of a settings file, section by section.

use crate::{
    process::{
        DispatchSettings, EntrySettings, LogFormat, LogSettings, PlatformSettings, ProcessSettings,
        TimeoutSettings, TraceSettings,
    },
    reader::{ReadContext, SectionReader, SettingSpec},
};
use berylmount_model::{DataCentre, InstanceName};
use jsonc_parser::ast::Object;
use std::time::Duration;

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const GIB: u64 = 1 << 30;

/// Returns the documentation of all keys, in the order of the file.
pub(crate) fn setting_specs() -> Vec<SettingSpec> {
    let mut context = ReadContext::new("");
    read_settings(&mut context, None);
    context.specs
}

/// Reads the top-level object of a settings file.
pub(crate) fn read_settings<'a>(
    context: &mut ReadContext<'a>,
    object: Option<&Object<'a>>,
) -> Option<ProcessSettings> {
    let mut root = SectionReader::new(context, object);
    let deployment = root.name(
        "deployment",
        InstanceName::new,
        "Name of the deployment; separates deployments that share a platform.",
    );
    let instance = root.name(
        "instance",
        InstanceName::new,
        "Name of the instance; unique within the deployment.",
    );
    let data_centre = root.name(
        "data_centre",
        DataCentre::new,
        "Data centre of the instance.",
    );
    let seeds = root.addresses(
        "seeds",
        "Peer addresses to contact before the platform's instance list is available.",
    );
    let entry = root.section("entry", read_entry);
    let dispatch = root.section("dispatch", read_dispatch);
    let platform = root.section("platform", read_platform);
    let timeouts = root.section("timeouts", read_timeouts);
    let log = root.section("log", read_log);
    let trace = root.section("trace", read_trace);
    root.finish();
    Some(ProcessSettings {
        deployment: deployment?,
        instance: instance?,
        data_centre: data_centre?,
        seeds,
        entry,
        dispatch,
        platform,
        timeouts,
        log,
        trace,
    })
}

fn read_entry(section: &mut SectionReader<'_, '_>) -> EntrySettings {
    EntrySettings {
        callers_listen: section.address(
            "callers_listen",
            "Address on which the entry process listens for callers; port 0 selects a free port.",
        ),
        callers_advertised: section.optional_address(
            "callers_advertised",
            "callers_listen",
            "Address advertised to callers.",
        ),
        operators_listen: section.address(
            "operators_listen",
            "Address on which the entry process listens for operators.",
        ),
        peer_listen: section.address(
            "peer_listen",
            "Address on which the entry process listens for peers.",
        ),
        peer_advertised: section.optional_address(
            "peer_advertised",
            "peer_listen",
            "Address of the entry process that is advertised to peers.",
        ),
        metrics_listen: section.address(
            "metrics_listen",
            "Address on which the entry process serves `/metrics` and `/healthz`.",
        ),
        max_body: section.size(
            "max_body",
            MIB,
            KIB..=3 * MIB,
            "Maximum size of a request body.",
        ),
        max_header: section.size(
            "max_header",
            16 * KIB,
            KIB..=256 * KIB,
            "Maximum size of a request head.",
        ),
        max_connections: section.count(
            "max_connections",
            1024,
            1..=65_536,
            "Maximum number of open caller connections; further ones are refused.",
        ),
        max_in_flight: section.count(
            "max_in_flight",
            512,
            1..=65_536,
            "Maximum number of requests in flight; further ones are refused with the verdict `not_run`.",
        ),
        idle_timeout: section.duration(
            "idle_timeout",
            secs(60),
            secs(1)..=secs(3600),
            "Idle timeout of a caller's connection.",
        ),
        operator_key_sha256: section.hash(
            "operator_key_sha256",
            "SHA-256 of the operators' key; the key itself is not stored in any file.",
        ),
    }
}

fn read_dispatch(section: &mut SectionReader<'_, '_>) -> DispatchSettings {
    DispatchSettings {
        peer_listen: section.address(
            "peer_listen",
            "Address on which the dispatch process listens for peers.",
        ),
        peer_advertised: section.optional_address(
            "peer_advertised",
            "peer_listen",
            "Address of the dispatch process that is advertised to peers.",
        ),
        metrics_listen: section.address(
            "metrics_listen",
            "Address on which the dispatch process serves `/metrics` and `/healthz`.",
        ),
        max_in_flight: section.count(
            "max_in_flight",
            512,
            1..=65_536,
            "Maximum number of requests in flight at targets.",
        ),
        answer_hold_bytes: section.size(
            "answer_hold_bytes",
            8 * MIB,
            64 * KIB..=GIB,
            "Memory for responses that are retained until acknowledged.",
        ),
        answer_hold_time: section.duration(
            "answer_hold_time",
            secs(60),
            secs(1)..=secs(3600),
            "How long a completed response is retained for a caller that reconnects.",
        ),
    }
}

fn read_platform(section: &mut SectionReader<'_, '_>) -> PlatformSettings {
    PlatformSettings {
        address: section.address("address", "Address of the platform's object API."),
    }
}

fn read_timeouts(section: &mut SectionReader<'_, '_>) -> TimeoutSettings {
    TimeoutSettings {
        drain: section.duration(
            "drain",
            secs(60),
            secs(1)..=secs(3600),
            "Maximum duration of a graceful shutdown; requests still running then are refused, with a verdict on whether they may have run.",
        ),
        locate_ttl: section.duration(
            "locate_ttl",
            secs(10),
            millis(100)..=secs(600),
            "How long a caller may cache an address from a lookup.",
        ),
        silent_gap: section.duration(
            "silent_gap",
            secs(3),
            millis(100)..=secs(60),
            "Time without data after which a stream is considered broken.",
        ),
        connect: section.duration(
            "connect",
            millis(500),
            millis(10)..=secs(30),
            "Time limit for opening a connection.",
        ),
        peer_dead: section.duration(
            "peer_dead",
            secs(5),
            millis(100)..=secs(600),
            "How long a suspected peer may take to refute the suspicion before it is declared dead.",
        ),
    }
}

fn read_log(section: &mut SectionReader<'_, '_>) -> LogSettings {
    use log::LevelFilter as Level;
    let levels = [
        ("error", Level::Error),
        ("warn", Level::Warn),
        ("info", Level::Info),
        ("debug", Level::Debug),
        ("trace", Level::Trace),
    ];
    let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    LogSettings {
        level: section.choice(
            "level",
            Level::Info,
            &levels,
            "Least severe level that is logged.",
        ),
        format: section.choice(
            "format",
            LogFormat::Text,
            &formats,
            "Format of the log records on standard error.",
        ),
    }
}

fn read_trace(section: &mut SectionReader<'_, '_>) -> TraceSettings {
    TraceSettings {
        sample: section.fraction(
            "sample",
            0.01,
            "Fraction of requests to trace if the caller's `traceparent` has no sampling decision.",
        ),
    }
}

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
