//! A process of the laboratory that is driven by JSON lines: a command in, an answer out.
use super::error::{ChildError, UsageError};
use super::usage;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::{BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::{Child as Process, ChildStdin, ChildStdout, Command, Stdio};

/// The process; it is killed with this.
pub struct Child {
    process: Process,
    commands: ChildStdin,
    answers: BufReader<ChildStdout>,
}

impl Child {
    /// Starts the laboratory's own program with these arguments.
    pub fn start(arguments: &[&str]) -> Result<Self, ChildError> {
        // A test is another program than the laboratory, and names it.
        let named = std::env::var_os("LARCHWAY_LAB").map(PathBuf::from);
        let program = named.map_or_else(std::env::current_exe, Ok).map_err(ChildError::Program)?;
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut process = command.spawn().map_err(|source| {
            let arguments = arguments.iter().map(ToString::to_string).collect();
            ChildError::Start { arguments, source }
        })?;
        let pipes = (process.stdin.take(), process.stdout.take());
        let (Some(commands), Some(answers)) = pipes else { return Err(ChildError::NoPipes) };
        Ok(Child { process, commands, answers: BufReader::new(answers) })
    }

    /// Gives it a command without waiting for the answer; see [`Child::answer`].
    pub fn send(&mut self, command: &impl Serialize) -> Result<(), ChildError> {
        let line = serde_json::to_string(command).map_err(ChildError::Command)?;
        writeln!(self.commands, "{line}").and_then(|()| self.commands.flush()).map_err(ChildError::Send)
    }

    /// Waits for its next answer.
    pub fn answer<T: DeserializeOwned>(&mut self) -> Result<T, ChildError> {
        let mut line = String::new();
        self.answers.read_line(&mut line).map_err(ChildError::Receive)?;
        serde_json::from_str(&line).map_err(|source| ChildError::Answer { line, source })
    }

    /// Gives it a command and waits for the answer.
    pub fn request<T: DeserializeOwned>(&mut self, command: &impl Serialize) -> Result<T, ChildError> {
        self.send(command)?;
        self.answer()
    }

    /// Microseconds of processor time it has used.
    pub fn processor_us(&self) -> Result<u64, UsageError> {
        usage::processor_us(self.process.id())
    }

    /// Bytes of memory it holds.
    pub fn resident_bytes(&self) -> Result<u64, UsageError> {
        usage::resident_bytes(self.process.id())
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
