//! Random choice of a server when the known workloads of the servers are stale.
//!
//! If all instances send to the server that was least busy at the last report, they overload it
//! together. The work that arrives before the next report is therefore distributed by
//! water-filling: it raises the least busy servers to a common level, and a server is drawn with a
//! probability proportional to its distance below that level. The older the reports, the higher the
//! level and the more even the draw; with fresh reports the least busy server is drawn. (Dahlin,
//! Interpreting Stale Load Information, 2000.)

/// Returns the index of the drawn server, or `None` if there are no servers. `costs` holds the cost
/// of each server in seconds, `arriving_work` is the work in seconds that arrives at all of them
/// before the next report, and `draw` is a random number in `0..1`.
#[must_use]
pub fn draw(costs: &[f64], arriving_work: f64, draw: f64) -> Option<usize> {
    let level = level(costs, arriving_work);
    let rooms = costs.iter().map(|cost| (level - cost).max(0.0));
    let mut remaining = draw * rooms.clone().sum::<f64>();
    for (index, room) in rooms.enumerate() {
        remaining -= room;
        if remaining < 0.0 {
            return Some(index);
        }
    }
    let numbered = costs.iter().enumerate();
    let least = numbered.min_by(|(_, a), (_, b)| a.total_cmp(b));
    least.map(|(index, _)| index)
}

/// Returns the level, in seconds, to which the arriving work raises the least busy servers.
fn level(costs: &[f64], arriving_work: f64) -> f64 {
    let mut sorted = costs.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (mut filled, mut count, mut level) = (0.0, 0.0, f64::INFINITY);
    for cost in sorted {
        if cost >= level {
            break;
        }
        filled += cost;
        count += 1.0;
        level = (arriving_work + filled) / count;
    }
    level
}
