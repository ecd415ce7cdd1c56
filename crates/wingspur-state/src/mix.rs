//! Spreads keys for choices that all boxes compute alike.

/// Spreads a key over all bits (the finaliser of SplitMix64).
pub fn mix(key: u64) -> u64 {
    let key = (key ^ (key >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let key = (key ^ (key >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    key ^ (key >> 31)
}
