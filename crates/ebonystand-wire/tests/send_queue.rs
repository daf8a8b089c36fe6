//! Tests of the queue of messages to be sent to another VM.

use {
    ebonystand_core::{
        CachedPrefix, FeedMessage, LimitNews, LoadMessage, UnderWay, UpstreamKey, UpstreamLimit,
        UpstreamLoads,
    },
    ebonystand_wire::{PeerMessage, SendQueue},
};

/// Returns the loads of 300 upstreams of a region, each with `requests` requests in flight.
fn uniform_loads(requests: u32) -> UpstreamLoads {
    let load = UnderWay {
        requests,
        unread: 10_000,
    };
    (0..300)
        .map(|number| (UpstreamKey::from(format!("i-{number}").as_str()), load))
        .collect()
}

fn region_message(included: u32, cached: Vec<CachedPrefix>) -> PeerMessage {
    PeerMessage::Load(LoadMessage::Region {
        cached,
        included,
        region_latencies: Vec::new(),
        under_way: uniform_loads(included),
    })
}

fn cached_prefix(number: u64) -> CachedPrefix {
    CachedPrefix {
        homes: None,
        instance: "i-1".into(),
        prefix: number,
    }
}

/// Guards against a relay that runs out of memory: while its link is saturated, it queues seconds of load
/// messages, each made obsolete by the next.
#[test]
fn a_newer_state_of_the_load_takes_the_place_of_one_that_waits() {
    let mut queue = SendQueue::default();
    for number in 0..1_000 {
        assert!(queue.push(region_message(
            number,
            vec![cached_prefix(u64::from(number))]
        )));
    }
    assert_eq!(queue.len(), 1);
    assert!(queue.bytes() <= SendQueue::MAX_SHORT_BYTES);
    let Some(PeerMessage::Load(LoadMessage::Region {
        cached, included, ..
    })) = queue.pop()
    else {
        panic!("a state of the load");
    };
    assert_eq!(included, 999);
    let prefixes: Vec<u64> = cached.iter().map(|cached| cached.prefix).collect();
    assert_eq!(prefixes, (0..1_000).collect::<Vec<u64>>());
    assert!(queue.is_empty());
    assert_eq!(queue.bytes(), 0);
}

/// Guards against a limit that is forgotten, or a queue that grows, while the link to a VM is saturated.
#[test]
fn news_of_limits_that_wait_become_one_message_of_bounded_length() {
    let limit = UpstreamLimit::parse("5.7").ok();
    let news = |number: u64| LimitNews {
        age_ms: number,
        limit,
        upstream: UpstreamKey::from(format!("i-{number}").as_str()),
    };
    let mut queue = SendQueue::default();
    for number in 0..500 {
        let news = vec![news(number)];
        assert!(queue.push(PeerMessage::Load(LoadMessage::Limits { news })));
    }
    assert_eq!(queue.len(), 1);
    let Some(PeerMessage::Load(LoadMessage::Limits { news: waiting })) = queue.pop() else {
        panic!("news of limits");
    };
    let newest = (500 - waiting.len() as u64..500).map(news);
    assert_eq!(waiting, newest.collect::<Vec<_>>());
    assert!((2..=64).contains(&waiting.len()), "{}", waiting.len());
}

/// Guards against the end of a limit that is undone by older news waiting for the same link.
#[test]
fn newer_news_of_a_limit_takes_the_place_of_older_ones() {
    let mut queue = SendQueue::default();
    for limit in [UpstreamLimit::parse("5").ok(), None] {
        let news = vec![LimitNews {
            age_ms: 0,
            limit,
            upstream: "i-1".into(),
        }];
        queue.push(PeerMessage::Load(LoadMessage::Limits { news }));
    }
    let Some(PeerMessage::Load(LoadMessage::Limits { news })) = queue.pop() else {
        panic!("news of limits");
    };
    let limits: Vec<_> = news.iter().map(|news| news.limit).collect();
    assert_eq!(limits, [None]);
}

/// Guards against a lease or a heartbeat that is delayed behind a copy of a large configuration.
#[test]
fn a_short_message_does_not_wait_behind_long_ones() {
    let mut queue = SendQueue::default();
    for after in 0..3 {
        queue.push(PeerMessage::Feed(Box::new(FeedMessage::Pull { after })));
    }
    queue.push(PeerMessage::Confirm { stamp: 1 });
    assert_eq!(queue.pop(), Some(PeerMessage::Confirm { stamp: 1 }));
    let first = PeerMessage::Feed(Box::new(FeedMessage::Pull { after: 0 }));
    assert_eq!(queue.pop(), Some(first));
}

/// Guards against a queue that grows without limit while the other VM reads nothing.
#[test]
fn what_waits_is_bounded_in_bytes() {
    let mut queue = SendQueue::default();
    let cached = || PeerMessage::Cached((0..1_000).map(cached_prefix).collect());
    let long = (0..10_000).filter(|_| queue.push(cached())).count();
    let short = (0..100_000)
        .filter(|_| queue.push(PeerMessage::Confirm { stamp: u64::MAX }))
        .count();
    assert!(long > 10 && short > 1_000, "{long}, {short}");
    assert!(queue.bytes() <= SendQueue::MAX_LONG_BYTES + SendQueue::MAX_SHORT_BYTES);
    queue.clear();
    assert!(queue.is_empty());
}
