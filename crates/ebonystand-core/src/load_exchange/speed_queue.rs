use super::*;

/// Speeds of upstreams that wait for the next message.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpeedQueue {
    known: Vec<KnownSpeed>,
    /// Time from which on samples are told again.
    next_samples: Duration,
    samples: Vec<SpeedSample>,
    work_times: Vec<HeardWorkTime>,
}

impl SpeedQueue {
    /// Time between two messages with samples; one for each engine is enough.
    const SAMPLES_INTERVAL: Duration = Duration::from_millis(250);

    /// Queues the reading of a prompt, in place of an older one of the engine.
    pub(crate) fn push_sample(&mut self, sample: SpeedSample) {
        self.samples
            .retain(|other| other.upstream != sample.upstream);
        if self.samples.len() < SpeedNews::MAX_ENTRIES {
            self.samples.push(sample);
        }
    }

    /// Queues all that this VM knows of an engine's reading.
    pub(crate) fn push_known(&mut self, known: KnownSpeed) {
        if self.known.len() < SpeedNews::MAX_ENTRIES {
            self.known.push(known);
        }
    }

    /// Queues how long work takes at an upstream, in place of an older figure.
    pub(crate) fn push_work_time(&mut self, heard: HeardWorkTime) {
        self.work_times
            .retain(|other| other.upstream != heard.upstream);
        if self.work_times.len() < SpeedNews::MAX_ENTRIES {
            self.work_times.push(heard);
        }
    }

    /// Takes the message; `None` if there is nothing to tell yet.
    pub(crate) fn take_message(&mut self, now: Duration) -> Option<LoadMessage> {
        let mut samples = Vec::new();
        if now >= self.next_samples && !self.samples.is_empty() {
            self.next_samples = now + Self::SAMPLES_INTERVAL;
            samples = std::mem::take(&mut self.samples);
        }
        let work_times = self.work_times.drain(..);
        let news = SpeedNews {
            known: std::mem::take(&mut self.known),
            samples,
            work_times: work_times.map(|heard| heard.into_news(now)).collect(),
        };
        (!news.is_empty()).then_some(LoadMessage::Speeds { news })
    }
}
