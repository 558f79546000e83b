//! Moments in which two events cross, forced by what the test's own stage does, on real sockets.

mod loopback;

use loopback::*;

/// The same list, as an editor would lay it out.
fn indented(list: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(list).unwrap();
    serde_json::to_string_pretty(&value).unwrap()
}

// --- Lists and watches -----------------------------------------------------------------------

/// Guards against a reader that takes each line of an indented list for a broken one, asks for the whole list again and is
/// told that indented, too, for good.
#[test]
fn indented_lists_are_read_and_the_watch_goes_on() {
    let [a, b] = [0, 1].map(|_| Upstream::new(|_| Deed::ok("served")));
    let first = list(9, true, &[entry("a", a.address, "ready"), entry("b", b.address, "ready")]);
    let discovery = Discovery::new(&indented(&first));
    let sidecar = Sidecar::start(&config("127.0.0.1:0", discovery.address, "null", 1024, SETTINGS));
    sidecar.wait_up();
    let mut client = Client::to(sidecar.address);
    until("both serve", || {
        client.ask("fetch");
        !a.requests().is_empty() && !b.requests().is_empty()
    });
    // A drain in pieces, with nothing but white space behind it.
    let drain = indented(&list(10, false, &[entry("a", a.address, "draining")]));
    let (head, tail) = drain.split_at(drain.len() / 2);
    discovery.say(head);
    std::thread::sleep(std::time::Duration::from_millis(50));
    discovery.say(tail);
    until("the drain is kept", || {
        let before = a.requests().len();
        (0..20).for_each(|_| drop(client.ask("fetch")));
        a.requests().len() == before
    });
    assert_eq!(discovery.watches().len(), 1, "it was understood at once: {:?}", sidecar.log.lock().unwrap());
}
