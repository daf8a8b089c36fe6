//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Writes lines with the time since the start of the case.
#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        let start = Instant::now();
        Ok(Self(Arc::new(Inner { file, start })))
    }

    pub fn now(&self) -> Duration {
        self.0.start.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.0.file.lock().unwrap();
        writeln!(file, "{at:8.3}  {text}").unwrap();
    }

    /// Writes a line that the one who runs the script sees as well.
    pub fn tell(&self, text: &str) {
        self.line(text);
        println!("{:8.3}  {text}", self.now().as_secs_f64());
    }
}
