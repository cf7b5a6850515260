Feature: notices of an upstream

  Scenario: answers that overtake each other
    Guards against a limit that is dropped by an answer which was sent before the limit was reported, or kept after it has
    ended.
    Then the known notices agree with a naive record of all answers, whatever their order
