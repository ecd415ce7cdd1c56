//! How long a planned stop takes, by the settings.

mod edge;

use std::time::Duration;

use serde_json::json;
use wingspur_edge::{Settings, parse_settings};

fn settings(drain: serde_json::Value) -> Settings {
    let mut value = serde_json::to_value(edge::settings("box-1", edge::any_address()));
    value.as_mut().unwrap()["drain"] = drain;
    parse_settings("test", &value.unwrap().to_string()).unwrap()
}

fn spans(drain: serde_json::Value) -> (Duration, Duration) {
    let settings = settings(drain);
    (settings.balancer_lag(), settings.drain_limit())
}

#[test]
fn a_stop_ends_half_a_second_before_the_platform_kills() {
    let ms = Duration::from_millis;
    let stated = json!({"balancer_lag_ms": 2500});
    assert_eq!(spans(stated), (ms(2500), ms(60_000)));
    for (kill_after_s, lag_ms, limit_ms) in [
        (6.0, 2500, 3000),
        (30.0, 2500, 27_000),
        (3.5, 1500, 1500),
        (0.2, 0, 0),
    ] {
        let drain = json!({"balancer_lag_ms": 2500, "kill_after_s": kill_after_s});
        assert_eq!(spans(drain), (ms(lag_ms), ms(limit_ms)), "{kill_after_s} s");
    }
}

#[test]
fn a_box_carries_for_others_by_whichever_of_processor_and_link_is_scarcer() {
    let capacity = |cpu_share: f64, link_mbps: f64| {
        let mut value =
            serde_json::to_value(edge::settings("box-1", edge::any_address()));
        let value = value.as_mut().unwrap();
        value["cpu_share"] = json!(cpu_share);
        value["link_mbps"] = json!(link_mbps);
        let settings = parse_settings("test", &value.to_string()).unwrap();
        settings.capacity()
    };
    assert_eq!(capacity(0.2, 1000.0), 2);
    assert_eq!(capacity(0.5, 10.0), 1);
    assert_eq!(capacity(0.3, 200.0), 3);
    assert_eq!(capacity(0.05, 5.0), 0);
}
