//! The share of work that an endpoint gets by its speed.

/// The limit on how much more or less than a typical endpoint one gets.
const MAX_RATIO: f64 = 4.0;

/// Returns the typical time to read one prompt token, in milliseconds: the median.
pub fn typical_read_ms(mut all: Vec<f64>) -> Option<f64> {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied()
}

/// Returns the share of an endpoint that reads a prompt token in `read_ms`, relative to a typical one.
///
/// It is a power of two, so that estimates that vary a little, or differ between instances, give the same share.
pub fn share(read_ms: f64, typical_read_ms: f64) -> f64 {
    let ratio = typical_read_ms / read_ms;
    if !ratio.is_finite() {
        return 1.0;
    }
    ratio
        .clamp(1.0 / MAX_RATIO, MAX_RATIO)
        .log2()
        .round()
        .exp2()
}
