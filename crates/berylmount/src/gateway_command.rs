//! The `gateway` command, which serves callers on the users' platform.

use crate::{
    exit_codes::{EXIT_FAULTY, EXIT_NOT_STARTED, EXIT_UNREADABLE, EXIT_USAGE},
    operator_flags::Gateway as GatewayFlags,
};
use berylmount_adapter::settings_file::{load_settings, SettingsFault};
use berylmount_gateway::{Gateway, GatewayFault};
use berylmount_telemetry::{
    serve_questions, start_bounded_logging, DroppedRecords, HealthState, MetricSet, SharedHealth,
};
use log::LevelFilter;
use std::{ffi::OsString, net::TcpListener, sync::Arc};

/// The environment variable that sets the least severe log level to write.
const LEVEL_VARIABLE: &str = "BERYLMOUNT_LOG";

/// Default port of the metrics page, if `--metrics` is not given.
const METRICS_PORT: u16 = 9464;

/// One in this many served requests is logged, if `--log-served` is not given.
///
/// At the usual load this writes a few lines a minute on each instance.
const LOG_SERVED: u32 = 100;

/// Serves callers until the process is told to stop; returns the exit code.
pub(crate) fn run_gateway_command(arguments: Vec<OsString>) -> u8 {
    let flags = match GatewayFlags::from_vec(arguments) {
        Ok(flags) => flags,
        Err(error) => {
            eprintln!("{error}");
            return EXIT_USAGE;
        }
    };
    let level = std::env::var(LEVEL_VARIABLE).ok();
    let level = level.and_then(|text| text.parse().ok());
    let logs = match start_bounded_logging(level.unwrap_or(LevelFilter::Info)) {
        Ok(logs) => logs,
        Err(fault) => {
            eprintln!("{fault}");
            return EXIT_NOT_STARTED;
        }
    };
    match serve(&flags, &logs.dropped()) {
        Ok(()) => 0,
        Err(fault) => {
            log::error!(target: "process", fault:% ; "the gateway could not start or stopped with an error");
            eprintln!("{fault}");
            fault.exit_code()
        }
    }
}

/// The reason why the gateway could not start or stopped with an error.
#[derive(Debug, thiserror::Error)]
enum CommandFault {
    /// The settings or an address can't be used.
    #[error(transparent)]
    Gateway(#[from] GatewayFault),
    /// The metrics page can't be served.
    #[error("the metrics page can't be served: {0}")]
    Metrics(String),
}

impl CommandFault {
    fn exit_code(&self) -> u8 {
        match self {
            Self::Gateway(GatewayFault::Settings(SettingsFault::Unreadable { .. })) => {
                EXIT_UNREADABLE
            }
            Self::Gateway(GatewayFault::Settings(_)) => EXIT_FAULTY,
            Self::Gateway(_) | Self::Metrics(_) => EXIT_NOT_STARTED,
        }
    }
}

fn serve(flags: &GatewayFlags, dropped: &DroppedRecords) -> Result<(), CommandFault> {
    let port = flags.metrics.unwrap_or(METRICS_PORT);
    let settings = load_settings().map_err(GatewayFault::from)?;
    let fault = |error: &dyn std::fmt::Display| CommandFault::Metrics(error.to_string());
    let metrics = Arc::new(MetricSet::new().map_err(|error| fault(&error))?);
    metrics.watch_dropped(dropped);
    let address = (settings.listen.callers.ip(), port);
    let listener = TcpListener::bind(address).map_err(|error| fault(&error))?;
    let health = Arc::new(SharedHealth::default());
    health.set(HealthState::Ready);
    let mut gateway = Gateway::bind(settings, metrics.clone())?;
    let explainer = gateway.explainer();
    let answer = move |question: &str| explainer.answer(question);
    let page = serve_questions(listener, metrics, health, Box::new(answer));
    let _page = page.map_err(|error| fault(&error))?;
    gateway.set_log_served(flags.log_served.unwrap_or(LOG_SERVED));
    gateway.run()?;
    Ok(())
}
