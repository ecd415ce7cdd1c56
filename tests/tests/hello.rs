//! Which links a box refuses, and what it says of it.

use wingspur_protocol::{BoxRecord, Hello, LINK_PROTOCOL_VERSION, LinkRole};
use wingspur_state::StorePosition;
use wingspur_transport::LinkError;

fn hello(protocol: u16, fleet: &str) -> Hello {
    Hello {
        protocol,
        fleet: fleet.into(),
        from: BoxRecord {
            id: "box-1".into(),
            data_centre: "dc-1".into(),
            peer_address: "127.0.0.1:9".parse().unwrap(),
            incarnation: 1,
            capacity: 1,
            fleet_boxes: 1,
        },
        role: LinkRole::Member,
        position: StorePosition::default(),
        bundle_version: 0,
    }
}

#[test]
fn a_link_of_another_fleet_or_protocol_is_not_reported_as_a_lost_connection() {
    let own = LINK_PROTOCOL_VERSION;
    assert_eq!(hello(own, "zagreb").check("zagreb"), Ok(()));
    let text = |hello: Hello| {
        let error = hello.check("zagreb").unwrap_err();
        LinkError::from(error).to_string()
    };
    let stated = r#"the other box belongs to fleet "gateway", this one to "zagreb""#;
    assert_eq!(text(hello(own, "gateway")), stated);
    let stated = format!("the other box speaks link protocol 3, this one {own}");
    assert_eq!(text(hello(3, "zagreb")), stated);
}
