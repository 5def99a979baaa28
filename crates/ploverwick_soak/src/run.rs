//! A run: a deployment, clients and disruptions.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use anyhow::Result;
use ploverwick_platform_standin::faulty::Behaviour;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::client;
use crate::deployment::{Deployment, Programs};
use crate::plan::{Plan, Scope};
use crate::verdict::Verdict;

/// How long endpoints may still begin to run requests after the clients have ended.
const LATE_RUNS: Duration = Duration::from_secs(3);

/// The load of a run.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// The number of clients for each gateway.
    pub clients_per_gateway: usize,
    /// How the endpoints work.
    pub behaviour: Behaviour,
}

impl Load {
    /// More requests than the endpoints have slots and queues for.
    pub const CROWD: Self = Self {
        clients_per_gateway: 16,
        behaviour: Behaviour {
            slots: 2,
            queue: 2,
            work_ms: 40,
            drops_abandoned: true,
        },
    };
    /// Room for all requests.
    pub const CALM: Self = Self {
        clients_per_gateway: 8,
        behaviour: Behaviour {
            slots: 16,
            queue: 16,
            work_ms: 30,
            drops_abandoned: true,
        },
    };
}

/// Runs a plan, and judges what the clients and the endpoints saw.
///
/// # Errors
/// Fails if the deployment cannot be started.
pub async fn run(scope: Scope, load: Load, plan: Plan, programs: Programs) -> Result<Verdict> {
    let deployment = Deployment::start(scope, load.behaviour, programs).await?;
    let begun = Instant::now();
    let mut disruptions = JoinSet::new();
    for (at, disruption) in plan.0 {
        let deployment = Arc::clone(&deployment);
        disruptions.spawn(async move {
            tokio::time::sleep_until(begun + at).await;
            deployment.disrupt(disruption).await
        });
    }
    let numbers = Arc::new(AtomicU64::new(1));
    let mut clients = JoinSet::new();
    for index in 0..scope.gateways * load.clients_per_gateway {
        let seed = scope.seed.wrapping_mul(10_000) + index as u64;
        let numbers = Arc::clone(&numbers);
        clients.spawn(client::run(
            seed,
            deployment.fronts(),
            numbers,
            begun + scope.traffic,
        ));
    }
    let attempts = clients.join_all().await.concat();
    for result in disruptions.join_all().await {
        result?;
    }
    tokio::time::sleep(LATE_RUNS).await;
    let runs = deployment.stop().await;
    Ok(Verdict::of(&attempts, &runs))
}
