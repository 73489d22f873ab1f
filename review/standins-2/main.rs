//! Plays a case of the review: `play CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
//! not run.

mod control;
mod cut;
mod drain;
mod kit;
mod memory;
mod reopen;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = &arguments[..] else {
        eprintln!("usage: play CASE FOLDER");
        std::process::exit(2);
    };
    let folder = std::path::Path::new(folder);
    kit::end_in_time();
    let play = match name.as_str() {
        "control" => control::run,
        "cut" => cut::run,
        "drain" => drain::run,
        "reopen" => reopen::run,
        "memory" => memory::run,
        _ => std::process::exit(2),
    };
    let code = std::panic::catch_unwind(|| play(folder)).unwrap_or(2);
    std::process::exit(code);
}
