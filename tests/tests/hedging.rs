//! When a second attempt is sent beside a silent one.

use std::time::Duration;

use wingspur_state::{HedgeInputs, ServiceTime, hedge_delay};

/// A route whose answers spread by a third, long before its target.
fn inputs() -> HedgeInputs {
    let mut service_time = ServiceTime::new();
    for ratio in [0.6, 0.8, 1.0, 1.2, 1.6].repeat(20) {
        service_time.record(ratio);
    }
    HedgeInputs {
        failure_probability: 0.04,
        expected: Duration::from_millis(200),
        service_time,
        time_to_latency_target: Duration::from_secs(5),
        budget_used_ratio: 0.0,
    }
}

#[test]
fn a_doubtful_server_is_given_less_time() {
    let after = |failure_share| {
        hedge_delay(&HedgeInputs {
            failure_probability: failure_share,
            ..inputs()
        })
    };
    assert!(after(0.3) < after(0.1));
    assert!(after(0.1) < after(0.02));
    let (least, most) = (after(1.0), after(0.0));
    assert!(least > Duration::from_millis(200), "{least:?}");
    assert!(most < Duration::from_secs(1), "{most:?}");
}

#[test]
fn a_scarce_budget_waits_longer() {
    let after = |spent_share| {
        hedge_delay(&HedgeInputs {
            budget_used_ratio: spent_share,
            ..inputs()
        })
    };
    assert!(after(0.0) < after(0.5));
    assert!(after(0.5) < after(1.0));
    assert_eq!(after(1.0), after(7.0), "no more than all can be spent");
}

#[test]
fn the_second_is_in_time_for_the_target_while_the_budget_is_ample() {
    let after = |target_ms, spent_share| {
        hedge_delay(&HedgeInputs {
            time_to_latency_target: Duration::from_millis(target_ms),
            budget_used_ratio: spent_share,
            ..inputs()
        })
    };
    let patient = after(5000, 0.0);
    let pressed = after(550, 0.0);
    assert!(pressed < patient, "{pressed:?} {patient:?}");
    assert!(pressed + Duration::from_millis(250) <= Duration::from_millis(550));
    let scarce = after(5000, 0.6);
    assert_eq!(after(550, 0.6), scarce, "the target does not count then");
    let hopeless = after(100, 0.0);
    assert!(hopeless > Duration::from_millis(200), "{hopeless:?}");
}
