//! What a seed's plan keeps to.

use super::*;

#[test]
fn troubles_overlap_and_keep_to_what_is_borne() {
    let mut overlapping = 0;
    for seed in 0..50 {
        let troubles = plan(seed, 20_000);
        assert_eq!(troubles, plan(seed, 20_000), "a seed gives one plan");
        for (index, one) in troubles.iter().enumerate() {
            assert!(one.from < one.until && one.until < 20_000);
            for other in &troubles[..index] {
                let at_once = other.until >= one.from;
                let both_core = matches!((one.target, other.target), (Target::Core(_), Target::Core(_)));
                assert!(!at_once || (one.target != other.target && !both_core), "seed {seed}: {one:?} {other:?}");
                overlapping += at_once as usize;
            }
        }
    }
    assert!(overlapping > 200, "{overlapping} overlaps");
}
