Feature: mirror of the store

  Scenario: a peer's view is applied while a watch is under way
    Guards against sending requests to upstreams that are gone: the watch's answer replays older records over the newer view of a peer.
    Given an entry that mirrors the store and waits for changes
    When it applies a peer's view, and then the answer of its watch arrives
    Then it lists the store, and applies nothing of that answer

  Scenario: a peer's view is applied while a watcher is polled
    Guards against sending requests to upstreams that are gone: a watch from before the peer's view replays older records over it.
    Given an entry that mirrors the store and polls a watcher
    When it applies a peer's view, and then the watcher's answer arrives
    Then it lists the store, and applies nothing of that answer
