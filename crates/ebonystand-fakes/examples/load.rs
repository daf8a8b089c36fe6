//! Load generator that sends completions at a fixed rate and prints percentiles of the time to their first
//! byte and to their end. With `--entry` it fetches the gateway's entry list, as callers do, and refreshes
//! it throughout the run.

use {
    clap::{Arg, Command, value_parser},
    futures_util::StreamExt as _,
    hdrhistogram::Histogram,
    std::{
        cell::RefCell,
        rc::Rc,
        time::{Duration, Instant},
    },
};

const DEFAULT_BODY: &str = r#"{"model":"drafter","max_tokens":8,"stream":true,"messages":[{"role":"user","content":"x"}]}"#;
/// Number of requests that are sent first and left out of the latencies.
const WARM_UP_REQUESTS: u64 = 200;
/// Upper bound of the recorded latencies, in microseconds.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// Results of a run: the failed requests, and latencies in microseconds.
struct RunResults {
    failed: u64,
    /// Time to the first byte.
    first_byte: Histogram<u64>,
    /// Time to the end of the answer.
    whole: Histogram<u64>,
}

/// Parameters of a run, with the URLs that its requests are spread over.
struct LoadPlan {
    body: String,
    count: u64,
    key: String,
    rate: u64,
    urls: RefCell<Vec<String>>,
}

fn main() {
    let text = |name| Arg::new(name).long(name);
    let matches = Command::new("load")
        .arg(Arg::new("url").num_args(0..))
        .arg(text("entry"))
        .arg(text("body").default_value(DEFAULT_BODY))
        .arg(
            text("count")
                .value_parser(value_parser!(u64))
                .default_value("5000"),
        )
        .arg(text("key").default_value(""))
        .arg(
            text("rate")
                .value_parser(value_parser!(u64))
                .default_value("1000"),
        )
        .get_matches();
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let string = |name| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let plan = LoadPlan {
        body: string("body"),
        count: number("count"),
        key: string("key"),
        rate: number("rate"),
        urls: RefCell::new(
            matches
                .get_many("url")
                .into_iter()
                .flatten()
                .cloned()
                .collect(),
        ),
    };
    let entry = matches.get_one::<String>("entry").cloned();
    actix_rt::System::new().block_on(async move {
        let plan = Rc::new(plan);
        if let Some(entry) = entry {
            refresh_urls(&plan, &entry).await;
            actix_rt::spawn(refresh_urls_periodically(Rc::clone(&plan)));
        }
        run_load(plan).await;
    });
}

/// Answer of `/v1/entry`: the VMs that callers should use.
#[derive(serde::Deserialize)]
struct EntryList {
    entries: Vec<Entry>,
}

/// VM in the entry list.
#[derive(serde::Deserialize)]
struct Entry {
    address: std::net::SocketAddr,
}

/// Replaces the URLs by the entry list of the VM at `base`. Keeps them if the VM does not answer or its list
/// is empty.
async fn refresh_urls(plan: &LoadPlan, base: &str) {
    let req = awc::Client::new()
        .get(format!("{base}/v1/entry"))
        .bearer_auth(&plan.key);
    let Ok(mut response) = req.send().await else {
        return;
    };
    let Ok(list) = response.json::<EntryList>().await else {
        return;
    };
    if !list.entries.is_empty() {
        let urls = list.entries.iter();
        let urls = urls.map(|entry| format!("http://{}/v1/chat/completions", entry.address));
        plan.urls.replace(urls.collect());
    }
}

/// Refreshes the URLs every 200 ms from each VM that they name.
async fn refresh_urls_periodically(plan: Rc<LoadPlan>) {
    loop {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        let urls = plan.urls.borrow().clone();
        for url in urls {
            refresh_urls(&plan, url.trim_end_matches("/v1/chat/completions")).await;
        }
    }
}

/// Sends all requests of the plan on schedule and prints the results.
async fn run_load(plan: Rc<LoadPlan>) {
    let histogram = || {
        Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3)
            .unwrap_or_else(|_| unreachable!("the bounds are allowed"))
    };
    let results = Rc::new(RefCell::new(RunResults {
        failed: 0,
        first_byte: histogram(),
        whole: histogram(),
    }));
    let connector = awc::Connector::new().limit(4_096);
    let client = awc::Client::builder()
        .connector(connector)
        .disable_timeout()
        .finish();
    let started = Instant::now();
    let mut tasks = Vec::new();
    for n in 0..plan.count + WARM_UP_REQUESTS {
        let due = started
            + Duration::from_secs(1) * u32::try_from(n).unwrap_or(u32::MAX)
                / u32::try_from(plan.rate).unwrap_or(1);
        actix_rt::time::sleep_until(due.into()).await;
        let (client, results, plan) = (client.clone(), Rc::clone(&results), Rc::clone(&plan));
        tasks.push(actix_rt::spawn(async move {
            let url = {
                let urls = plan.urls.borrow();
                urls[n as usize % urls.len()].clone()
            };
            send_request(&client, &plan, &url, &results, n >= WARM_UP_REQUESTS).await;
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    let results = results.borrow();
    let micros = |histogram: &Histogram<u64>| {
        [0.5, 0.95, 0.99, 0.999].map(|q| histogram.value_at_quantile(q))
    };
    println!(
        "sent {} at {}/s, failed {}, first byte p50/p95/p99/p99.9 us {:?}, whole {:?}",
        plan.count,
        plan.rate,
        results.failed,
        micros(&results.first_byte),
        micros(&results.whole),
    );
}

/// Sends one request and records its latencies if `is_recorded` is set. An answer without a final `[DONE]` event
/// counts as failed.
async fn send_request(
    client: &awc::Client,
    plan: &LoadPlan,
    url: &str,
    results: &RefCell<RunResults>,
    is_recorded: bool,
) {
    let started = Instant::now();
    let req = client.post(url).bearer_auth(&plan.key);
    let req = req.insert_header(("content-type", "application/json"));
    let mut first = None;
    let mut tail = Vec::new();
    if let Ok(mut response) = req.send_body(plan.body.clone()).await {
        while let Some(Ok(chunk)) = response.next().await {
            first.get_or_insert_with(|| started.elapsed());
            tail = chunk.to_vec();
        }
    }
    let whole = started.elapsed();
    let mut results = results.borrow_mut();
    if !tail.ends_with(b"data: [DONE]\n\n") {
        results.failed += 1;
        return;
    }
    if is_recorded {
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        results
            .first_byte
            .saturating_record(micros(first.unwrap_or(whole)));
        results.whole.saturating_record(micros(whole));
    }
}
