//! Stand-ins for the platform, clients, stream servers and discovery, and the cases that use them. Standard library only.
//!
//! `case NAME FOLDER`, from the root of the repository: plays the case NAME and writes FOLDER/record.txt. The exit code is
//! 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod client;
mod crowd;
mod discovery;
mod platform;
mod record;
mod replace;
mod server;
mod shutdown;
mod util;

use std::path::PathBuf;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (name, folder) = match &arguments[..] {
        [_, name, folder] => (name.as_str(), PathBuf::from(folder)),
        _ => exit(2, "usage: case NAME FOLDER"),
    };
    record::open(&folder.join("record.txt"));
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".into());
    record::line(format!("case {name}, TROUBLE={trouble}"));
    // A panic in any thread means that the case could not run.
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        record::line(format!("stand-in failed: {info}"));
        hook(info);
        platform::end_all();
        std::process::exit(2);
    }));
    let verdict = match name {
        "shutdown" => shutdown::play(&trouble),
        "crowd" => crowd::play(&trouble),
        "replace" => replace::play(&trouble),
        _ => Verdict::NotRun(format!("no case '{name}'")),
    };
    platform::end_all();
    match verdict {
        Verdict::Held => exit(0, "the rule held"),
        Verdict::Broken => exit(1, "the rule was broken"),
        Verdict::NotRun(reason) => exit(2, &format!("could not run: {reason}")),
    }
}

fn exit(code: i32, text: &str) -> ! {
    record::line(format!("exit {code}: {text}"));
    eprintln!("{text}");
    std::process::exit(code)
}
