//! Loss of an availability zone: what callers get while the list still names its upstreams.

use super::*;

const VMS: usize = 40;
const UPSTREAMS_OF_A_ZONE: u16 = 400;
/// Time that a VM waits for a connection to an upstream that is dark.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(10);

/// State of the upstreams of zone `a-1`.
#[derive(Clone, Copy)]
enum FirstZone {
    /// They accept no connection.
    Dark,
    /// Others have started at their addresses, which the list does not name yet.
    Replaced,
    Sound,
}

/// Simulated VMs of region `a` and the upstreams of its two zones.
struct Region {
    books: Vec<UpstreamBook>,
    first_zone: FirstZone,
    now: Duration,
    /// Attempts that have not ended: when they do, by which VM, at which upstream.
    open: Vec<(Duration, usize, Box<str>, AttemptEnd)>,
    /// Requests sent by the VMs, in turn.
    sent: u64,
}

impl Region {
    fn new() -> Self {
        let upstreams = (0..2 * UPSTREAMS_OF_A_ZONE).map(|number| {
            let zone = if number % 2 == 0 { "a-1" } else { "a-2" };
            listed(&format!("u{number:04}"), zone, number)
        });
        let upstreams = upstreams.collect::<Vec<_>>();
        let names = (0..VMS).map(name).collect::<Vec<_>>();
        let mut books = names
            .iter()
            .map(|vm| book_of(vm, upstreams.clone()))
            .collect::<Vec<_>>();
        for book in &mut books {
            book.set_vms(ms(0), &region_vms(names.iter().cloned()));
        }
        Self {
            books,
            first_zone: FirstZone::Sound,
            now: ms(0),
            open: Vec::new(),
            sent: 0,
        }
    }

    /// Lets each VM send a request every 280 ms for `time`, and returns the share of requests that
    /// were sent to an upstream of zone `a-1`.
    fn share_sent_to_first_zone(&mut self, time: Duration) -> f64 {
        let (mut sent, mut to_first) = (0, 0);
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.end_attempts();
            if self.now.as_millis().is_multiple_of(100) {
                self.exchange_loads();
            }
            // 40 VMs that send every 280 ms send one request every 7 ms together.
            while u128::from(self.sent) * 7 < self.now.as_millis() {
                sent += 1;
                to_first += u64::from(self.send());
            }
        }
        to_first as f64 / sent as f64
    }

    /// Sends a request and returns whether it went to zone `a-1`.
    fn send(&mut self) -> bool {
        let vm = self.sent as usize % VMS;
        let prompt = prompt(self.sent * 31 % 997, self.sent);
        self.sent += 1;
        let sets = Sets::default();
        let query = sets.query(Some(&prompt));
        let choice = self.books[vm].choose_target(self.now, &query);
        let Some(instance) = instance(&choice).map(Box::<str>::from) else {
            panic!("{choice:?}");
        };
        self.books[vm].record_sent(self.now, &query, &instance, 0);
        let number = instance[1..].parse::<u16>().expect("a number");
        let is_first = number % 2 == 0;
        let (end, wait) = match self.first_zone {
            FirstZone::Dark if is_first => (AttemptEnd::Unreachable, CONNECT_TIMEOUT),
            FirstZone::Replaced if is_first => (AttemptEnd::AddressReused, ms(5)),
            _ => (AttemptEnd::Answered, ms(60)),
        };
        self.open.push((self.now + wait, vm, instance, end));
        is_first
    }

    /// Lets the list name the upstreams that have started at the addresses of others.
    fn list_again(&mut self) {
        let renamed = (0..2 * UPSTREAMS_OF_A_ZONE).step_by(2).map(|number| {
            let instance = format!("v{number:04}");
            (
                listed(&instance, "a-1", number),
                format!("u{number:04}").into(),
            )
        });
        let (changed, removed): (Vec<_>, Vec<_>) = renamed.unzip();
        for book in &mut self.books {
            book.change_list(self.now, changed.clone(), &removed);
        }
    }

    fn end_attempts(&mut self) {
        let now = self.now;
        let ended = self.open.extract_if(.., |(at, ..)| *at <= now);
        for (at, vm, instance, end) in ended.collect::<Vec<_>>() {
            self.books[vm].record_attempt_end(at, &instance, end, ms(60));
        }
    }

    fn exchange_loads(&mut self) {
        for vm in 0..VMS {
            for (to, message) in self.books[vm].build_load_messages(self.now) {
                let to = (0..VMS).find(|number| *name(*number) == *to);
                let to = to.expect("a VM of the region");
                let from = name(vm).into();
                self.books[to].receive_load_message(self.now, &from, message);
            }
        }
    }
}

fn name(vm: usize) -> String {
    format!("vm{vm:02}")
}

/// Guards against a region whose VMs find out for each upstream of a lost zone by a request of its
/// own that it is gone: with hundreds of upstreams and seconds until the list names them no more,
/// half of the region's callers would wait for a connection in vain, and once the zone has power
/// again, be refused by servers that the list does not name.
#[test]
fn the_upstreams_of_a_lost_zone_are_passed_over_before_the_list_changes() {
    let mut region = Region::new();
    let before = region.share_sent_to_first_zone(ms(3_000));
    assert!((0.4..0.6).contains(&before), "{before}");
    region.first_zone = FirstZone::Dark;
    region.share_sent_to_first_zone(CONNECT_TIMEOUT + ms(500));
    let noticed = region.share_sent_to_first_zone(ms(4_000));
    println!("to the lost zone: {noticed:.3} of the requests");
    assert!(noticed < 0.15, "{noticed}");
    region.first_zone = FirstZone::Replaced;
    let replaced = region.share_sent_to_first_zone(ms(3_000));
    println!("to servers that the list does not name: {replaced:.3} of the requests");
    assert!(replaced < 0.15, "{replaced}");
    region.first_zone = FirstZone::Sound;
    region.list_again();
    region.share_sent_to_first_zone(ms(2_500));
    let after = region.share_sent_to_first_zone(ms(3_000));
    assert!(after > 0.4, "its return is noticed: {after}");
}

/// Upstreams that crash here and there are no lost zone, and neither are those of a small region.
#[test]
fn a_few_upstreams_that_are_unreachable_are_no_lost_zone() {
    let sets = Sets::default();
    let upstreams = (0..20).map(|number| listed(&format!("u{number}"), "a-1", number));
    let mut book = book(upstreams.collect());
    let query = sets.query(None);
    for n in 0..100 {
        let now = ms(n * 10);
        let choice = book.choose_target(now, &query);
        let TargetChoice::Upstream {
            instance, is_sound, ..
        } = choice
        else {
            panic!("{choice:?}");
        };
        assert!(is_sound);
        book.record_sent(now, &query, &instance, 0);
        let end = match n % 3 {
            0 => AttemptEnd::Unreachable,
            _ => AttemptEnd::Answered,
        };
        book.record_attempt_end(now, &instance, end, ms(5));
    }
}
