//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start of the case.
pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates the record at a path.
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("a record file");
        Record {
            start: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        }
    }

    /// Returns the time since the start, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let now_ms = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now_ms:>7} ms  {text}");
        let _ = file.flush();
    }

    /// Writes a line, and prints it.
    pub fn say(&self, text: &str) {
        println!("{:>7} ms  {text}", self.now_ms());
        self.line(text);
    }
}
