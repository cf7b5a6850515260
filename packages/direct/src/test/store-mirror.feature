Feature: mirror of the store

  Scenario Outline: an answer that is larger than its reader accepts
    Guards against an entry that reads a large answer to its end, or terminates, when it only needs to know that the answer is too large.
    When an entry reads an answer of 1000000 bytes of which it accepts 100000, and its length is <length>
    Then the read fails as too large after at most 400000 bytes

    Examples:
      | length       |
      | declared     |
      | not declared |

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
