//! The naive baseline of the measures.

use std::{net::SocketAddr, process::ExitCode};

use {
    clap::Parser,
    magnolia_standins::{
        naive::{NaiveOptions, NaiveRouter},
        server::run_standin,
    },
    magnoliahaven::telemetry::init_logging,
};

/// A router that keeps no promise under failure, to compare with.
///
/// Exit code 1 if the address cannot be used.
#[derive(Parser)]
#[command(version)]
struct Options {
    /// Address to listen on.
    #[arg(long)]
    listen: SocketAddr,
    /// All routers, in the order in which callers are told of them.
    #[arg(long, value_delimiter = ',')]
    routers: Vec<SocketAddr>,
    /// The router that counts; this one without it.
    #[arg(long)]
    counter: Option<SocketAddr>,
    /// Engines of the old version.
    #[arg(long, value_delimiter = ',')]
    old_engines: Vec<SocketAddr>,
    /// Engines of the new version.
    #[arg(long, value_delimiter = ',')]
    new_engines: Vec<SocketAddr>,
    /// Tokens paid for, the same for every key.
    #[arg(long)]
    paid: u64,
}

fn main() -> ExitCode {
    let options = Options::parse();
    init_logging("naive");
    let naive = NaiveOptions {
        routers: options.routers,
        counter: options.counter,
        old_engines: options.old_engines,
        new_engines: options.new_engines,
        paid: options.paid,
    };
    run_standin(options.listen, || NaiveRouter::new(naive))
}
