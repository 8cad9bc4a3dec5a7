//! The rows of keys in an answer to a heartbeat.

use std::time::Duration;
use timetable::fleet::Beat;
use timetable::shards::{AssignedRange, KeyRange, ShardMap};
use trackbed::logs::escape;

/// The longest answer to a heartbeat that is sure to be taken is 4 KiB; this much of it may be rows.
const MOST_BYTES: usize = 3 << 10;

/// What an endpoint is to hold, as the answer to its heartbeat says it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeartbeatRows(Vec<AssignedRange>);

impl HeartbeatRows {
    /// The ranges that the ordered state gives to the endpoint, as many as an answer has room for; a handover only while
    /// the endpoint has not taken it. Nothing for one that leaves.
    pub fn of(shards: Option<&ShardMap>, beat: &Beat) -> Self {
        let Some(shards) = shards.filter(|_| !beat.instance.draining) else { return Self::default() };
        let has = |range: KeyRange, fence: u64| beat.holds.iter().any(|(held, by)| *by == fence && held.covers(range));
        let mut rows = shards.assignment_of(&beat.instance.id).held;
        for row in rows.iter_mut().filter(|row| has(row.range, row.fence)) {
            row.handover.clear();
        }
        let mut bytes = 0;
        rows.retain(|row| {
            bytes += written_row(row).len() + 1;
            bytes <= MOST_BYTES
        });
        Self(rows)
    }

    /// The keys.
    pub fn ranges(&self) -> impl Iterator<Item = KeyRange> {
        self.0.iter().map(|row| row.range)
    }

    /// The fields `holds` and `hold_s`, without braces.
    pub fn written(&self, hold: Duration) -> String {
        let rows: Vec<String> = self.0.iter().map(written_row).collect();
        format!("\"holds\":[{}],\"hold_s\":{:.3}", rows.join(","), hold.as_secs_f64())
    }
}

fn written_row(row: &AssignedRange) -> String {
    let AssignedRange { range, fence, handover } = row;
    format!("[{},{},{fence},\"{}\"]", range.first(), range.last(), escape(handover))
}
