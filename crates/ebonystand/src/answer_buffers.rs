use {
    super::*, ebonystand_core::BufferedAnswers, segmented_buffer::SegmentedBuffer,
    tokio::sync::Notify,
};

/// Bounds the memory of answers that this VM reads whole before it passes them on.
pub(crate) struct AnswerBuffers {
    answers: RefCell<BufferedAnswers>,
    next_id: Cell<u64>,
    open: RefCell<FxHashMap<u64, Rc<OpenAnswer>>>,
}

/// An answer that is being read whole.
pub(crate) struct AnswerBuffer {
    answer: Rc<OpenAnswer>,
    buffers: Rc<AnswerBuffers>,
    id: u64,
    limit: usize,
}

/// What is held of an answer.
#[derive(Default)]
struct OpenAnswer {
    buf: RefCell<SegmentedBuffer>,
    /// Notified if the answer must be given up.
    stop: Notify,
}

/// Reason why an answer is not read whole.
#[derive(Debug, Snafu)]
pub(crate) enum AnswerTooLarge {
    #[snafu(display("the answer is larger than {limit} bytes"))]
    Limit { limit: usize },
    #[snafu(display("the answer is given up: too much is read whole at once"))]
    Stopped,
}

impl AnswerBuffers {
    pub(crate) fn new(memory: Option<u64>) -> Rc<Self> {
        Rc::new(Self {
            answers: RefCell::new(BufferedAnswers::new(memory)),
            next_id: Cell::new(0),
            open: RefCell::default(),
        })
    }

    /// Begins to read an answer of up to `limit` bytes.
    pub(crate) fn open(self: &Rc<Self>, limit: usize) -> AnswerBuffer {
        self.next_id.set(self.next_id.get() + 1);
        let id = self.next_id.get();
        let answer = Rc::<OpenAnswer>::default();
        self.open.borrow_mut().insert(id, Rc::clone(&answer));
        AnswerBuffer {
            answer,
            buffers: Rc::clone(self),
            id,
            limit,
        }
    }

    fn set(&self, id: u64, bytes: usize) {
        let stopped = self.answers.borrow_mut().set(id, bytes as u64);
        if stopped.is_empty() {
            return;
        }
        let open = self.open.borrow();
        let stopped = stopped.iter().filter_map(|id| open.get(id));
        let lens = stopped.map(|answer| answer.give_up()).collect::<Vec<_>>();
        log::warn!(
            answers = lens.len(), given_up_bytes = lens.iter().sum::<usize>(),
            held_bytes = self.answers.borrow().total();
            "answers given up: too much is read whole at once"
        );
    }
}

impl OpenAnswer {
    /// Has the answer's task give it up, and returns how many bytes were read of it. Its memory is released at once,
    /// because the task may run only after others have read more.
    fn give_up(&self) -> usize {
        self.stop.notify_one();
        self.buf.take().len()
    }
}

impl AnswerBuffer {
    /// Waits for the next bytes of the answer from `next`.
    ///
    /// # Errors
    /// [`AnswerTooLarge::Stopped`] if the answer must be given up meanwhile.
    pub(crate) async fn wait<T>(&self, next: impl Future<Output = T>) -> Result<T, AnswerTooLarge> {
        tokio::select! {
            biased;
            () = self.answer.stop.notified() => StoppedSnafu.fail(),
            next = next => Ok(next),
        }
    }

    /// Adds the next bytes of the answer.
    ///
    /// # Errors
    /// [`AnswerTooLarge::Limit`] if the answer is too large.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), AnswerTooLarge> {
        let limit = self.limit;
        let mut buf = self.answer.buf.borrow_mut();
        ensure!(buf.len() + bytes.len() <= limit, LimitSnafu { limit });
        buf.extend_from_slice(bytes);
        let capacity = buf.capacity();
        drop(buf);
        self.buffers.set(self.id, capacity);
        Ok(())
    }

    /// Returns the whole answer.
    pub(crate) fn finish(self) -> Bytes {
        self.answer.buf.take().into_bytes()
    }
}

impl Drop for AnswerBuffer {
    fn drop(&mut self) {
        self.buffers.open.borrow_mut().remove(&self.id);
        self.buffers.answers.borrow_mut().remove(self.id);
    }
}
