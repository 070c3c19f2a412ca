//! The record of a case: what was sent, answered and run, one line each, with milliseconds since the start.
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds of Unix time.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// The record, shared by all stand-ins.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Begins a new record in a folder.
    pub fn begin(folder: &Path) -> std::io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { start: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))) })
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap_or_else(|lock| lock.into_inner());
        let _ = writeln!(file, "{:>7} {}", self.start.elapsed().as_millis(), text.as_ref());
    }

    /// Writes a line, also to the standard output.
    pub fn tell(&self, text: impl AsRef<str>) {
        println!("{:>7} {}", self.now(), text.as_ref());
        self.line(text);
    }

    /// Brings the record to its file.
    pub fn flush(&self) {
        let _ = self.file.lock().unwrap_or_else(|lock| lock.into_inner()).flush();
    }
}
