//! Instances whose links to the endpoints are cut, while clients, the store and other instances reach them.

mod common;
#[expect(dead_code, reason = "each test file uses only some of the helpers")]
mod partitioned;

use std::net::IpAddr;
use std::time::Duration;

use anyhow::Result;
use common::{HOST, count_runs};
use googletest::prelude::*;
use http::StatusCode;
use partitioned::Deployment;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::proxy::Cut;
use tokio::task::JoinHandle;

/// The time after the begin of a cut from which callers of all instances must be served alike.
const STABLE: Duration = Duration::from_secs(3);
/// Longer than an instance keeps idle connections.
const IDLE: Duration = Duration::from_millis(4_500);
/// The time between two requests, over all instances.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// The number of requests that are counted.
const COUNTED: usize = 200;

/// First attempts and how many of them were served.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    sent: usize,
    served: usize,
}

impl Tally {
    fn record(&mut self, is_served: bool) {
        self.sent += 1;
        self.served += usize::from(is_served);
    }

    fn served_ratio(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// Returns whether the instances that are cut off serve as the platform demands: two thirds as often as the others, or
/// with at most ten failures and one in fifty of all requests.
fn is_recovered(cut_off: Tally, others: Tally) -> bool {
    let failed = cut_off.sent - cut_off.served;
    let allowed = 10 + (cut_off.sent + others.sent) / 50;
    cut_off.served_ratio() >= others.served_ratio() * 2.0 / 3.0 || failed <= allowed
}

/// Requests to a deployment, numbered over the whole test.
struct Load {
    deployment: Deployment,
    sent: usize,
}

impl Load {
    /// Sends requests to all instances in turn, without waiting for their answers, and returns the results at the
    /// instances that are cut off and at the others.
    async fn send(&mut self, count: usize, cut_off: &[IpAddr]) -> Result<[Tally; 2]> {
        let fronts = &self.deployment.fronts;
        let mut pending: Vec<(bool, JoinHandle<bool>)> = Vec::new();
        for _ in 0..count {
            let (ip, front) = fronts[self.sent % fronts.len()];
            let request = request(self.sent);
            self.sent += 1;
            let task = tokio::spawn(async move {
                let response = client::send(front, &request).await;
                response
                    .is_ok_and(|response| response.status == StatusCode::OK && response.is_whole)
            });
            pending.push((cut_off.contains(&ip), task));
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        let mut tallies = [Tally::default(); 2];
        for (is_cut_off, task) in pending {
            tallies[usize::from(!is_cut_off)].record(task.await?);
        }
        Ok(tallies)
    }

    /// Returns how many requests that may run once ran more often.
    fn repeated_runs(&self) -> usize {
        let endpoints: Vec<&Endpoint> = self.deployment.endpoints.iter().collect();
        let ids = (0..self.sent).filter(|number| number % 3 == 1);
        ids.filter(|number| count_runs(&endpoints, &format!("r{number}")) > 1)
            .count()
    }
}

/// Returns a request by its number: one that may be repeated, one that may not, or a stream.
fn request(number: usize) -> ClientRequest {
    let id = format!("r{number}");
    let request = match number % 3 {
        0 => ClientRequest::new(&id, HOST, "/safe/x"),
        1 => ClientRequest::new(&id, HOST, "/once/x"),
        _ => ClientRequest::new(&id, HOST, "/live/").model("base/a1"),
    };
    request.timeout(Duration::from_secs(1))
}

/// Cuts off the first `count` instances, and checks what callers get once the cut has lasted for [`STABLE`].
async fn check_callers_of_cut_off_instances(count: usize, cut: Cut) -> Result<()> {
    let deployment = Deployment::start().await?;
    let cut_off: Vec<IpAddr> = deployment.fronts[..count]
        .iter()
        .map(|(ip, _)| *ip)
        .collect();
    let mut load = Load {
        deployment,
        sent: 0,
    };
    load.send(COUNTED / 2, &[]).await?;
    load.deployment.cut(0..count, cut);
    if cut == Cut::RefuseNew {
        // Until the connections that live on have been closed as idle.
        tokio::time::sleep(IDLE).await;
    }
    let before = STABLE.div_duration_f64(REQUEST_INTERVAL) as usize;
    load.send(before, &cut_off).await?;
    let [served, others] = load.send(COUNTED, &cut_off).await?;
    expect_that!(others.served_ratio(), gt(0.9));
    expect_that!(
        is_recovered(served, others),
        eq(true),
        "cut off: {served:?}, others: {others:?}"
    );
    expect_that!(load.repeated_runs(), eq(0));
    Ok(())
}

/// Guards against refusing the callers of instances whose connections to all endpoints hang, here one instance and then
/// most of a failure domain.
#[gtest]
#[tokio::test]
async fn hanging_links_one_instance() -> Result<()> {
    check_callers_of_cut_off_instances(1, Cut::Silent).await
}

/// Guards against refusing the callers of most instances of a failure domain whose connections are reset.
#[gtest]
#[tokio::test]
async fn reset_links_most_of_domain() -> Result<()> {
    check_callers_of_cut_off_instances(2, Cut::Reset).await
}

/// Guards against refusing the callers of instances whose open connections live on while new ones are refused.
#[gtest]
#[tokio::test]
async fn new_connections_refused() -> Result<()> {
    check_callers_of_cut_off_instances(2, Cut::RefuseNew).await
}
