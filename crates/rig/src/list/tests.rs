//! List entries that couriers are sent when an endpoint is replaced.

use super::*;

#[tokio::test]
async fn a_replaced_endpoint_is_sent_as_deleted_and_its_replacement_has_a_new_name() {
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let addresses = Addresses { endpoints: Mutex::new(vec![vec![address; 2]]), couriers: Arc::default() };
    let addresses = Arc::new(addresses);
    let entry = |endpoint: usize| Entry {
        name: format!("e{endpoint}"),
        endpoint,
        destination: 0,
        drains: false,
        gone: false,
        rate: 5.0,
        since_ms: 0,
        changed: 1,
    };
    let record = Arc::new(Record::new(std::time::Instant::now()));
    let list = List::start(&[], vec![entry(0), entry(1)], 0, addresses.clone(), record).await.unwrap();
    let told = |after| {
        let current = lock(&list.current);
        let told = current.list_for(&addresses, 0, after);
        told.endpoints.iter().map(|e| format!("{} {} {}", e.name, e.status, e.since_ms)).collect::<Vec<_>>()
    };
    list.change(1, |entry| entry.gone = true);
    assert_eq!(told(Some(1)), ["e1 DELETED 0"]);
    assert_eq!(told(None), ["e0 SERVING 0"]);
    list.replace(1, 77);
    assert_eq!(told(Some(2)), ["e1-1 SERVING 77"]);
    assert_eq!(told(Some(1)), ["e1 DELETED 0", "e1-1 SERVING 77"]);
    // Later changes of this endpoint apply to the replacement.
    list.change(1, |entry| entry.drains = true);
    assert_eq!(told(None), ["e0 SERVING 0", "e1-1 DRAINING 77"]);
}
