//! Another writer adds an entry that can't be read to the platform's list, and servers are replaced afterwards.

use crate::{
    Verdict,
    clients::Clients,
    operator::{Operator, configuration},
    record::Record,
    servers::{List, Server},
    world::{Class, REGIONS, World, server_ip},
};
use std::{net::SocketAddr, sync::Arc, sync::atomic::Ordering, thread::sleep, time::Duration};

const DRAIN: Duration = Duration::from_millis(5_000);
const LAG: Duration = Duration::from_millis(800);
/// Time for which a server that leaves serves on.
const SERVED_ON: Duration = Duration::from_secs(9);
/// An entry in which one byte is none of UTF-8.
const FOREIGN: &[u8] =
    b"{\"id\":\"i-\xff7f3a91c2\",\"service\":\"inventory\",\"zone\":\"utara-a\"}";

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let mut world = World::new(record, 1);
    let list = List::default();
    let start = |region: usize, number: u8, world: &World| -> Arc<Server> {
        let address = SocketAddr::from((server_ip(region, number), world.server_port()));
        let name = REGIONS[region];
        let (id, zone) = (format!("i-{name}-{number}"), format!("{name}-a"));
        let work = Duration::from_millis(300);
        let server = Server::start(record, &id, address, "orders", &zone, work, 800);
        list.add(&server);
        server
    };
    let mut servers = Vec::new();
    for region in 0..REGIONS.len() {
        for number in 1..=2 {
            servers.push(start(region, number, &world));
        }
    }
    list.serve(world.cloud());
    world.start_all();
    sleep(Duration::from_secs(4));
    let operator = Operator {
        record,
        world: &world,
    };
    let core = world
        .of(Class::Core)
        .map(|machine| &*machine.name)
        .collect::<Vec<_>>();
    if operator
        .order(
            "POST /ebonystand/config/replace",
            &configuration(3, "non_idempotent"),
            &core,
        )
        .is_none()
    {
        return Verdict::Unusable;
    }
    if !world.wait_ready(Duration::from_secs(20)) {
        return Verdict::Unusable;
    }
    let clients = Clients::start(record, &world, Duration::from_millis(200));
    sleep(Duration::from_secs(5));
    if trouble {
        record.tell("another writer adds an entry that can't be read to the list");
        list.add_foreign(FOREIGN);
    }
    sleep(Duration::from_secs(3));
    // Half of the servers are replaced: in each region the new one starts, then an old one drains.
    let mut leaving = Vec::new();
    for region in 0..REGIONS.len() {
        let new = start(region, 3, &world);
        servers.push(new);
        sleep(Duration::from_millis(500));
        let old = Arc::clone(&servers[2 * region]);
        old.draining.store(true, Ordering::SeqCst);
        record.tell(&format!("the list shows {} as draining", old.id));
        leaving.push((old, record.now()));
        sleep(Duration::from_millis(500));
    }
    for (old, since) in &leaving {
        sleep((*since + SERVED_ON).saturating_sub(record.now()));
        old.end();
    }
    sleep(Duration::from_secs(10));
    let outcomes = clients.stop();
    let late = |server: &Server, since: Duration| {
        let runs = server.runs();
        runs.into_iter()
            .filter(move |run| run.at > since + LAG + DRAIN)
            .collect::<Vec<_>>()
    };
    let late = leaving
        .iter()
        .flat_map(|(old, since)| late(old, *since))
        .collect::<Vec<_>>();
    let lost = late.iter().filter(|run| {
        let outcome = outcomes
            .iter()
            .find(|outcome| outcome.request == run.request);
        !outcome.is_some_and(|outcome| outcome.status == 200)
    });
    let lost = lost.count();
    let new = servers[6..]
        .iter()
        .map(|server| server.runs().len())
        .sum::<usize>();
    let served = outcomes
        .iter()
        .filter(|outcome| outcome.status == 200)
        .count();
    record.tell(&format!(
        "requests: {}, answered with 200: {served}; run by the new servers: {new}",
        outcomes.len()
    ));
    record.tell(&format!(
        "DRAIN: requests that reached a server over {} ms after the list showed that it drains: {}; of these without a success: {lost}",
        DRAIN.as_millis() + LAG.as_millis(),
        late.len(),
    ));
    match (late.len(), served) {
        (_, 0) => Verdict::Unusable,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
