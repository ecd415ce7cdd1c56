//! Delay after which a hedge is sent: it follows the server's failure probability, the
//! retry budget and the latency target.

use std::time::Duration;

use wingspur_state::{HedgeInputs, ServiceTime, hedge_delay};

/// A route whose response times vary by about a third, far from its latency target.
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
    let delay = |probability| {
        hedge_delay(&HedgeInputs {
            failure_probability: probability,
            ..inputs()
        })
    };
    assert!(delay(0.3) < delay(0.1));
    assert!(delay(0.1) < delay(0.02));
    let (least, most) = (delay(1.0), delay(0.0));
    assert!(least > Duration::from_millis(200), "{least:?}");
    assert!(most < Duration::from_secs(1), "{most:?}");
}

#[test]
fn a_scarce_budget_waits_longer() {
    let delay = |used_ratio| {
        hedge_delay(&HedgeInputs {
            budget_used_ratio: used_ratio,
            ..inputs()
        })
    };
    assert!(delay(0.0) < delay(0.5));
    assert!(delay(0.5) < delay(1.0));
    assert_eq!(
        delay(1.0),
        delay(7.0),
        "an overspent budget must not delay a hedge further"
    );
}

#[test]
fn the_second_is_in_time_for_the_target_while_the_budget_is_ample() {
    let delay = |target_ms, used_ratio| {
        hedge_delay(&HedgeInputs {
            time_to_latency_target: Duration::from_millis(target_ms),
            budget_used_ratio: used_ratio,
            ..inputs()
        })
    };
    let far_target = delay(5000, 0.0);
    let near_target = delay(550, 0.0);
    assert!(near_target < far_target, "{near_target:?} {far_target:?}");
    assert!(near_target + Duration::from_millis(250) <= Duration::from_millis(550));
    let scarce_budget = delay(5000, 0.6);
    assert_eq!(
        delay(550, 0.6),
        scarce_budget,
        "the latency target must not count while the budget is scarce"
    );
    let missed_target = delay(100, 0.0);
    assert!(
        missed_target > Duration::from_millis(200),
        "{missed_target:?}"
    );
}
