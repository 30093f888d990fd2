//! A hierarchical timing wheel: expiries at a constant cost an entry, however many there are.
//!
//! Each level has 64 slots, and each slot of a level spans the whole level below. An entry lies in
//! the lowest level that distinguishes its tick from now, and moves down as that comes nearer, five
//! times at most. A bit for each slot says whether it holds anything, so that empty time costs
//! nothing.
//!
//! Entries can't be removed: their owner ignores an expiry that no longer applies.

use crate::Micros;

/// A tick is 2^10 microseconds, 1.024 ms.
const TICK_BITS: u32 = 10;
/// Each level has 2^6 slots.
const SLOT_BITS: u32 = 6;
const SLOTS: usize = 1 << SLOT_BITS;
/// Six levels of 64 slots span 2^36 ticks, two years. What expires later waits in the last slot and
/// is placed anew when that comes up.
const LEVELS: usize = 6;
const SPAN_TICKS: u64 = 1 << (SLOT_BITS * LEVELS as u32);

/// Expiries of entries `K`.
#[derive(Debug)]
pub struct TimerWheel<K> {
    /// All entries before this tick have been handed out.
    current_tick: u64,
    len: usize,
    levels: Vec<Level<K>>,
    /// The entries of the slot that is being emptied; kept between calls for its allocation.
    due_slot: Vec<Entry<K>>,
}

#[derive(Debug)]
struct Entry<K> {
    tick: u64,
    key: K,
}

#[derive(Debug)]
struct Level<K> {
    /// A bit for each slot that holds anything.
    occupied: u64,
    slots: Vec<Vec<Entry<K>>>,
}

/// The next slot of a level that comes up. Of two at the same tick the lower level goes first.
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

    /// How many entries have not been handed out.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no entry is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an entry, which expires at `at` or up to a tick later, never before.
    pub fn insert(&mut self, at: Micros, key: K) {
        self.len += 1;
        // Rounded up, and never into the tick that has been handed out.
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

    /// The first occupied slot of a level after the current one.
    fn upcoming_of(&self, level: usize) -> Option<UpcomingSlot> {
        let occupied = self.levels.get(level)?.occupied;
        if occupied == 0 {
            return None;
        }
        let shift = level as u32 * SLOT_BITS;
        let current_slot = (self.current_tick >> shift) as usize & (SLOTS - 1);
        // Slots are used in a circle that begins after the current one (only the last level ever
        // comes round).
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

    /// When to call [`TimerWheel::advance`] next: no entry expires before. `None` if there is none.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Micros> {
        self.upcoming().map(|slot| slot.tick << TICK_BITS)
    }

    /// How long it is from `now` until [`TimerWheel::next_expiry`], in microseconds.
    #[must_use]
    pub fn time_until_next(&self, now: Micros) -> Option<Micros> {
        self.next_expiry().map(|at| at.saturating_sub(now))
    }

    /// Hands out all entries that have expired at `now`.
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
