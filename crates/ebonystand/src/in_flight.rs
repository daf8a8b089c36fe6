use super::*;

/// One thing that runs, counted until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight(Rc<Cell<usize>>);

impl InFlight {
    /// Counts one more, unless `limit` are counted already.
    pub(crate) fn enter(count: &Rc<Cell<usize>>, limit: usize) -> Option<Self> {
        if count.get() >= limit {
            return None;
        }
        count.set(count.get() + 1);
        Some(Self(Rc::clone(count)))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
