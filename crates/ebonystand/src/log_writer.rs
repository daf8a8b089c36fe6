use super::*;
use std::{
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    thread,
};

/// Writes lines on a thread of its own, so that no request waits for whoever reads them. A reader
/// that is slow or gone loses lines.
#[derive(Debug)]
pub(crate) struct LogWriter {
    tx: SyncSender<Item>,
}

#[derive(Debug)]
enum Item {
    Flush(SyncSender<()>),
    Line(String),
}

impl LogWriter {
    /// Time for which lines are gathered into one write: a wake-up and a system call for each line
    /// would cost more than making it.
    const GATHER: Duration = Duration::from_millis(20);
    /// Longest wait for the last lines of a process.
    const LAST: Duration = Duration::from_millis(500);
    /// Lines that wait at most, some hundred bytes each.
    const QUEUE: usize = 2_048;

    pub(crate) fn start(out: Box<dyn Write + Send>) -> io::Result<Self> {
        let (tx, rx) = sync_channel(Self::QUEUE);
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write(out, &rx))?;
        Ok(Self { tx })
    }

    /// Waits until the lines so far are written.
    pub(crate) fn flush(&self) {
        let (done, rx) = sync_channel(1);
        // A queue that stays full has a reader that stands still; its lines are lost.
        if self.tx.try_send(Item::Flush(done)).is_ok() {
            let _ = rx.recv_timeout(Self::LAST);
        }
    }

    /// Hands a line over; false if it is lost.
    pub(crate) fn line(&self, line: String) -> bool {
        match self.tx.try_send(Item::Line(line)) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }
}

fn write(mut out: Box<dyn Write + Send>, rx: &Receiver<Item>) {
    let mut text = String::new();
    while let Ok(first) = rx.recv() {
        let mut flushed = Vec::new();
        let mut take = |item, text: &mut String| match item {
            Item::Flush(done) => flushed.push(done),
            Item::Line(line) => {
                text.push_str(&line);
                text.push('\n');
            }
        };
        let is_line = matches!(first, Item::Line(_));
        take(first, &mut text);
        if is_line {
            thread::sleep(LogWriter::GATHER);
        }
        while let Ok(item) = rx.try_recv() {
            take(item, &mut text);
        }
        // Without a reader there is nobody to tell that the lines are lost.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        text.clear();
        for done in flushed {
            let _ = done.send(());
        }
    }
}
