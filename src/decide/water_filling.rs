//! Which of several servers gets a request, where what is known of them is old.
//!
//! Whoever sends to the least busy server of old news sends where all others send too. What arrives
//! before the next news fills servers up like water: it raises the least busy ones to one level. So a
//! server is drawn with a chance that follows how far it lies below that level. The older the news, the
//! higher the level and the more even the draw; with no news to wait for, the least busy one is drawn.
//! (Dahlin, Interpreting Stale Load Information, 2000.)

/// Draws one of some servers by their costs, in seconds; `arriving` is the work, in seconds, that comes to
/// all of them before the next news, and `draw` lies in `0..1`. None where there are none.
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

/// The level to which work fills the servers up.
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
