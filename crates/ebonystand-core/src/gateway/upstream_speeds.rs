//! Speeds of upstreams: how long work takes now, as their answers tell, and how fast engines read for
//! good, as the VMs of the region measure. VMs tell one another both.

use super::*;
use std::ops::Bound;

impl UpstreamBook {
    /// Time between two rounds in which a relay tells all that it knows of engines' reading.
    const KNOWN_SPEEDS_INTERVAL: Duration = Duration::from_secs(1);
    /// Least prompt tokens from which reading is measured for the other VMs; with fewer, the network
    /// dominates the measured time.
    const MIN_MEASURED_TOKENS: Tokens = 600;
    /// Time constant of the average of the other VMs' prompts at an upstream.
    const PEER_LOAD_SMOOTHING: Duration = Duration::from_secs(1);

    /// Records the load that an upstream reported with an answer. Returns whether its figure of the
    /// time that work takes is ignored and worth a log line.
    pub fn record_reported_slots(
        &mut self,
        now: Duration,
        instance: &str,
        slots: ReportedSlots,
    ) -> bool {
        let is_used = self.is_enabled(Mechanism::ToldSpeeds);
        let Some(known) = self.upstreams.get_mut(instance) else {
            return false;
        };
        known.last_report = Some((now, slots));
        known.sent_since_report = 0;
        match slots.work_time {
            AnswerWorkTime::Invalid => known.momentary_speed.should_warn(now),
            AnswerWorkTime::Told(time) if is_used && known.momentary_speed.record(now, time) => {
                let heard = HeardWorkTime {
                    at: now,
                    time,
                    upstream: known.key,
                };
                self.exchange
                    .report_speeds(|queue| queue.push_work_time(heard));
                false
            }
            AnswerWorkTime::Absent | AnswerWorkTime::Told(_) => false,
        }
    }

    /// Returns what is known of the speeds of the upstreams of this region that have told or been
    /// measured.
    pub fn speeds(&self, now: Duration) -> impl Iterator<Item = UpstreamSpeedStatus> {
        let local = self.upstreams.values().filter(|known| self.is_local(known));
        local.filter_map(move |known| {
            let time = known.momentary_speed.current(now);
            let learned = known.learned_speed.per_ms();
            (time.is_some() || learned.is_some()).then(|| UpstreamSpeedStatus {
                learned_from: learned.map_or(0, |_| known.learned_speed.samples()),
                reading_speed: known.lasting_speed(),
                time_percent: time.map(|(time, _)| time.percent()),
                upstream: known.listed.instance.clone(),
            })
        })
    }

    /// Returns the number of upstreams that work slowly now, as their answers or other VMs tell.
    #[must_use]
    pub fn slow_upstreams(&self, now: Duration) -> usize {
        let told = self.upstreams.values();
        let told = told.filter_map(|known| known.momentary_speed.current(now));
        told.filter(|(time, _)| time.is_slow()).count()
    }

    /// Returns the prompt tokens that the engines of a service in this region read `within` this time
    /// if all of them work, by their lasting speeds and by what they tell of now. Engines that leave
    /// or do not answer do not count.
    #[must_use]
    pub fn readable_tokens(&self, now: Duration, service: &str, within: Duration) -> Tokens {
        let engines = self.upstreams.values().filter(|known| {
            let is_up = now >= known.backoff_until && !known.is_leaving();
            *known.listed.service == *service && is_up && self.is_local(known)
        });
        let tokens = engines.map(|known| {
            let usual = known.momentary_speed.work_done(now, within);
            known.lasting_speed() * usual.as_secs_f64() * 1_000.0
        });
        tokens.sum::<f64>() as Tokens
    }

    /// Updates the averages of the other VMs' prompts at upstreams that tell how long work takes.
    pub(super) fn average_peer_loads(&mut self, now: Duration) {
        let Self {
            exchange,
            upstreams,
            ..
        } = self;
        let telling = upstreams.values_mut();
        for known in telling.filter(|known| known.momentary_speed.is_told()) {
            let unread = exchange.load_at(known.key).unread as f64;
            let average = &mut known.others_unread;
            average.add_sample(now, unread, Self::PEER_LOAD_SMOOTHING);
        }
    }

    /// Measures reading by a prompt of `unread` tokens whose answer began `waited` after it was sent
    /// to `instance`, or never will.
    pub(super) fn measure_read(
        &mut self,
        now: Duration,
        instance: &str,
        unread: Tokens,
        waited: Option<Duration>,
    ) {
        let is_used = self.is_enabled(Mechanism::ToldSpeeds);
        let Some(known) = self.upstreams.get_mut(instance) else {
            return;
        };
        let sent_at = waited.map_or(Duration::ZERO, |waited| now.saturating_sub(waited));
        let (Some(sent), Some(waited)) = (known.take_sent_read(sent_at, unread), waited) else {
            return;
        };
        let is_measured = sent.is_sound && known.is_usual_now(now);
        if !is_used || !is_measured || unread < Self::MIN_MEASURED_TOKENS {
            return;
        }
        if let Some(speed) = ReadingSpeed::measured(unread, waited) {
            known.learned_speed.record(speed);
            let upstream = known.key;
            self.exchange
                .report_speeds(|queue| queue.push_sample(SpeedSample { speed, upstream }));
        }
    }

    /// Processes speeds that another VM of the region has told.
    pub(super) fn receive_speeds(&mut self, now: Duration, from: &VmId, news: SpeedNews) {
        if !self.is_enabled(Mechanism::ToldSpeeds) {
            return;
        }
        for sample in news.samples.into_iter().take(SpeedNews::MAX_ENTRIES) {
            if let Some(speed) = sample.speed.checked()
                && let Some(known) = self.known_by_key(sample.upstream)
            {
                known.learned_speed.record_told(speed);
                self.exchange
                    .forward_speeds(from, |queue| queue.push_sample(sample));
            }
        }
        for told in news.known.into_iter().take(SpeedNews::MAX_ENTRIES) {
            if let Some(speed) = told.speed.checked()
                && let Some(known) = self.known_by_key(told.upstream)
            {
                known.learned_speed.adopt(speed, told.samples);
            }
        }
        for told in news.work_times.into_iter().take(SpeedNews::MAX_ENTRIES) {
            let at = now.saturating_sub(Duration::from_millis(told.age_ms.into()));
            let Some(time) = told.time.checked() else {
                continue;
            };
            let heard = HeardWorkTime {
                at,
                time,
                upstream: told.upstream,
            };
            if let Some(known) = self.known_by_key(told.upstream)
                && known.momentary_speed.record_told(at, time)
            {
                self.exchange
                    .forward_speeds(from, |queue| queue.push_work_time(heard));
            }
        }
    }

    /// Queues, on a relay, from time to time all that this VM knows of engines' reading: another VM
    /// may have started since.
    pub(super) fn report_known_speeds(&mut self, now: Duration) {
        if !self.exchange.is_relay() || now < self.next_known_speeds {
            return;
        }
        let after = match self.last_known_speed.take() {
            Some(last) => Bound::Excluded(last),
            None => Bound::Unbounded,
        };
        let next = self.upstreams.range((after, Bound::Unbounded));
        let next = next.filter_map(|(instance, known)| {
            let (speed, samples) = known.learned_speed.known()?;
            let known = KnownSpeed {
                samples,
                speed,
                upstream: known.key,
            };
            Some((instance, known))
        });
        let next = next.take(SpeedNews::MAX_ENTRIES).collect::<Vec<_>>();
        match next.last() {
            Some((last, _)) if next.len() == SpeedNews::MAX_ENTRIES => {
                self.last_known_speed = Some((*last).clone());
            }
            _ => self.next_known_speeds = now + Self::KNOWN_SPEEDS_INTERVAL,
        }
        for (_, known) in next {
            self.exchange.report_speeds(|queue| queue.push_known(known));
        }
    }

    fn known_by_key(&mut self, key: UpstreamKey) -> Option<&mut KnownUpstream> {
        let instance = self.instances_by_key.get(&key)?;
        self.upstreams.get_mut(instance)
    }
}
