//! Speaks the simulator's line protocol on standard input and output for many independent routers.
mod wire;

use larchway::{Action, Router};
use std::any::Any;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use wire::{Line, Message};

/// All routers hosted here, by name. They share nothing.
type Routers = BTreeMap<String, Router>;

fn main() -> ExitCode {
    // A panic is reported on the wire; the default hook would repeat it on standard error.
    std::panic::set_hook(Box::new(|_| {}));
    match serve(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("larchway-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

fn serve(mut input: impl BufRead, mut out: impl Write) -> Result<(), String> {
    let (mut routers, mut actions) = (Routers::new(), Vec::new());
    let (mut now, mut in_batch) = (0, false);
    let mut who = String::new();
    let (mut text, mut rows) = (Vec::new(), None);
    loop {
        text.clear();
        if input.read_until(b'\n', &mut text).map_err(|e| format!("cannot read input: {e}"))? == 0 {
            return if in_batch { Err("input ended within a batch".into()) } else { Ok(()) };
        }
        let line = std::str::from_utf8(&text).map_err(|_| {
            format!("malformed line (not UTF-8): {}", String::from_utf8_lossy(&text).trim_end())
        })?;
        let line = line.trim_end_matches(['\n', '\r']);
        if line.is_empty() {
            continue;
        }
        let wrong = |why: String| format!("malformed line ({why}): {line}");
        let parsed = Line::parse(line).map_err(wrong)?;
        let message = Message::read(&parsed, now, &mut rows).map_err(wrong)?;
        if in_batch == matches!(message, Message::Batch(_)) {
            return Err(wrong(if in_batch { "a batch is open" } else { "no batch is open" }.into()));
        }
        match message {
            Message::Batch(at) => {
                (now, in_batch) = (at, true);
                who.clear();
            }
            Message::Select(name) => name.clone_into(&mut who),
            Message::Flush => {
                in_batch = false;
                out.write_all(b"ACK\n")
                    .and_then(|()| out.flush())
                    .map_err(|e| format!("cannot write: {e}"))?;
            }
            Message::More => {}
            _ if who.is_empty() => return Err(wrong("no instance is selected".into())),
            Message::Crash => {
                routers.remove(&who);
            }
            Message::Create(settings, seed) => {
                routers.insert(who.clone(), Router::new(*settings, seed));
            }
            Message::Event(event) => {
                let Some(router) = routers.get_mut(&who) else {
                    return Err(wrong(format!("{who} was never created")));
                };
                actions.clear();
                let told = catch_unwind(AssertUnwindSafe(|| router.handle(now, event, &mut actions)));
                let bug = told.err().map(|cause| text_of(cause.as_ref()));
                write_actions(&mut out, &who, &actions, bug).map_err(|e| format!("cannot write: {e}"))?;
            }
        }
    }
}

/// The text of a panic, on one line.
fn text_of(cause: &(dyn Any + Send)) -> String {
    let text = cause.downcast_ref::<String>().map(String::as_str);
    text.or(cause.downcast_ref::<&str>().copied()).unwrap_or("panic").replace('\n', " ")
}

fn write_actions(out: &mut impl Write, who: &str, actions: &[Action], bug: Option<String>) -> io::Result<()> {
    if actions.is_empty() && bug.is_none() {
        return Ok(());
    }
    writeln!(out, "AS who={who}")?;
    for action in actions {
        wire::write_action(out, action)?;
    }
    bug.map_or(Ok(()), |text| writeln!(out, "BUG noteText={text}"))
}

#[cfg(test)]
mod tests;
