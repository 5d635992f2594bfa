//! Runs one stand-in by itself, for trying the product by hand.

mod flags;

use crate::flags::{BerylmountStandins, BerylmountStandinsCmd};
use berylmount_standins::{
    run_engine, run_platform, run_proxy, run_service, run_store, EngineConfig, ServiceConfig,
    StoreConfig,
};
use std::io;

fn main() -> io::Result<()> {
    match BerylmountStandins::from_env_or_exit().subcommand {
        BerylmountStandinsCmd::Platform(flags) => run_platform(flags.listen),
        BerylmountStandinsCmd::Engine(flags) => run_engine(EngineConfig {
            listen: flags.listen,
            model: flags.model.unwrap_or_else(|| "blaze".to_owned()),
            version: flags.version.unwrap_or_else(|| "v1".to_owned()),
            ..EngineConfig::default()
        }),
        BerylmountStandinsCmd::Store(flags) => run_store(&StoreConfig {
            listen: flags.listen,
            ..StoreConfig::default()
        }),
        BerylmountStandinsCmd::Service(flags) => run_service(&ServiceConfig {
            listen: flags.listen,
            ..ServiceConfig::default()
        }),
        BerylmountStandinsCmd::Proxy(flags) => run_proxy(flags.listen, flags.target, flags.admin),
    }
}
