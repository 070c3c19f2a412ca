//! An adapter that runs many independent routers behind the simulator's line protocol on standard input and output.
mod error;
mod wire;

use error::{LineError, ServeError};
use larchway::{Action, MonotonicTime, Router};
use std::any::Any;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use wire::{Line, Message};

/// All routers of this process by instance name. They share no state.
type Routers = BTreeMap<String, Router>;

fn main() -> ExitCode {
    // Panics are reported on the wire; the default hook would also print them to standard error.
    std::panic::set_hook(Box::new(|_| {}));
    match serve(io::stdin().lock(), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("larchway-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Handles the lines of the input until it ends.
fn serve(mut input: impl BufRead, mut out: impl Write) -> Result<(), ServeError> {
    let (mut routers, mut actions) = (Routers::new(), Vec::new());
    let (mut now, mut in_batch) = (MonotonicTime::MIN, false);
    let mut who = String::new();
    let (mut text, mut rows) = (Vec::new(), None);
    loop {
        text.clear();
        if input.read_until(b'\n', &mut text).map_err(ServeError::Read)? == 0 {
            return if in_batch { Err(ServeError::EndedWithinBatch) } else { Ok(()) };
        }
        let line = std::str::from_utf8(&text)
            .map_err(|_| ServeError::NotUtf8(String::from_utf8_lossy(&text).trim_end().to_string()))?;
        let line = line.trim_end_matches(['\n', '\r']);
        if line.is_empty() {
            continue;
        }
        let malformed = |error: LineError| ServeError::Malformed { error, line: line.to_string() };
        let parsed = Line::parse(line).map_err(malformed)?;
        let message = Message::read(&parsed, now, &mut rows).map_err(malformed)?;
        if in_batch == matches!(message, Message::Batch(_)) {
            return Err(malformed(if in_batch { LineError::BatchOpen } else { LineError::NoBatchOpen }));
        }
        match message {
            Message::Batch(at) => {
                (now, in_batch) = (at, true);
                who.clear();
            }
            Message::Select(name) => name.clone_into(&mut who),
            Message::Flush => {
                in_batch = false;
                out.write_all(b"ACK\n").and_then(|()| out.flush()).map_err(ServeError::Write)?;
            }
            Message::More => {}
            _ if who.is_empty() => return Err(malformed(LineError::NoInstanceSelected)),
            Message::Crash => {
                routers.remove(&who);
            }
            Message::Create(settings, seed) => {
                routers.insert(who.clone(), Router::new(*settings, seed));
            }
            Message::Event(event) => {
                let Some(router) = routers.get_mut(&who) else {
                    return Err(malformed(LineError::UnknownInstance(who)));
                };
                actions.clear();
                let handled = catch_unwind(AssertUnwindSafe(|| router.handle(now, event, &mut actions)));
                let panic_text = handled.err().map(|cause| panic_message(cause.as_ref()));
                write_actions(&mut out, &who, &actions, panic_text).map_err(ServeError::Write)?;
            }
        }
    }
}

/// The message of a panic, on one line.
fn panic_message(cause: &(dyn Any + Send)) -> String {
    let text = cause.downcast_ref::<String>().map(String::as_str);
    text.or(cause.downcast_ref::<&str>().copied()).unwrap_or("panic").replace('\n', " ")
}

/// Writes the actions of an instance, and the message of a panic if there was one.
fn write_actions(
    out: &mut impl Write,
    who: &str,
    actions: &[Action],
    panic_text: Option<String>,
) -> io::Result<()> {
    if actions.is_empty() && panic_text.is_none() {
        return Ok(());
    }
    writeln!(out, "AS who={who}")?;
    for action in actions {
        wire::write_action(out, action)?;
    }
    panic_text.map_or(Ok(()), |text| writeln!(out, "BUG noteText={text}"))
}

#[cfg(test)]
mod tests;
