//! The record of a run: what was sent, answered and run.

use std::fs;
use std::io::Write;
use std::path;
use std::sync;
use std::time;

/// Writes lines with the milliseconds since the start of the case.
pub struct Record {
    file: sync::Mutex<fs::File>,
    start: time::Instant,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &path::Path) -> std::io::Result<Self> {
        Ok(Self {
            file: sync::Mutex::new(fs::File::create(folder.join("record.txt"))?),
            start: time::Instant::now(),
        })
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let text = format!("{:>7} {}\n", self.now_ms(), text.as_ref());
        let mut file = self.file.lock().unwrap();
        file.write_all(text.as_bytes()).expect("record.txt");
    }

    /// Writes a line here and on standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
