//! The distribution of response times, and what the silence of an attempt says about
//! failure.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wingspur_state::ServiceTime;

/// Returns a `ServiceTime` that has learned `responses` ratios, with logarithms uniformly
/// distributed within `half_width` around that of `centre`.
fn learned(centre: f64, half_width: f64, responses: usize) -> ServiceTime {
    let mut random = StdRng::seed_from_u64(3);
    let mut time = ServiceTime::new();
    for _ in 0..responses {
        let offset = random.random_range(-half_width..half_width);
        time.record((centre.ln() + offset).exp());
    }
    time
}

#[test]
fn a_quantile_is_the_inverse_of_the_survival() {
    let time = learned(1.2, 0.5, 200);
    for share in [0.9, 0.5, 0.1, 0.01] {
        let survival = time.survival(time.ratio_at_survival(share));
        assert!((survival - share).abs() < 1e-9, "{share}: {survival}");
    }
}

#[test]
fn the_median_and_the_spread_are_learned() {
    let narrow = learned(0.8, 0.3, 300);
    let wide = learned(0.8, 1.5, 300);
    let median = narrow.ratio_at_survival(0.5);
    assert!((0.7..0.9).contains(&median), "{median}");
    assert!(narrow.ratio_at_survival(0.05) < 1.6);
    assert!(wide.ratio_at_survival(0.05) > 2.5);
}

#[test]
fn one_straggler_does_not_stretch_what_is_usual() {
    let mut time = learned(1.0, 0.3, 100);
    let before = time.ratio_at_survival(0.05);
    time.record(20.0);
    assert!(time.ratio_at_survival(0.05) < 1.3 * before);
}

#[test]
fn silence_grows_with_age_up_to_a_whole_failure() {
    let time = learned(1.0, 0.5, 100);
    let quarters: Vec<u32> = (1..=40)
        .map(|tenths| time.silence_quarters(f64::from(tenths) / 10.0))
        .collect();
    assert!(quarters.is_sorted());
    assert_eq!((quarters[5], quarters[39]), (0, 4), "{quarters:?}");
    for step in 1..=4 {
        let ratio = time.ratio_at_quarters(step).unwrap();
        assert_eq!(time.silence_quarters(ratio * 1.001), step);
    }
    assert_eq!(time.ratio_at_quarters(5), None);
    assert_eq!(time.ratio_at_quarters(0), None);
}
