Feature: chunks that arrive late, twice or out of order
  A caller reads doubled or swapped text. This happens when a channel breaks, the sidecar sends chunks again while earlier
  copies are still on their way, and chunks are passed on as they arrive.

  Scenario: any order and any repeats give each item once, in order
    Given any sequence of numbered items with repeats inside the window
    Then the sequencer delivers what a sorted set of them would
