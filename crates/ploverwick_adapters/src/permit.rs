//! Permits the loads that use the weight store.

/// Which pending loads of an endpoint may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Permit {
    /// Only loads of adapters that the endpoint has cached; these do not use the weight store.
    Cached,
    /// Also loads of adapters of which no endpoint holds a copy.
    First,
    /// All loads.
    All,
}
