use {
    super::*, ebonystand_core::BufferedAnswers, segmented_buffer::SegmentedBuffer, std::mem,
    tokio::sync::Notify,
};

/// Bounds the memory of answers that this VM reads whole before it passes them on.
pub(crate) struct AnswerBuffers {
    answers: RefCell<BufferedAnswers>,
    next_id: Cell<u64>,
    stops: RefCell<FxHashMap<u64, Rc<Notify>>>,
}

/// An answer that is being read whole.
pub(crate) struct AnswerBuffer {
    buf: SegmentedBuffer,
    buffers: Rc<AnswerBuffers>,
    id: u64,
    limit: usize,
    /// Notified if the answer must be given up.
    stop: Rc<Notify>,
}

/// Reason why an answer is not read whole.
#[derive(Debug, Snafu)]
pub(crate) enum AnswerTooLarge {
    #[snafu(display("the answer is larger than {limit} bytes"))]
    Limit { limit: usize },
    #[snafu(display("the answer is given up after {len} bytes: too much is read whole at once"))]
    Stopped { len: usize },
}

impl AnswerBuffers {
    pub(crate) fn new(memory: Option<u64>) -> Rc<Self> {
        Rc::new(Self {
            answers: RefCell::new(BufferedAnswers::new(memory)),
            next_id: Cell::new(0),
            stops: RefCell::default(),
        })
    }

    /// Begins to read an answer of up to `limit` bytes.
    pub(crate) fn open(self: &Rc<Self>, limit: usize) -> AnswerBuffer {
        self.next_id.set(self.next_id.get() + 1);
        let id = self.next_id.get();
        let stop = Rc::<Notify>::default();
        self.stops.borrow_mut().insert(id, Rc::clone(&stop));
        AnswerBuffer {
            buf: SegmentedBuffer::default(),
            buffers: Rc::clone(self),
            id,
            limit,
            stop,
        }
    }

    fn set(&self, id: u64, bytes: usize) {
        let stopped = self.answers.borrow_mut().set(id, bytes as u64);
        if stopped.is_empty() {
            return;
        }
        log::warn!(
            answers = stopped.len(), held_bytes = self.answers.borrow().total();
            "answers given up: too much is read whole at once"
        );
        let stops = self.stops.borrow();
        let stops = stopped.iter().filter_map(|id| stops.get(id));
        stops.for_each(|stop| stop.notify_one());
    }
}

impl AnswerBuffer {
    /// Waits for the next bytes of the answer from `next`.
    ///
    /// # Errors
    /// [`AnswerTooLarge::Stopped`] if the answer must be given up meanwhile.
    pub(crate) async fn wait<T>(&self, next: impl Future<Output = T>) -> Result<T, AnswerTooLarge> {
        let len = self.buf.len();
        tokio::select! {
            biased;
            () = self.stop.notified() => StoppedSnafu { len }.fail(),
            next = next => Ok(next),
        }
    }

    /// Adds the next bytes of the answer.
    ///
    /// # Errors
    /// [`AnswerTooLarge::Limit`] if the answer is too large.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), AnswerTooLarge> {
        let limit = self.limit;
        ensure!(self.buf.len() + bytes.len() <= limit, LimitSnafu { limit });
        self.buf.extend_from_slice(bytes);
        self.buffers.set(self.id, self.buf.capacity());
        Ok(())
    }

    /// Returns the whole answer.
    pub(crate) fn finish(mut self) -> Bytes {
        mem::take(&mut self.buf).into_bytes()
    }
}

impl Drop for AnswerBuffer {
    fn drop(&mut self) {
        self.buffers.stops.borrow_mut().remove(&self.id);
        self.buffers.answers.borrow_mut().remove(self.id);
    }
}
