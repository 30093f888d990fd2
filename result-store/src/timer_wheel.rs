//! A hierarchical timing wheel. The cost of an entry is constant and does not depend on the number
//! of entries.
//!
//! Each level has 64 slots, and one slot spans all slots of the level below. An entry lies in the
//! highest level at which the slot of its tick differs from the slot of the current tick. It moves
//! to lower levels as its tick comes nearer, at most five times. Each level has a bitmap of its
//! occupied slots, so advancing over empty slots costs nothing.
//!
//! Entries can't be removed. The owner of the wheel must ignore expiries that no longer apply.

use crate::Micros;

/// A tick is 2^10 microseconds (1.024 ms).
const TICK_BITS: u32 = 10;
/// Each level has 2^6 slots.
const SLOT_BITS: u32 = 6;
const SLOTS: usize = 1 << SLOT_BITS;
/// Six levels of 64 slots span 2^36 ticks, about two years. An entry that expires later goes into
/// the last slot and is placed again when the wheel reaches that slot.
const LEVELS: usize = 6;
const SPAN_TICKS: u64 = 1 << (SLOT_BITS * LEVELS as u32);

/// A timing wheel that passes keys of type `K` to its caller when they expire (hands them out).
#[derive(Debug)]
pub struct TimerWheel<K> {
    /// The tick to which the wheel has advanced. Between calls of [`TimerWheel::advance`], all
    /// entries up to and including this tick have been handed out.
    current_tick: u64,
    len: usize,
    levels: Vec<Level<K>>,
    /// Buffer for the entries of the slot that is being emptied. It is kept between calls to reuse
    /// its allocation.
    due_slot: Vec<Entry<K>>,
}

#[derive(Debug)]
struct Entry<K> {
    tick: u64,
    key: K,
}

#[derive(Debug)]
struct Level<K> {
    /// Bitmap of the slots that contain entries.
    occupied: u64,
    slots: Vec<Vec<Entry<K>>>,
}

/// The next occupied slot of a level. If the wheel reaches two slots at the same tick, the one of
/// the lower level is processed first: the derived order compares `tick` first, then `level`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct UpcomingSlot {
    tick: u64,
    level: usize,
    slot: usize,
}

impl<K> Level<K> {
    fn new() -> Self {
        Level {
            occupied: 0,
            slots: (0..SLOTS).map(|_| Vec::new()).collect(),
        }
    }
}

impl<K> TimerWheel<K> {
    /// Creates an empty wheel that starts at `now`.
    #[must_use]
    pub fn new(now: Micros) -> Self {
        TimerWheel {
            current_tick: now >> TICK_BITS,
            len: 0,
            levels: (0..LEVELS).map(|_| Level::new()).collect(),
            due_slot: Vec::new(),
        }
    }

    /// Returns the number of entries that have not been handed out.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether all entries have been handed out.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an entry that expires at `at`. It is handed out up to one tick later, never before.
    pub fn insert(&mut self, at: Micros, key: K) {
        self.len += 1;
        // Rounds up, so that no entry expires early. The current tick has already been handed out,
        // so the entry goes into the next one at the earliest.
        let tick = at.div_ceil(1 << TICK_BITS).max(self.current_tick + 1);
        self.place(Entry { tick, key });
    }

    fn place(&mut self, entry: Entry<K>) {
        let within_span = entry.tick.min(self.current_tick + SPAN_TICKS - 1);
        let differing_bits = (within_span ^ self.current_tick) | 1;
        let highest_bit = 63 - differing_bits.leading_zeros();
        let level = (highest_bit / SLOT_BITS).min(LEVELS as u32 - 1);
        let slot = (within_span >> (level * SLOT_BITS)) as usize & (SLOTS - 1);
        let Some(level) = self.levels.get_mut(level as usize) else {
            return;
        };
        level.occupied |= 1 << slot;
        if let Some(entries) = level.slots.get_mut(slot) {
            entries.push(entry);
        }
    }

    /// Returns the first occupied slot of a level after its current one.
    fn upcoming_of(&self, level: usize) -> Option<UpcomingSlot> {
        let occupied = self.levels.get(level)?.occupied;
        if occupied == 0 {
            return None;
        }
        let shift = level as u32 * SLOT_BITS;
        let current_slot = (self.current_tick >> shift) as usize & (SLOTS - 1);
        // The search begins after the current slot and wraps around. Only the last level ever
        // contains entries that lie before the current slot.
        let empty_slots_between = occupied
            .rotate_right((current_slot as u32 + 1) % SLOTS as u32)
            .trailing_zeros();
        let slots_to_next = u64::from(empty_slots_between) + 1;
        Some(UpcomingSlot {
            tick: ((self.current_tick >> shift) + slots_to_next) << shift,
            level,
            slot: (current_slot + slots_to_next as usize) & (SLOTS - 1),
        })
    }

    fn upcoming(&self) -> Option<UpcomingSlot> {
        (0..LEVELS)
            .filter_map(|level| self.upcoming_of(level))
            .min()
    }

    /// Returns the time in microseconds at which [`TimerWheel::advance`] must be called next. No
    /// entry is handed out before. Returns `None` if the wheel is empty.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Micros> {
        self.upcoming().map(|slot| slot.tick << TICK_BITS)
    }

    /// Returns the time in microseconds from `now` until [`TimerWheel::next_expiry`], or `None` if
    /// the wheel is empty.
    #[must_use]
    pub fn time_until_next(&self, now: Micros) -> Option<Micros> {
        self.next_expiry().map(|at| at.saturating_sub(now))
    }

    /// Advances the wheel to `now` and passes the keys of all expired entries to `on_expired`.
    pub fn advance(&mut self, now: Micros, mut on_expired: impl FnMut(K)) {
        let now_tick = now >> TICK_BITS;
        while let Some(upcoming) = self.upcoming().filter(|slot| slot.tick <= now_tick) {
            self.current_tick = upcoming.tick;
            let mut entries = self.take_slot(upcoming);
            for entry in entries.drain(..) {
                if entry.tick <= upcoming.tick {
                    self.len -= 1;
                    on_expired(entry.key);
                } else {
                    self.place(entry);
                }
            }
            self.due_slot = entries;
        }
        self.current_tick = self.current_tick.max(now_tick);
    }

    fn take_slot(&mut self, upcoming: UpcomingSlot) -> Vec<Entry<K>> {
        let mut entries = std::mem::take(&mut self.due_slot);
        if let Some(level) = self.levels.get_mut(upcoming.level) {
            level.occupied &= !(1 << upcoming.slot);
            if let Some(slot) = level.slots.get_mut(upcoming.slot) {
                std::mem::swap(&mut entries, slot);
            }
        }
        entries
    }
}

#[cfg(test)]
mod tests;
