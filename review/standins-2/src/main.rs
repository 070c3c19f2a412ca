//! The stand-ins of the cases 6 to 10: `standins-2 CASE ROOT FOLDER`. Exits with 1 if the rule of the case was broken,
//! 0 if it held, 2 if the case could not run. With TROUBLE=0 the disruption is left out.
mod bulletin;
mod cases;
mod client;
mod gateway;
mod operator;
mod record;
mod store;
mod world;

use std::path::Path;
use std::time::Duration;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &arguments[..] else {
        eprintln!("usage: standins-2 CASE ROOT FOLDER");
        std::process::exit(2);
    };
    // The gateways end with this process.
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(115));
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let code = match cases::play(case, Path::new(root), Path::new(folder), trouble) {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Ok(Verdict::NotRun(why)) => {
            eprintln!("the case could not run: {why}");
            2
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            2
        }
    };
    std::process::exit(code);
}
