//! The operators' command line.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use {
    clap::{Parser, Subcommand},
    magnoliahaven::{
        Declaration, TimerService,
        config::{diff_documents, hash_key},
        ctl::{CtlClient, CtlFault, MoveRequest, RequestStory},
        ports::{VmRole, VmState},
        runtime::block_on,
    },
    serde_json::json,
};

/// Exit code if a change was refused.
const EXIT_REFUSED: u8 = 1;

/// Exit code if the input is faulty.
const EXIT_INPUT: u8 = 2;

/// Exit code if the log cannot be reached.
const EXIT_UNREACHABLE: u8 = 3;

/// Exit code if a change was accepted and a router does not show it yet.
const EXIT_NOT_EVERYWHERE: u8 = 4;

/// Operates a fleet of routers through the platform's log.
///
/// Exit codes: 0 done; 1 refused, nothing was changed; 2 faulty input; 3 the
/// log cannot be reached, or its answer was lost: repeat the command; 4 the
/// change is accepted, and not every router shows it yet.
#[derive(Parser)]
#[command(version)]
struct Options {
    /// Address of the platform's log.
    #[arg(long, env = "MAGNOLIA_LOG_ADDRESS", global = true)]
    #[arg(default_value = "127.0.0.1:7400")]
    log: SocketAddr,
    /// Number of account partitions, as in the routers' settings.
    #[arg(long, env = "MAGNOLIA_PARTITIONS", global = true)]
    #[arg(default_value_t = 16)]
    partitions: u32,
    /// Name of the operator, for the record.
    #[arg(long, env = "USER", global = true, default_value = "operator")]
    who: String,
    /// Print JSON instead of text.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Check a declaration file and print every fault.
    Check { file: PathBuf },
    /// Show what a declaration file would change.
    Diff { file: PathBuf },
    /// Make a declaration file the configuration in force.
    Apply {
        file: PathBuf,
        /// The reason, for the record.
        #[arg(long, default_value = "")]
        why: String,
        /// Seconds to wait until every router shows the revision.
        #[arg(long, default_value_t = 6)]
        wait_s: u64,
    },
    /// Show the revision, the preset and the state of every router.
    Status,
    /// Show the balances of budgets.
    Budgets { account: Option<String> },
    /// Show the audit lines of bills.
    Bills { account: Option<String> },
    /// Add prepaid tokens to a budget.
    TopUp {
        /// The budget, as ACCOUNT/BUDGET.
        budget: String,
        /// The tokens to add.
        tokens: u64,
        /// Identity of the payment; a repetition adds nothing.
        #[arg(long)]
        id: String,
    },
    /// Switch presets.
    #[command(subcommand)]
    Preset(PresetCommand),
    /// Start, undo and show version moves.
    #[command(subcommand)]
    Move(MoveCommand),
    /// Show the platform's list of VMs.
    Vms,
    /// Tell the router on a VM to leave.
    Leave { vm: String },
    /// Tell what the logs of routers say of one request.
    Explain {
        /// Identity of the request.
        id: String,
        /// Log files of the routers.
        #[arg(required = true)]
        logs: Vec<PathBuf>,
    },
    /// Print the form of a key for a declaration. Reads the key from
    /// standard input, so that it does not show in the list of processes.
    HashKey,
}

#[derive(Subcommand)]
enum PresetCommand {
    /// Put a preset in force.
    Switch {
        name: String,
        /// The reason, for the record.
        #[arg(long)]
        why: String,
    },
}

#[derive(Subcommand)]
enum MoveCommand {
    /// Start to move the traffic of a service to another version.
    Start {
        service: String,
        from: String,
        to: String,
        /// Seconds within which the move must be done.
        #[arg(long)]
        by_s: u64,
    },
    /// Take the newest move of a service back.
    Undo {
        service: String,
        /// The reason, for the record.
        #[arg(long)]
        why: String,
    },
    /// Show the moves.
    List,
}

fn main() -> ExitCode {
    let options = Options::parse();
    match block_on(run(&options)) {
        Ok(Ok(code)) => code,
        Ok(Err(fault)) => {
            eprintln!("{fault}");
            ExitCode::from(match fault {
                CtlFault::Refused { .. } => EXIT_REFUSED,
                CtlFault::Unknown { .. } => EXIT_INPUT,
                CtlFault::Log { .. } => EXIT_UNREACHABLE,
            })
        }
        Err(err) => {
            eprintln!("no runtime: {err}");
            ExitCode::from(EXIT_UNREACHABLE)
        }
    }
}

fn load(file: &PathBuf) -> Result<Declaration, ExitCode> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|err| {
        eprintln!("{name}: (file): {err}");
        ExitCode::from(EXIT_INPUT)
    })?;
    Declaration::parse(&name, &text).map_err(|faults| {
        for fault in faults {
            eprintln!("{fault}");
        }
        ExitCode::from(EXIT_INPUT)
    })
}

/// Prints what log files say of a request.
fn explain(id: &str, logs: &[PathBuf]) -> ExitCode {
    let mut text = String::new();
    for file in logs {
        match std::fs::read_to_string(file) {
            Ok(log) => text.push_str(&log),
            Err(err) => {
                eprintln!("{}: {err}", file.display());
                return ExitCode::from(EXIT_INPUT);
            }
        }
    }
    let story = RequestStory::new(id, text.lines());
    let Some(first) = story.own.first() else {
        eprintln!("no line names request {id}");
        return ExitCode::from(EXIT_REFUSED);
    };
    for (title, lines) in [("request", &story.own), ("near", &story.context)] {
        println!("{title}:");
        for line in lines {
            let at = line.time_ms as i64 - first.time_ms as i64;
            println!("  {at:+6} ms  {}  {}", line.vm, line.message);
            println!("             {}", line.fields);
        }
    }
    println!("outcome: {}", story.outcome().unwrap_or("not logged"));
    println!("cause: {}", story.cause().unwrap_or("none logged"));
    if story.unreadable > 0 {
        println!("{} lines could not be read", story.unreadable);
    }
    ExitCode::SUCCESS
}

async fn run(options: &Options) -> Result<ExitCode, CtlFault> {
    let client = CtlClient::new(options.log, options.partitions);
    let who = options.who.as_str();
    match &options.command {
        Command::Check { file } => match load(file) {
            Ok(_) => println!("{}: valid", file.display()),
            Err(code) => return Ok(code),
        },
        Command::Diff { file } => match load(file) {
            Ok(declaration) => show_diff(&client, &declaration).await?,
            Err(code) => return Ok(code),
        },
        Command::Apply { file, why, wait_s } => match load(file) {
            Ok(declaration) => {
                let change = client.apply(&declaration, who, why).await?;
                println!(
                    "revision {} in force, {} documents changed",
                    change.number, change.documents,
                );
                return wait(&client, change.number, *wait_s).await;
            }
            Err(code) => return Ok(code),
        },
        Command::Status => show_status(&client, options.json).await?,
        Command::Budgets { account } => {
            show_budgets(&client, account.as_deref(), options.json).await?;
        }
        Command::Bills { account } => {
            show_bills(&client, account.as_deref(), options.json).await?;
        }
        Command::TopUp { budget, tokens, id } => {
            let row = client.top_up(budget, *tokens, id, who).await?;
            println!("{}: {} tokens paid for", row.budget, row.topped_up);
        }
        Command::Preset(PresetCommand::Switch { name, why }) => {
            let change = client.switch_preset(name, who, why).await?;
            println!("preset {name} in force, revision {}", change.number);
        }
        Command::Move(command) => {
            run_move(&client, command, who, options.json).await?;
        }
        Command::Vms => show_vms(&client, options.json).await?,
        Command::Leave { vm } => {
            client.leave(vm).await?;
            println!("{vm} leaves");
        }
        Command::Explain { id, logs } => return Ok(explain(id, logs)),
        Command::HashKey => {
            let mut key = String::new();
            if std::io::stdin().read_line(&mut key).is_err() {
                return Ok(ExitCode::from(EXIT_INPUT));
            }
            println!("{}", hash_key(key.trim()));
        }
    }
    Ok(ExitCode::SUCCESS)
}

async fn wait(
    client: &CtlClient,
    number: u64,
    wait_s: u64,
) -> Result<ExitCode, CtlFault> {
    let time = Duration::from_secs(wait_s);
    let late = client.wait_in_force(number, time).await?;
    if late.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    for row in &late {
        let known = row.revision().map_or("no answer".to_owned(), |known| {
            format!("revision {known}")
        });
        eprintln!("{}: {known} after {wait_s} s", row.vm);
    }
    Ok(ExitCode::from(EXIT_NOT_EVERYWHERE))
}

async fn run_move(
    client: &CtlClient,
    command: &MoveCommand,
    who: &str,
    as_json: bool,
) -> Result<(), CtlFault> {
    match command {
        MoveCommand::Start { service, from, to, by_s } => {
            let deadline_ms = TimerService::now_ms() + by_s * 1_000;
            let request = MoveRequest { service, from, to, deadline_ms, who };
            let change = client.start_move(&request).await?;
            println!("move {} of {service} started", change.number);
        }
        MoveCommand::Undo { service, why } => {
            let change = client.undo_move(service, who, why).await?;
            println!("move {} of {service} undone", change.number);
        }
        MoveCommand::List => {
            let control = client.control().await?;
            if as_json {
                println!("{}", json!(control.moves));
                return Ok(());
            }
            for (id, known) in &control.moves {
                println!(
                    "{id}: {} {} -> {}: {:?} at {} %: {}",
                    known.start.service,
                    known.start.from,
                    known.start.to,
                    known.step,
                    known.share,
                    known.reason,
                );
            }
        }
    }
    Ok(())
}

async fn show_diff(
    client: &CtlClient,
    declaration: &Declaration,
) -> Result<(), CtlFault> {
    let current = client.control().await?;
    let (set, remove) =
        diff_documents(&current.documents, &declaration.documents);
    for (path, wanted) in &set {
        match current.documents.get(path) {
            None => println!("+ {path}: {}", json!(wanted)),
            Some(known) => {
                println!("- {path}: {}", json!(known));
                println!("+ {path}: {}", json!(wanted));
            }
        }
    }
    for path in &remove {
        println!("- {path}");
    }
    if set.is_empty() && remove.is_empty() {
        println!("nothing would change");
    }
    Ok(())
}

async fn show_status(
    client: &CtlClient,
    as_json: bool,
) -> Result<(), CtlFault> {
    let control = client.control().await?;
    let routers = client.routers().await?;
    if as_json {
        let report = json!({
            "revision": control.revision,
            "preset": control.preset,
            "preset_revision": control.preset_revision,
            "routers": routers,
        });
        println!("{report}");
        return Ok(());
    }
    let revision = &control.revision;
    println!(
        "revision {} by {}: {}",
        revision.number, revision.who, revision.why
    );
    let preset = &control.preset_revision;
    println!(
        "preset {} since revision {} by {}: {}",
        control.preset, preset.number, preset.who, preset.why,
    );
    for row in &routers {
        if row.status.is_none() {
            println!("{}: no answer", row.vm);
            continue;
        }
        let revision = row.revision().unwrap_or(0);
        println!(
            "{}: revision {revision} since {} ms, ready {}, leaving {}, log \
             {}, {} in progress",
            row.vm,
            row.field("applied_ms"),
            row.field("ready"),
            row.field("leaving"),
            row.field("log_reachable"),
            row.field("in_progress"),
        );
    }
    Ok(())
}

async fn show_budgets(
    client: &CtlClient,
    account: Option<&str>,
    as_json: bool,
) -> Result<(), CtlFault> {
    let rows = client.budgets(account).await?;
    if as_json {
        println!("{}", json!(rows));
        return Ok(());
    }
    println!(
        "{:<32} {:>12} {:>12} {:>8} {:>12} {:>12}",
        "budget", "paid", "spent", "bills", "held", "free"
    );
    for row in &rows {
        println!(
            "{:<32} {:>12} {:>12} {:>8} {:>12} {:>12}",
            row.budget,
            row.topped_up,
            row.spent,
            row.bills,
            row.held,
            row.free
        );
    }
    Ok(())
}

async fn show_bills(
    client: &CtlClient,
    account: Option<&str>,
    as_json: bool,
) -> Result<(), CtlFault> {
    let lines = client.bills(account).await?;
    if as_json {
        println!("{}", json!(lines));
        return Ok(());
    }
    for line in &lines {
        println!(
            "{} {} {} {} {} tokens on {}",
            line.bill,
            line.budget,
            line.service,
            line.request_id,
            line.tokens,
            line.vm,
        );
    }
    Ok(())
}

async fn show_vms(client: &CtlClient, as_json: bool) -> Result<(), CtlFault> {
    let list = client.vms().await?;
    if as_json {
        println!("{}", json!(list));
        return Ok(());
    }
    for (vm, entry) in &list.vms {
        let role = match entry.role {
            VmRole::Entry => "entry",
            VmRole::Worker => "worker",
        };
        let state = match entry.state {
            VmState::Live => "live",
            VmState::Leaving => "leaving",
        };
        println!(
            "{vm}: {role} {state} {} {} {} {} {}",
            entry.region,
            entry.domain,
            entry.address,
            entry.service,
            entry.version,
        );
    }
    Ok(())
}
