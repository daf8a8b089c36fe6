use super::*;

/// Lasting reading speed of an engine, learned from the prompts of all VMs of the region.
///
/// A prompt waits in its engine for others that the VM has not heard of, so its tokens divided by its
/// time are mostly less than the engine's speed, and now and then more, if the engine cached more of it
/// than the VM knew. The speed is therefore a high quantile of the samples rather than their average,
/// which would follow how long the engine's queue is. A sample moves it by a step of bounded length,
/// however far off it is.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LearnedSpeed {
    /// Whether other VMs have told anything.
    is_told: bool,
    /// Speed in prompt tokens per millisecond; 0 before the first sample.
    per_ms: f64,
    /// Samples that the speed rests on, up to [`Self::MAX_SAMPLES`].
    samples: u8,
}

impl LearnedSpeed {
    /// Samples from which on more of them do not make the speed move less.
    const MAX_SAMPLES: u8 = 24;
    /// Samples from which on the speed is used.
    const MIN_SAMPLES: u8 = 3;
    /// Share of the samples that are below the speed.
    const QUANTILE: f64 = 0.8;
    /// Largest step of a sample, as the logarithm of the change; it is divided by the number of samples.
    const STEP: f64 = 1.2;

    /// Returns the speed in prompt tokens per millisecond; `None` while other VMs have told nothing
    /// or too little is known.
    pub(crate) fn per_ms(&self) -> Option<f64> {
        let is_used = self.is_told && self.samples >= Self::MIN_SAMPLES;
        is_used.then_some(self.per_ms)
    }

    /// Returns the number of samples that the speed rests on.
    pub(crate) fn samples(&self) -> u8 {
        self.samples
    }

    /// Returns all that is known, for VMs that know less.
    pub(crate) fn known(&self) -> Option<(ReadingSpeed, u8)> {
        let is_known = self.samples >= Self::MIN_SAMPLES;
        is_known.then(|| (ReadingSpeed::rounded(self.per_ms), self.samples))
    }

    /// Records a sample of one of this VM's prompts.
    pub(crate) fn record(&mut self, sample: ReadingSpeed) {
        let sample = sample.per_ms();
        self.samples = (self.samples + 1).min(Self::MAX_SAMPLES);
        if self.samples == 1 {
            self.per_ms = sample;
            return;
        }
        let step = Self::STEP / f64::from(self.samples);
        let log = match sample > self.per_ms {
            true => (step * Self::QUANTILE).min((sample / self.per_ms).ln()),
            false => (-step * (1.0 - Self::QUANTILE)).max((sample / self.per_ms).ln()),
        };
        self.per_ms *= log.exp();
    }

    /// Records a sample that another VM has told.
    pub(crate) fn record_told(&mut self, sample: ReadingSpeed) {
        self.is_told = true;
        self.record(sample);
    }

    /// Adopts all that another VM knows if that rests on many more samples.
    pub(crate) fn adopt(&mut self, speed: ReadingSpeed, samples: u8) {
        self.is_told = true;
        if samples / 2 > self.samples {
            self.per_ms = speed.per_ms();
            self.samples = samples.min(Self::MAX_SAMPLES);
        }
    }
}
