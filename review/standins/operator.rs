//! The platform's operator.

use crate::{http, record::Record, world::World};
use std::{net::SocketAddr, time::Duration};

/// Time after which the operator turns to another machine.
const PATIENCE: Duration = Duration::from_secs(1);

pub struct Operator<'a> {
    pub record: &'a Record,
    pub world: &'a World,
}

impl Operator<'_> {
    /// Sends an order to machines one after the other, as named, until it is acknowledged. Returns when that was.
    pub fn order(&self, what: &str, body: &str, machines: &[&str]) -> Option<Duration> {
        for turn in 0..12 {
            let machine = machines[turn % machines.len()];
            let to = self.world.control(self.world.get(machine));
            self.record
                .line(&format!("operator sends {what} to {machine}"));
            let status = self.send(to, what, body);
            self.record
                .tell(&format!("operator: {what} at {machine}: {status}"));
            match status.parse::<u16>() {
                Ok(200..=299) => return Some(self.record.now()),
                Ok(400 | 409 | 412 | 413 | 422) => return None,
                _ => std::thread::sleep(Duration::from_millis(100 * turn.min(5) as u64)),
            }
        }
        None
    }

    fn send(&self, to: SocketAddr, what: &str, body: &str) -> String {
        let headers: &[_] = match body.is_empty() {
            true => &[],
            false => &[("Content-Type", "application/json")],
        };
        match http::call(to, what, headers, body.as_bytes(), PATIENCE) {
            Ok(answer) => answer.status().to_string(),
            Err(error) => format!("no answer ({})", error.kind()),
        }
    }
}

/// A configuration with one plain service behind one route.
pub fn configuration(version: u64, kind: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-orders","host":"review.example","path_prefix":"/orders/","kind":"{kind}","timeout_ms":8000,"target_latency_ms":500,"priority":1,"service":"orders","max_attempts":2,"public":false,"session_affinity":false,"resumable":false,"gap_aim_ms":0,"home_regions":[]}}],"services":[{{"name":"orders","health_path":"/health","max_connections":100,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"tenant-a","api_keys":["k9n73hh2b9wu3fexd9dn"],"priority":1,"unit":"token_count","plain_tokens":200,"rate_per_s":529335,"burst":529335,"home_regions":[]}}]}}"#
    )
}
