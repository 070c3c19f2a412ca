//! The processes of the program under test: start, signals, log and end.
use super::expectations::soon;
use super::{Scenario, PATIENCE};
use signal_hook::consts::SIGKILL;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::ExitStatusExt;
use std::process::{Child, Command, ExitStatus};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

pub(super) struct Started {
    pub(super) child: Child,
    pub(super) front: SocketAddr,
    pub(super) second: SocketAddr,
    pub(super) console: Option<SocketAddr>,
    pub(super) logged: Receiver<String>,
}

/// Starts the program, and waits until it listens; `occupied`: what holds its address until that was noticed.
pub(super) fn started(command: &mut Command, calls: bool, mut occupied: Option<TcpListener>) -> Started {
    let mut child = command.spawn().expect("starts");
    let ((found, addresses), (line_logged, logged)) = (channel(), channel());
    let (called, callers) = channel();
    let log = child.stderr.take().expect("a log");
    std::thread::spawn(move || {
        for line in std::io::BufRead::lines(std::io::BufReader::new(log)).map_while(Result::ok) {
            eprintln!("{line}");
            if line.contains("it is tried again") {
                drop(occupied.take());
            }
            if let Some((_, address)) = line.split_once("operators may call at ") {
                let _ = called.send(address.parse::<SocketAddr>().expect("an address"));
            }
            if let Some((_, address)) = line.split_once("listening on ") {
                let _ = found.send(address.parse::<SocketAddr>().expect("an address"));
            }
            let _ = line_logged.send(line);
        }
    });
    let next = || addresses.recv_timeout(PATIENCE).expect("it listens");
    let (front, second) = (next(), next());
    let console = calls.then(|| callers.recv_timeout(PATIENCE).expect("operators may call"));
    Started { child, front, second, console, logged }
}

pub(super) fn exit(child: &mut Child, code: i32) {
    assert_eq!(ended(child).code(), Some(code));
}

/// Waits until a process has ended and its descriptors are closed.
pub(super) fn ended(child: &mut Child) -> ExitStatus {
    let end = Instant::now() + PATIENCE;
    loop {
        if let Some(status) = child.try_wait().expect("waits") {
            return status;
        }
        assert!(Instant::now() < end, "it does not exit");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Private memory of a process in kB; none if it has ended.
fn private_kilobytes_of(process: &Child) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id())).ok()?;
    let private = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    private.trim().trim_end_matches(" kB").parse().ok()
}

impl Scenario {
    /// Starts the next process: at the address of the one before while that is there, else at a free one. The address of
    /// a process that has ended may be taken by any other program of this machine.
    fn start_next(&mut self) {
        let has_ended = self.child.try_wait().expect("its state").is_some();
        let address = if has_ended { "127.0.0.1:0".to_string() } else { self.front.to_string() };
        let program = self.program.as_mut().expect("a console");
        let new = started(program.env("EDGE_LISTEN", address), true, None);
        self.old = Some(std::mem::replace(&mut self.child, new.child));
        (self.front, self.second) = (new.front, new.second);
        (self.console, self.logged) = (new.console, new.logged);
    }

    /// A line on the program's processes and files. Returns whether it is one.
    pub(super) fn play_process_line(&mut self, line: &str, words: &[&str], head: &str) -> bool {
        match words {
            ["wait", ms] => std::thread::sleep(Duration::from_millis(ms.parse().expect("a number"))),
            [signal @ ("term" | "hup")] => self.signal(&signal.to_uppercase()),
            ["pause"] => {
                self.signal("STOP");
                let stat = format!("/proc/{}/stat", self.child.id());
                let end = Instant::now() + PATIENCE;
                while !std::fs::read_to_string(&stat).expect("its state").contains(") T ") {
                    assert!(Instant::now() < end, "it does not stand still");
                }
            }
            ["resume"] => self.signal("CONT"),
            ["put", name, ..] => {
                let text = head.split_once(name).expect("a name").1.trim_start();
                let (path, _) = self.files.get(*name).expect("a file");
                std::fs::write(path, text).expect("writes");
            }
            ["edit", name, ..] => {
                let (from, to) = head[6 + name.len()..].split_once(" => ").expect("A => B");
                self.replace(name, from, to);
            }
            ["descriptors", end] => {
                let all = 0..end.parse::<usize>().expect("a number");
                let folder = format!("/proc/{}/fd", self.child.id());
                soon(line, || {
                    all.clone().all(|one| std::fs::symlink_metadata(format!("{folder}/{one}")).is_ok())
                });
            }
            ["kill"] => {
                self.child.kill().expect("kills");
                assert_eq!(ended(&mut self.child).signal(), Some(SIGKILL), "it was killed");
            }
            ["exit", code] => exit(&mut self.child, code.parse().expect("a code")),
            ["start"] => self.start_next(),
            ["old", "exit", code] => {
                exit(self.old.as_mut().expect("an old one"), code.parse().expect("a code"));
            }
            // The kernel closes the sockets of a killed process one by one, so that the other processes may know of its
            // end while its listener still takes clients into a queue that nobody serves. Once it can be waited for, all
            // are closed.
            ["old", "kill"] => {
                let old = self.old.as_mut().expect("an old one");
                old.kill().expect("kills");
                let signal = ended(old).signal();
                assert_eq!(signal, Some(SIGKILL), "it was killed");
            }
            ["old", signal] => {
                let id = self.old.as_ref().expect("an old one").id();
                let line = format!("kill -{} {id}", signal.to_uppercase());
                assert!(Command::new("sh").args(["-c", &line]).status().expect("kills").success());
            }
            _ => return false,
        }
        true
    }

    /// Puts other text in the place of this in a file of the program's.
    pub fn replace(&mut self, name: &str, from: &str, to: &str) {
        let (path, text) = self.files.get_mut(name).expect("a file");
        assert!(text.contains(from), "there is no such text: {from}");
        *text = text.replace(from, to);
        std::fs::write(path, text).expect("writes");
    }

    /// How many lines hold these words before one with those of the end is logged.
    pub fn logged_until(&mut self, end: &str, words: &str) -> usize {
        let mut count = 0;
        loop {
            let line = self.logged.recv_timeout(PATIENCE).expect("the last line is logged");
            if line.contains(end) {
                return count;
            }
            count += usize::from(line.contains(words));
        }
    }

    /// The next line logged that holds these words.
    pub fn logged(&mut self, words: &str) -> String {
        loop {
            let line = self.logged.recv_timeout(PATIENCE).expect("it is logged");
            if line.contains(words) {
                return line;
            }
        }
    }

    pub(super) fn signal(&self, name: &str) {
        let line = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &line]).status().expect("kills").success());
    }

    /// How many descriptors the program has open.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("its descriptors").count()
    }

    /// Memory that the program alone uses, in kB: what limits count.
    pub fn private_kilobytes(&self) -> usize {
        private_kilobytes_of(&self.child).expect("a figure")
    }

    /// Memory that its processes take together, in kB, without what a process shares with others.
    pub fn private_kilobytes_of_all(&self) -> usize {
        let processes = self.old.iter().chain([&self.child]);
        processes.filter_map(private_kilobytes_of).sum()
    }

    /// Ticks of the processor that the program has used (a hundred a second).
    pub fn ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("its state");
        let fields: Vec<&str> = stat.rsplit_once(')').expect("a name").1.split_whitespace().collect();
        [11, 12].iter().map(|at| fields[*at].parse::<u64>().expect("a number")).sum()
    }
}
