Feature: chunks that come late, twice or out of order
  Symptom: a caller reads doubled or swapped text.
  Events: a channel breaks and the sidecar sends chunks again while earlier copies are still on their way.
  Cause: chunks were passed on as they came.

  Scenario: any order and any repeats give each item once, in order
    Given any sequence of numbered items with repeats inside the window
    Then the sequencer delivers what a sorted set of them would
