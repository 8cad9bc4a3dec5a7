//! An allocator that counts what one thread has allocated, so that the memory of one input can be measured.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

thread_local! {
    static NOW: Cell<usize> = const { Cell::new(0) };
    static PEAK: Cell<usize> = const { Cell::new(0) };
}

/// The system's allocator, counted by thread.
pub struct CountingAllocator;

fn add(bytes: usize) {
    NOW.set(NOW.get().wrapping_add(bytes));
    PEAK.set(PEAK.get().max(NOW.get()));
}

// SAFETY: every call goes on to the system's allocator as it came; counting touches no memory of the caller's.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        add(layout.size());
        // SAFETY: the caller keeps to the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, place: *mut u8, layout: Layout) {
        NOW.set(NOW.get().saturating_sub(layout.size()));
        // SAFETY: the caller keeps to the contract of `dealloc`.
        unsafe { System.dealloc(place, layout) }
    }

    unsafe fn realloc(&self, place: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        NOW.set(NOW.get().saturating_sub(layout.size()));
        add(size);
        // SAFETY: the caller keeps to the contract of `realloc`.
        unsafe { System.realloc(place, layout, size) }
    }
}

/// The most bytes that this thread had allocated during a piece of work, beyond what it had before. Zero in a program
/// that doesn't use [`CountingAllocator`].
pub fn peak_of(work: impl FnOnce()) -> usize {
    let before = NOW.get();
    PEAK.set(before);
    work();
    PEAK.get().saturating_sub(before)
}
