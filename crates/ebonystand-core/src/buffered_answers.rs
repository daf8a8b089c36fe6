use super::*;

/// Decides which answers a VM stops reading because it holds too many bytes of answers that it reads
/// whole before it passes them on.
///
/// The largest goes first: an answer without end soon is the largest, and answers of the usual size
/// are kept.
#[derive(Clone, Debug)]
pub struct BufferedAnswers {
    answers: FxHashMap<u64, u64>,
    limit: u64,
    total: u64,
}

impl BufferedAnswers {
    /// Bytes that a VM holds at most if its memory is not configured.
    pub const DEFAULT_LIMIT: u64 = 64 << 20;
    /// Bytes that a VM holds at most, in thousandths of its memory.
    const MEMORY_PERMILLE: u64 = 150;

    /// Creates the account of a VM with this much memory, in bytes.
    #[must_use]
    pub fn new(memory: Option<u64>) -> Self {
        let limit = memory.map(|memory| memory / 1_000 * Self::MEMORY_PERMILLE);
        Self {
            answers: FxHashMap::default(),
            limit: limit.unwrap_or(Self::DEFAULT_LIMIT).max(1),
            total: 0,
        }
    }

    /// Records how many bytes are held of an answer. Returns the answers to stop reading, the largest
    /// first, until the VM's limit holds without them.
    pub fn set(&mut self, answer: u64, bytes: u64) -> Vec<u64> {
        let before = self.answers.insert(answer, bytes).unwrap_or(0);
        self.total = self.total - before + bytes;
        let mut stopped = Vec::new();
        while self.total > self.limit {
            let largest = self
                .answers
                .iter()
                .max_by_key(|(id, bytes)| (**bytes, **id));
            let Some(largest) = largest.map(|(id, _)| *id) else {
                break;
            };
            self.remove(largest);
            stopped.push(largest);
        }
        stopped
    }

    /// Forgets an answer that is no longer held.
    pub fn remove(&mut self, answer: u64) {
        if let Some(bytes) = self.answers.remove(&answer) {
            self.total -= bytes;
        }
    }

    /// Returns the number of bytes that are held.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.total
    }
}
